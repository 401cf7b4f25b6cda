package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// harness drives a planner with healthy workers and records the runs that it
// starts.
type harness struct {
	t          *testing.T
	p          *Planner
	now        time.Duration
	runs       map[work.TaskID]Order // the start orders of the active runs
	lastResult map[string]int64      // sequence number of each worker's last result
}

func newHarness(t *testing.T, racks, perRack int) *harness {
	r := &harness{t: t, p: New(Settings{ReclaimWithin: 3 * time.Second}, 1), now: time.Second, runs: map[work.TaskID]Order{}, lastResult: map[string]int64{}}
	for i := range racks * perRack {
		r.addWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("r%d", i/perRack))
	}
	return r
}

func (h *harness) addWorker(id, rack string) {
	h.p.PutWorker(work.Worker{ID: id, Rack: rack, Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
	h.p.HandleReport(h.now, h.now, id, port.HoldReply{})
}

func step(count int, accel int64, seconds float64) work.Step {
	return work.Step{Count: count, Need: work.Resources{CPU: 1000, MemMB: 1000, Accel: accel}, Estimate: time.Duration(seconds * float64(time.Second))}
}

func gangOf(count int, accel int64, seconds float64) work.Step {
	s := step(count, accel, seconds)
	s.Gang = true
	return s
}

func (h *harness) job(id string, priority int, steps ...work.Step) work.Record {
	return work.Record{State: work.Queued, Job: work.Job{ID: id, Queue: fmt.Sprint(priority), Workspace: "ws", Priority: priority,
		MaxAttempts: 4, Stretch: 3, Target: time.Second, Steps: steps}}
}

func (h *harness) add(rec work.Record) { h.p.AddJob(h.now, 0, rec, false) }

// plan runs a pass, records the runs that it starts and confirms the starts. Stop
// orders are only returned.
func (h *harness) plan() []Order {
	orders := h.p.Plan(h.now)
	for _, o := range orders {
		if o.Kind == OrderStart {
			h.runs[o.Task] = o
			h.p.StartAnswered(h.now, o.Worker, o.Task, o.Run, port.NotRejected)
		}
	}
	return orders
}

func (h *harness) endRun(task work.TaskID, kind port.ResultKind) {
	o := h.runs[task]
	delete(h.runs, task)
	h.lastResult[o.Worker]++
	h.p.HandleReport(h.now, h.now, o.Worker, port.HoldReply{Running: h.running(o.Worker), Results: []port.RunResult{
		{Sequence: h.lastResult[o.Worker], Task: task, Run: o.Run, Kind: kind}}})
}

func (h *harness) running(worker string) []port.RunState {
	var out []port.RunState
	for task, o := range h.runs {
		if o.Worker == worker {
			out = append(out, port.RunState{Task: task, Run: o.Run})
		}
	}
	return out
}

func starts(orders []Order) int { return count(orders, OrderStart) }

func count(orders []Order, kind OrderKind) int {
	n := 0
	for _, o := range orders {
		if o.Kind == kind {
			n++
		}
	}
	return n
}

func TestGangStartsAllTasksOrNone(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.add(r.job("a", 1, gangOf(3, 8, 5)))
	r.add(r.job("b", 1, gangOf(2, 8, 5)))
	// The smaller gang has a higher score. The other gang has two workers left
	// for its three tasks and waits.
	must.EqOp(t, 2, starts(r.plan()))
	for task := range r.runs {
		must.EqOp(t, "b", task.Job)
	}
}

func TestSameRackGangStaysInOneRack(t *testing.T) {
	r := newHarness(t, 2, 4)
	s := gangOf(4, 8, 5)
	s.SameRack = true
	r.add(r.job("small", 1, step(1, 1, 5)))
	r.plan()
	r.add(r.job("a", 1, s))
	racks := map[string]bool{}
	for _, o := range r.plan() {
		racks[r.p.workers[o.Worker].info.Rack] = true
	}
	must.MapLen(t, 1, racks)
}

// Guards against another attempt of a job that has used all its attempts. A new
// owner reads such a record before the other members of the gang report their
// results.
func TestJobWithExhaustedAttemptsIsNotStarted(t *testing.T) {
	r := newHarness(t, 1, 4)
	rec := r.job("a", 1, gangOf(3, 1, 5))
	rec.State = work.Running
	rec.Steps = []work.StepProgress{{Failures: map[int][]int64{0: {1, 2, 3, 4}}}}
	r.add(rec)
	must.EqOp(t, 0, starts(r.plan()))
	must.EqOp(t, work.Failed, r.p.TakeChanged()[0].State)
}

func TestFailedRunsOfOneGangAttemptCountOnce(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.add(r.job("a", 1, gangOf(2, 8, 5)))
	r.plan()
	r.endRun(work.TaskID{Job: "a", Index: 0}, port.ResultFailed)
	r.endRun(work.TaskID{Job: "a", Index: 1}, port.ResultFailed)
	recs := r.p.TakeChanged()
	must.Eq(t, []int64{1}, recs[len(recs)-1].Steps[0].Failures[0])
}

func TestResultIsAcknowledgedOnlyAfterJobRecordIsStored(t *testing.T) {
	r := newHarness(t, 1, 1)
	r.add(r.job("a", 1, step(1, 1, 5)))
	r.plan()
	reply := port.HoldReply{Results: []port.RunResult{{Sequence: 1, Task: work.TaskID{Job: "a"}, Run: 1, Kind: port.ResultSucceeded}}}
	for range 3 { // reported again until it is acknowledged
		r.p.HandleReport(r.now, r.now, "w00", reply)
		must.EqOp(t, 0, r.p.AcknowledgeableResult("w00"))
		r.p.TakeChanged()
	}
	r.p.RecordStored("a")
	must.EqOp(t, 1, r.p.AcknowledgeableResult("w00"))
}

// The report of a worker with many results lacks the last ones. A run that it doesn't
// name may have succeeded, and its task must not be started again (issue 31).
func TestIncompleteReportLosesNoRun(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.add(r.job("a", 1, step(1, 1, 5)))
	r.plan()
	r.now += time.Second
	r.p.HandleReport(r.now, r.now, "w00", port.HoldReply{Incomplete: true})
	must.EqOp(t, 0, count(r.plan(), OrderStart))
	result := port.RunResult{Sequence: 1, Task: work.TaskID{Job: "a"}, Run: 1, Kind: port.ResultSucceeded}
	r.p.HandleReport(r.now, r.now, "w00", port.HoldReply{Results: []port.RunResult{result}})
	must.EqOp(t, work.Completed, r.p.TakeChanged()[0].State)
}

// Two owners may write the record of one job around a takeover. The merged record
// must contain the progress of both.
func TestMergedRecordKeepsProgressOfBothOwners(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.add(r.job("a", 1, step(3, 1, 5)))
	r.plan()
	r.endRun(work.TaskID{Job: "a", Index: 0}, port.ResultSucceeded)
	other := r.job("a", 1, step(3, 1, 5))
	other.Steps = []work.StepProgress{{Done: []int{1}, Failures: map[int][]int64{2: {7}}}}
	r.p.Merge(r.now, other)
	recs := r.p.TakeChanged()
	merged := recs[len(recs)-1].Steps[0]
	must.Eq(t, []int{0, 1}, merged.Done)
	must.Eq(t, []int64{7}, merged.Failures[2])
	must.EqOp(t, 1, count(r.plan(), OrderStop)) // the duplicate of task 1
}

// newRecoveringHarness returns the harness of an owner under epoch 2 that no
// worker has reported to.
func newRecoveringHarness(t *testing.T, workers int) *harness {
	r := &harness{t: t, p: New(Settings{ReclaimWithin: 3 * time.Second}, 2), now: time.Second, runs: map[work.TaskID]Order{}, lastResult: map[string]int64{}}
	for i := range workers {
		r.p.PutWorker(work.Worker{ID: fmt.Sprintf("w%02d", i), Rack: "r0", Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
	}
	r.p.Recover(r.now, true)
	return r
}

func (h *harness) report(worker string, running ...port.RunState) {
	h.p.HandleReport(h.now, h.now, worker, port.HoldReply{Running: running})
}

// Guards against preempting part of a gang, or starting it again, while members
// of its previous attempt run. Its workers report one by one.
func TestGangOfPreviousOwnerIsAdoptedWhole(t *testing.T) {
	r := newRecoveringHarness(t, 4)
	rec := r.job("gang", 1, gangOf(2, 8, 9))
	rec.State = work.Running
	rec.Steps = []work.StepProgress{{Placed: map[int][]string{0: {"w00", "w01"}}}}
	r.p.AddJob(r.now, 0, rec, true)
	r.report("w00", port.RunState{Task: work.TaskID{Job: "gang", Index: 0}, Run: 1})
	r.add(r.job("urgent", 0, step(1, 8, 1)))
	must.EqOp(t, 0, count(r.plan(), OrderStop))
	r.report("w01", port.RunState{Task: work.TaskID{Job: "gang", Index: 1}, Run: 1})
	r.report("w02")
	r.report("w03")
	for _, o := range r.plan() {
		must.EqOp(t, "urgent", o.Task.Job)
	}
}

// Guards against starting a task while a run that can't be adopted is still
// active.
func TestOrphanedRunBlocksItsTaskUntilItEnds(t *testing.T) {
	r := newRecoveringHarness(t, 2)
	r.p.AddJob(r.now, 0, r.job("a", 1, gangOf(2, 1, 9)), true)
	r.report("w00", port.RunState{Task: work.TaskID{Job: "a", Index: 0}, Run: 1})
	r.report("w01", port.RunState{Task: work.TaskID{Job: "a", Index: 1}, Run: 2}) // of another attempt
	must.EqOp(t, 0, starts(r.plan()))
	r.p.HandleReport(r.now, r.now, "w00", port.HoldReply{Results: []port.RunResult{
		{Sequence: 1, Task: work.TaskID{Job: "a", Index: 0}, Run: 1, Kind: port.ResultStopped}}})
	must.EqOp(t, 0, starts(r.plan()))
	r.p.HandleReport(r.now, r.now, "w01", port.HoldReply{Results: []port.RunResult{
		{Sequence: 1, Task: work.TaskID{Job: "a", Index: 1}, Run: 2, Kind: port.ResultStopped}}})
	must.EqOp(t, 2, starts(r.plan()))
}

// A previous owner may have sent a start before it stored the placement. Only the
// report of the worker shows the run.
func TestRecoveryWaitsForEveryWorkerThatResponds(t *testing.T) {
	r := newRecoveringHarness(t, 3)
	r.p.AddJob(r.now, 0, r.job("a", 1, step(1, 1, 9)), true)
	r.report("w00")
	r.p.ContactFailed("w02")
	must.EqOp(t, 0, starts(r.plan()))
	r.report("w01", port.RunState{Task: work.TaskID{Job: "a"}, Run: 1})
	must.EqOp(t, 0, starts(r.plan()))
	must.EqOp(t, work.Running, r.p.TakeChanged()[0].State)
}

// Results of jobs that aren't known are kept for later. Results of the other jobs count
// at once.
func TestResultsOfUnknownJobsWaitForTheirJob(t *testing.T) {
	r := newRecoveringHarness(t, 1)
	r.p.AddJob(r.now, 0, r.job("known", 1, step(1, 1, 9)), true)
	r.p.HandleReport(r.now, r.now, "w00", port.HoldReply{Results: []port.RunResult{
		{Sequence: 1, Task: work.TaskID{Job: "later"}, Run: 1, Kind: port.ResultSucceeded},
		{Sequence: 2, Task: work.TaskID{Job: "known"}, Run: 1, Kind: port.ResultSucceeded},
	}})
	must.EqOp(t, 0, starts(r.plan()))
	must.EqOp(t, 0, r.p.AcknowledgeableResult("w00"))
	r.p.AddJob(r.now, 0, r.job("later", 1, step(1, 1, 9)), false)
	must.EqOp(t, 0, starts(r.plan()))
	must.Len(t, 2, r.p.TakeChanged())
	r.p.RecordStored("known")
	r.p.RecordStored("later")
	must.EqOp(t, 2, r.p.AcknowledgeableResult("w00"))
}

// Guards against filling all workers with long tasks during a burst and then
// preempting them. Urgent gangs arrive one after another while a long job waits.
func TestHeadroomIsReservedForUrgentJobsDuringABurst(t *testing.T) {
	r := newHarness(t, 2, 6)
	for k := range 6 { // 8 accelerators each, within a second
		r.add(r.job(fmt.Sprintf("urgent-%d", k), 0, gangOf(1, 8, 2)))
		r.now += 150 * time.Millisecond
	}
	must.EqOp(t, 6, starts(r.plan()))
	r.add(r.job("long", 1, step(12, 8, 30)))
	started := starts(r.plan())
	must.Greater(t, 0, started) // the long job gets some workers
	must.Less(t, 6, started)    // the others stay reserved for urgent jobs
	r.add(r.job("urgent-6", 0, gangOf(1, 8, 2)))
	orders := r.plan()
	must.EqOp(t, 1, starts(orders))
	must.EqOp(t, 0, count(orders, OrderStop))
}

// If the store is unreliable, a previous owner may have stored and acknowledged a
// success that the new owner hasn't read yet. The task must not run again.
func TestRecoveryWithoutCompletePlacementsWaitsForPreviousOwner(t *testing.T) {
	r := newRecoveringHarness(t, 1)
	r.p.Recover(r.now, false)
	rec := r.job("a", 1, step(1, 1, 9))
	rec.State = work.Running
	r.p.AddJob(r.now, 0, rec, true)
	r.report("w00")
	must.EqOp(t, 0, starts(r.plan()))
	rec.Steps = []work.StepProgress{{Done: []int{0}}}
	r.p.Merge(r.now, rec)
	r.p.SetPreviousOwnerStopped()
	must.EqOp(t, 0, starts(r.plan()))
	must.EqOp(t, work.Completed, r.p.TakeChanged()[0].State)
}

// Guards against a job that waits without a line that tells why.
func TestWaitingJobIsReportedWithItsCause(t *testing.T) {
	r := newHarness(t, 2, 2)
	r.add(r.job("large", 1, gangOf(5, 8, 60)))
	r.advance(100 * time.Millisecond)
	r.p.TakeLogEntries()
	report := func() []string {
		r.p.ReportWaiting(r.now)
		var out []string
		for _, entry := range r.p.TakeLogEntries() {
			out = append(out, entry.Event+" "+entry.Job+" "+entry.Detail)
		}
		return out
	}
	must.SliceEmpty(t, report())
	r.now += reportWaitingAfter
	must.Eq(t, []string{"job waiting large no room: 4 of 5 tasks fit, 2 on one rack; 4 workers usable"}, report())
	r.now += time.Second
	must.SliceEmpty(t, report())
	r.p.SetReachable("w00", false)
	r.now += reportWaitingAgainAfter
	must.Eq(t, []string{"job waiting large no room: 3 of 5 tasks fit, 2 on one rack; 3 workers usable, 1 silent"}, report())
}

// Guards against a second start of a task whose cause can't be found in the logs: each task
// that a previous owner had placed is logged once, with what became of its workers.
func TestPlacingAgainAfterTakeoverIsLoggedWithItsCause(t *testing.T) {
	r := newRecoveringHarness(t, 2)
	r.p.SetPreviousOwnerFenced(false)
	rec := r.job("a", 1, step(4, 1, 9))
	rec.State = work.Running
	rec.Steps = []work.StepProgress{{Placed: map[int][]string{0: {"w00"}, 1: {"w01"}, 2: {"gone"}}}}
	r.p.AddJob(r.now, 0, rec, true)
	logged := func() []string {
		var out []string
		for _, entry := range r.p.TakeLogEntries() {
			if entry.Event == EventPlacedAgain {
				out = append(out, fmt.Sprint(entry.Task.Index, " ", entry.Detail))
			}
		}
		return out
	}
	r.report("w00")
	r.p.ContactFailed("w01")
	must.EqOp(t, 3, starts(r.plan()))
	must.SliceContainsAll(t, logged(), []string{"0 w00 reported", "2 gone not in the stored list"})
	r.p.WorkerLost(r.now, "w01", false, "lease expired")
	must.EqOp(t, 1, starts(r.plan()))
	must.Eq(t, []string{"1 w01 lease expired"}, logged())
}

// Guards against a task that is started again by the next owner before the result of its
// former run is stored: its worker is kept in the stored list until then.
func TestWorkerHasNotLeftBeforeItsResultsAreStored(t *testing.T) {
	r := newRecoveringHarness(t, 1)
	r.p.AddJob(r.now, 0, r.job("a", 1, step(1, 1, 9)), true)
	r.report("w00", port.RunState{Task: work.TaskID{Job: "a"}, Run: 1})
	r.p.WorkerUnlisted("w00")
	r.p.SetReachable("w00", false)
	must.False(t, r.p.HasLeft("w00"))
	r.p.HandleReport(r.now, r.now, "w00", port.HoldReply{Results: []port.RunResult{
		{Sequence: 1, Task: work.TaskID{Job: "a"}, Run: 1, Kind: port.ResultSucceeded}}})
	r.p.SetReachable("w00", false)
	must.False(t, r.p.HasLeft("w00"))
	r.p.TakeChanged()
	r.p.RecordStored("a")
	must.EqOp(t, 1, r.p.AcknowledgeableResult("w00"))
	must.True(t, r.p.HasLeft("w00"))
}

// Guards against a start that is sent again after its gang has succeeded: a member whose
// start got no answer ran all the same, and its worker has restarted since.
func TestUnansweredStartIsStoppedOnceItsGangHasSucceeded(t *testing.T) {
	r := newRecoveringHarness(t, 2)
	r.report("w00")
	r.report("w01")
	r.p.SetPreviousOwnerFenced(false)
	r.p.SetPreviousOwnerStopped()
	r.add(r.job("a", 1, gangOf(2, 8, 9)))
	orders := r.p.Plan(r.now)
	must.EqOp(t, 2, starts(orders))
	answered, open := orders[0], orders[1]
	r.p.StartAnswered(r.now, answered.Worker, answered.Task, answered.Run, port.NotRejected)
	r.p.HandleReport(r.now, r.now, answered.Worker, port.HoldReply{Results: []port.RunResult{
		{Sequence: 1, Task: answered.Task, Run: answered.Run, Kind: port.ResultSucceeded}}})
	orders = r.p.Plan(r.now)
	must.Len(t, 1, orders)
	must.EqOp(t, OrderStop, orders[0].Kind)
	must.EqOp(t, open.Task, orders[0].Task)
}
