package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// PutWorker takes in a worker's registry entry.
func (p *Planner) PutWorker(info work.Worker) {
	w := p.workers[info.ID]
	if w == nil {
		w = &worker{info: info, runs: map[work.TaskID]*run{}, free: info.Room, listed: true}
		p.workers[info.ID] = w
		i, _ := slices.BinarySearch(p.ids, info.ID)
		p.ids = slices.Insert(p.ids, i, info.ID)
		if p.recovery.active {
			p.recovery.unheard[info.ID] = true
		}
		return
	}
	w.free = w.free.Add(info.Room.Sub(w.info.Room))
	w.info, w.listed = info, true
}

// Unlist notes that the registry no longer names the worker. What runs there is
// kept until its lease has surely expired.
func (p *Planner) Unlist(id string) {
	if w := p.workers[id]; w != nil {
		w.listed = false
	}
}

// SetPartial says whether some jobs may not be known, because a part of the
// store is away. What runs for unknown jobs is left alone then.
func (p *Planner) SetPartial(partial bool) {
	p.partial = partial
	if !partial {
		clear(p.orphans)
	}
}

// SetReachable says whether the worker answers.
func (p *Planner) SetReachable(id string, reachable bool) {
	if w := p.workers[id]; w != nil {
		w.reachable = reachable
	}
}

// Lost drops all runs of a worker whose leases have surely expired or whose
// process is known to have ended. forget also drops the worker.
func (p *Planner) Lost(now time.Duration, id string, forget bool, why string) {
	w := p.workers[id]
	if w == nil {
		return
	}
	n := len(w.runs)
	for _, r := range w.runs {
		u := r.unit
		if r.phase == runRunning && u != nil {
			p.lose(u.job, "worker lost", lostWork(u, r, now))
		}
		if u != nil {
			u.expired = append(u.expired, expiredRun{r.number, id, w.life})
		}
		p.loseRun(r, now)
	}
	p.note(Note{Event: EventWorkerLost, Worker: id, Count: n, Detail: why})
	delete(p.recovery.unheard, id)
	delete(p.recovery.untried, id)
	w.health = health{}
	if forget {
		delete(p.workers, id)
		p.ids = slices.DeleteFunc(p.ids, func(s string) bool { return s == id })
	}
}

// Reborn drops the runs of a worker's former life. Starts that were never
// answered could still reach the new life, so they are stopped there.
func (p *Planner) Reborn(now time.Duration, id string) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.life++
	w.lastEnd, w.acked, w.unacked = 0, 0, nil
	p.note(Note{Event: EventWorkerRestarted, Worker: id, Count: len(w.runs)})
	for _, r := range w.runs {
		u := r.unit
		if r.phase == runStarting || (r.phase == runStopping && r.why == "unanswered") {
			p.stopRun(r, "unanswered")
			if u != nil {
				p.giveUp(u, now)
			}
			continue
		}
		if r.phase == runRunning && u != nil {
			p.lose(u.job, "worker lost", lostWork(u, r, now))
		}
		p.loseRun(r, now)
	}
	w.health = health{}
}

// Observe takes in what a worker runs and what ended there, and returns the ends
// that it hadn't listed before. sentAt is when the question was sent.
func (p *Planner) Observe(now, sentAt time.Duration, id string, reply port.HoldReply) []port.RunEnd {
	w := p.workers[id]
	if w == nil {
		return nil
	}
	var fresh []port.RunEnd
	w.heard, w.reachable = true, true
	for _, e := range reply.Ended {
		if e.Sequence <= w.lastEnd {
			continue // listed again until it is acknowledged
		}
		w.lastEnd = e.Sequence
		fresh = append(fresh, e)
		w.unacked = append(w.unacked, listedEnd{e.Sequence, e.Task.Job})
		if id := e.Task.Job; p.partial && p.jobs[id] == nil {
			p.orphans[id] = append(p.orphans[id], orphanEnd{w, e})
			continue
		}
		p.ended(now, w, e)
	}
	p.observeRunning(now, sentAt, w, reply.Running)
	delete(p.recovery.unheard, id)
	delete(p.recovery.untried, id)
	return fresh
}

// Acknowledgeable returns the highest end of a worker that may be forgotten:
// whatever the ends up to it changed is stored.
func (p *Planner) Acknowledgeable(id string) int64 {
	w := p.workers[id]
	if w == nil {
		return 0
	}
	for len(w.unacked) > 0 {
		id := w.unacked[0].job
		if j := p.jobs[id]; j != nil && j.unstored || p.orphans[id] != nil {
			break
		}
		w.acked = w.unacked[0].sequence
		w.unacked = w.unacked[1:]
	}
	return w.acked
}

func (p *Planner) observeRunning(now, sentAt time.Duration, w *worker, states []port.RunState) {
	seen := make(map[work.TaskID]bool, len(states))
	for i := range states {
		s := &states[i]
		seen[s.Task] = true
		r := w.runs[s.Task]
		if r == nil || r.number != s.Run {
			p.adopt(now, w, s)
			continue
		}
		p.progress(now, r, s)
	}
	for task, r := range w.runs {
		if seen[task] {
			continue
		}
		gone := r.phase == runRunning && r.confirmedAt < sentAt ||
			r.phase == runStopping && r.stopAcked > 0 && r.stopAcked < sentAt
		if !gone {
			continue
		}
		p.loseRun(r, now)
	}
}

func (p *Planner) progress(now time.Duration, r *run, s *port.RunState) {
	if r.phase == runStarting {
		r.phase, r.startedAt, r.confirmedAt = runRunning, now, now
		p.markStarted(r.unit.job, now)
	}
	if s.Percent > r.percent {
		r.percent, r.progressAt = s.Percent, now
	}
	if s.Checkpoint != "" && r.unit != nil && r.unit.spec().Checkpointable && s.Percent >= r.unit.savedPercent {
		r.unit.saved, r.unit.savedPercent = s.Checkpoint, s.Percent
	}
}

// adopt takes over a run that this owner didn't start, or stops it.
func (p *Planner) adopt(now time.Duration, w *worker, s *port.RunState) {
	if old := w.runs[s.Task]; old != nil {
		return // another run of the task is on record here; its end comes first
	}
	j := p.jobs[s.Task.Job]
	if j == nil && p.partial {
		return // its job may become known
	}
	var u *unit
	if j != nil {
		u = j.unitOf(s.Task)
	}
	if u != nil && j.open() && u.accepts(s) {
		u.nextRun = max(u.nextRun, s.Run+1)
		u.phase = unitActive
		u.claim = nil
		r := p.addRun(u, s.Task.Index, w, s.Run, runRunning, now)
		r.percent = s.Percent
		r.startedAt = now - u.spec().Estimate*time.Duration(s.Percent)/100
		p.progress(now, r, s)
		p.markStarted(j, now)
		p.note(Note{Event: EventRunAdopted, Job: s.Task.Job, Worker: w.info.ID, Task: s.Task, Run: s.Run})
		return
	}
	r := &run{task: s.Task, number: s.Run, worker: w, phase: runRunning, startedAt: now, confirmedAt: now}
	if u != nil {
		r.need = u.spec().Need
		u.nextRun = max(u.nextRun, s.Run+1)
		p.awaitEnd(u, r, now)
	}
	w.runs[s.Task] = r
	w.free = w.free.Sub(r.need)
	p.note(Note{Event: EventStrayRun, Job: s.Task.Job, Worker: w.info.ID, Task: s.Task, Run: s.Run})
	p.stopRun(r, "stray")
}

// awaitEnd keeps the unit from being placed until a run that can't be adopted
// has ended.
func (p *Planner) awaitEnd(u *unit, r *run, now time.Duration) {
	if u.phase == unitDone || u.phase == unitDead || u.runs[r.task.Index] != nil {
		return
	}
	if u.phase == unitActive { // a gang of which another attempt is partly there
		p.stopAttempt(u, now, "incomplete gang")
	}
	r.unit = u
	u.runs[r.task.Index] = r
	u.phase, u.clearedAt, u.stopSent, u.claim = unitClearing, now, true, nil
}

// accepts reports whether a listed run can be this unit's present attempt.
func (u *unit) accepts(s *port.RunState) bool {
	switch u.phase {
	case unitReady, unitBlocked:
		return len(u.runs) == 0
	case unitActive:
		for index, r := range u.runs {
			if r.number != s.Run || index == s.Task.Index {
				return false
			}
		}
		return true
	}
	return false
}

// Listed reports whether the registry names the worker.
func (p *Planner) Listed(id string) bool {
	w := p.workers[id]
	return w != nil && w.listed
}

// Holds reports whether the worker has runs on record, or is still expected to
// tell which it has.
func (p *Planner) Holds(id string) bool {
	w := p.workers[id]
	return w != nil && len(w.runs) > 0 || p.recovery.unheard[id]
}

// Draining reports whether the worker is about to leave.
func (p *Planner) Draining(id string) bool {
	w := p.workers[id]
	return w != nil && w.info.Draining
}
