package main

import (
	"fmt"
	"time"
)

// Runners of the case files: the last rack, and runners of it.
const (
	lastRack   = "r1-8" // of i-43 to i-48
	lastRunner = "i-48"

	firstOfLastRack = "i-43"
)

// Times of restartUnseen.
const (
	cutLength   = 5500 * time.Millisecond // as in the site files
	restartTime = 20 * time.Millisecond   // from the crash until the runner is up again
)

// crash ends runners for good if there is trouble, and waits until the platform has
// dropped their entries and the scheduler has given them up.
func (w *world) crash(trouble bool, ids ...string) {
	if trouble {
		for _, id := range ids {
			w.fleet.byID(id).crash()
		}
	}
	time.Sleep(missedBeats*beatInterval + 2*time.Second)
}

// judge waits until finish_s after the end of the traffic and then checks the rule LOST.
func (w *world) judge(q route, jobs []*jobSpec, allowed func(string) bool) bool {
	w.record.add("end of the traffic")
	time.Sleep(finishTime)
	found := w.watchIdle(jobs, idleLimit+3*time.Second, false, allowed)
	for _, j := range jobs {
		w.record.say("job %s: %s", j.id, w.state(q, j))
	}
	if found.worst < idleLimit {
		return false
	}
	w.record.say("LOST: %s", found.what)
	return true
}

// restartUnseen: the answers of a runner are lost for 5.5 s, and it restarts behind the cut.
// It carries out a start whose lease ends by the clock of its former life. The instance
// that sent the start is stopped as planned right after.
func restartUnseen(w *world, trouble bool) (bool, error) {
	time.Sleep(12 * time.Second) // the store has worked for a while
	owner, err := w.owner()
	if err != nil {
		return false, err
	}
	j := job(1000, stepSpec{Count: 1, CPU: 2800, MemMB: 4000, GPU: 1, EstimateMs: 8100, Label: lastRack, runs: 8100 * time.Millisecond})
	begun := make(chan *runner, 10)
	w.fleet.mu.Lock()
	w.fleet.started = func(r *runner, _ string) { begun <- r }
	w.fleet.mu.Unlock()
	for w.next%len(w.instances) == index(w.instances, owner) {
		w.next++
	}
	if trouble {
		w.fleet.byID(firstOfLastRack).cut(cutLength, restartTime)
		time.Sleep(restartTime)
	}
	go func() { _ = w.submit(low, j) }() // awaited by its start
	select {
	case r := <-begun:
		if r.id != firstOfLastRack {
			return false, fmt.Errorf("the job runs on %s", r.id)
		}
	case <-time.After(2 * time.Second):
		return false, fmt.Errorf("the job isn't started")
	}
	if trouble {
		if err := owner.terminate(); err != nil {
			return false, err
		}
		w.record.add("disruption: SIGTERM to %s", owner.name)
	}
	time.Sleep(20 * time.Second)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, text := range w.fleet.twice {
		w.record.say("TWICE: %s", text)
	}
	return len(w.fleet.twice) > 0, nil
}

// blockedQueue: a rack is lost for good while 130 jobs wait for its label. Ten later jobs
// of lower priority need no label.
func blockedQueue(w *world, trouble bool) (bool, error) {
	w.crash(trouble, "i-43", "i-44", "i-45", "i-46", "i-47", "i-48")
	for i := range 130 {
		j := job(1000+i, stepSpec{Count: 1, CPU: 200, MemMB: 400, EstimateMs: 9400, Label: lastRack, runs: 9400 * time.Millisecond})
		if err := w.submit(normal, j); err != nil {
			return false, err
		}
		time.Sleep(120 * time.Millisecond)
	}
	var later []*jobSpec
	for i := range 10 {
		j := job(2000+i, stepSpec{Count: 1, CPU: 2800, MemMB: 4000, GPU: 1, EstimateMs: 2100, runs: 2100 * time.Millisecond})
		if err := w.submit(low, j); err != nil {
			return false, err
		}
		later = append(later, j)
	}
	return w.judge(low, later, nil), nil
}

// blockedPolicy: the only runner on which the policy allows one job is lost for good. Five
// later jobs may run on all runners.
func blockedPolicy(w *world, trouble bool) (bool, error) {
	w.fleet.ticketOK = func(task, runner, ticket string) bool {
		return w.policy.accepts(task, runner, ticket)
	}
	w.crash(trouble, lastRunner)
	first := job(1000, stepSpec{Count: 1, CPU: 13000, MemMB: 20000, GPU: 1, EstimateMs: 9400, runs: 9400 * time.Millisecond})
	w.policy.mu.Lock()
	w.policy.allowed[first.id] = map[string]bool{lastRunner: true}
	w.policy.mu.Unlock()
	if err := w.submit(adviceHigh, first); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var later []*jobSpec
	for i := range 5 {
		j := job(2000+i, stepSpec{Count: 1, CPU: 2800, MemMB: 4000, GPU: 1, EstimateMs: 2100, runs: 2100 * time.Millisecond})
		if err := w.submit(adviceLow, j); err != nil {
			return false, err
		}
		later = append(later, j)
	}
	return w.judge(adviceLow, later, nil), nil
}

// failedOnce: five runners of a rack hold work units that last. A job that needs the rack
// fails once on the sixth.
func failedOnce(w *world, trouble bool) (bool, error) {
	lasting := job(1000, stepSpec{Count: 5, CPU: 2000, MemMB: 4000, GPU: 5, EstimateMs: 60000, Label: lastRack, MaxPerServer: 1, LongLived: true})
	if err := w.submit(low, lasting); err != nil {
		return false, err
	}
	if err := w.awaitRuns(lasting, 5, 10*time.Second); err != nil {
		return false, err
	}
	for i := range 19 {
		j := job(2000+i, stepSpec{Count: 1, CPU: 2800, MemMB: 4000, GPU: 1, EstimateMs: 2100, runs: 2100 * time.Millisecond})
		if err := w.submit(normal, j); err != nil {
			return false, err
		}
	}
	needy := job(3000, stepSpec{Count: 1, CPU: 13000, MemMB: 20000, GPU: 4, EstimateMs: 4000, Label: lastRack, runs: 4 * time.Second})
	if trouble {
		w.fleet.mu.Lock()
		w.fleet.failNext[needy.unit(0)] = true
		w.fleet.mu.Unlock()
	}
	if err := w.submit(normal, needy); err != nil {
		return false, err
	}
	return w.judge(normal, []*jobSpec{needy}, nil), nil
}

// uselessClaim: an urgent job has one work unit a runner on two runners of a rack. One of
// them is lost for good, and a job of low priority runs on the other.
func uselessClaim(w *world, trouble bool) (bool, error) {
	full := job(1000, stepSpec{Count: 4, CPU: 8000, MemMB: 16000, GPU: 8, EstimateMs: 90000, Label: lastRack, runs: 100 * time.Second})
	if err := w.submit(urgent, full); err != nil {
		return false, err
	}
	if err := w.awaitRuns(full, 4, 10*time.Second); err != nil {
		return false, err
	}
	apart := job(2000, stepSpec{Count: 2, CPU: 8000, MemMB: 16000, GPU: 4, EstimateMs: 90000, Label: lastRack, MaxPerServer: 1, runs: 100 * time.Second})
	if err := w.submit(urgent, apart); err != nil {
		return false, err
	}
	if err := w.awaitRuns(apart, 2, 10*time.Second); err != nil {
		return false, err
	}
	minor := job(3000, stepSpec{Count: 1, CPU: 2800, MemMB: 4000, GPU: 2, EstimateMs: 30000, Label: lastRack, runs: 30 * time.Second})
	if err := w.submit(low, minor); err != nil {
		return false, err
	}
	if err := w.awaitRuns(minor, 1, 10*time.Second); err != nil {
		return false, err
	}
	// The runner of the urgent job that has no room for another.
	other := ""
	for i := range 2 {
		if id := w.fleet.where(apart.unit(i)); id != w.fleet.where(minor.unit(0)) {
			other = id
		}
	}
	if other == "" {
		return false, fmt.Errorf("the urgent job isn't on two runners")
	}
	w.crash(trouble, other)
	return w.judge(low, []*jobSpec{minor}, nil), nil
}

// reservedRunner: the service is full but for a part of one runner. Another runner is
// lost for good, with a small work unit that lasts, while a larger job waits.
func reservedRunner(w *world, trouble bool) (bool, error) {
	small := job(1000, stepSpec{Count: 1, CPU: 2000, MemMB: 4000, GPU: 2, EstimateMs: 60000, LongLived: true})
	if err := w.submit(low, small); err != nil {
		return false, err
	}
	if err := w.awaitRuns(small, 1, 10*time.Second); err != nil {
		return false, err
	}
	beside := job(1500, stepSpec{Count: 1, CPU: 8000, MemMB: 16000, GPU: 6, EstimateMs: 90000, runs: 100 * time.Second})
	most := job(2000, stepSpec{Count: 46, CPU: 8000, MemMB: 16000, GPU: 8, EstimateMs: 90000, runs: 100 * time.Second})
	half := job(3000, stepSpec{Count: 1, CPU: 8000, MemMB: 16000, GPU: 4, EstimateMs: 60000, runs: 70 * time.Second})
	for _, j := range []*jobSpec{beside, most, half} {
		if err := w.submit(normal, j); err != nil {
			return false, err
		}
		if err := w.awaitRuns(j, j.steps[0].Count, 20*time.Second); err != nil {
			return false, err
		}
	}
	waiting := job(4000, stepSpec{Count: 1, CPU: 8000, MemMB: 16000, GPU: 8, EstimateMs: 9400, runs: 9400 * time.Millisecond})
	if err := w.submit(normal, waiting); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	w.crash(trouble, w.fleet.where(small.unit(0)))
	time.Sleep(max(lastingLimit, calmTime))
	found := w.watchIdle([]*jobSpec{small}, idleLimit+10*time.Second, true, nil)
	w.record.say("job %s: %s", small.id, w.state(low, small))
	if found.worst < idleLimit {
		return false, nil
	}
	w.record.say("LOST: %s", found.what)
	return true, nil
}

func index(list []*instance, in *instance) int {
	for i := range list {
		if list[i] == in {
			return i
		}
	}
	return -1
}
