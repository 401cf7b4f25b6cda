package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// retryAfterFailure spaces the attempts of a unit whose attempt was declined or
// lost. A failed run may start again at once, on another worker.
const retryAfterFailure = 150 * time.Millisecond

// peersEndWithin is how long the other members of an ended gang may take to be
// listed as ended before they are told to stop.
const peersEndWithin = 300 * time.Millisecond

func (p *Planner) addRun(u *unit, index int, w *worker, number int64, phase runPhase, now time.Duration) *run {
	r := &run{
		unit: u, task: taskID(u, index), number: number, worker: w,
		need: u.spec().Need, phase: phase, startedAt: now, confirmedAt: now, progressAt: now,
	}
	u.runs[index] = r
	w.runs[r.task] = r
	w.free = w.free.Sub(r.need)
	return r
}

func (p *Planner) dropRun(r *run) {
	if r.worker.runs[r.task] == r {
		delete(r.worker.runs, r.task)
		r.worker.free = r.worker.free.Add(r.need)
	}
	if r.unit != nil && r.unit.runs[r.task.Index] == r {
		delete(r.unit.runs, r.task.Index)
	}
}

// loseRun drops a run that is gone without an end, and gives up its attempt.
func (p *Planner) loseRun(r *run, now time.Duration) {
	p.dropRun(r)
	if r.unit != nil {
		p.giveUp(r.unit, now)
		p.clear(r.unit, now)
	}
}

// stopRun orders a run to stop. A run that was never confirmed is stopped too:
// its start may still be carried out.
func (p *Planner) stopRun(r *run, why string) {
	if r.phase == runStopping {
		return
	}
	r.phase, r.stopAcked, r.why = runStopping, 0, why
	p.orders = append(p.orders, Order{Kind: OrderStop, Worker: r.worker.info.ID, Task: r.task, Run: r.number, Why: why})
}

func (p *Planner) stopUnit(u *unit, now time.Duration, why string) {
	lost := 0.0
	for _, r := range u.runs {
		if r.phase == runRunning {
			lost += lostWork(u, r, now)
		}
		p.stopRun(r, why)
	}
	p.lose(u.job, why, lost)
}

// lose counts work that was thrown away, in core-seconds.
func (p *Planner) lose(j *job, why string, lost float64) {
	if lost == 0 {
		return
	}
	p.waste[why] += lost
	p.note(Note{Event: EventWorkLost, Job: j.rec.Job.ID, Detail: why, Lost: lost})
}

// lostWork is what stopping a run throws away, in core-seconds.
func lostWork(u *unit, r *run, now time.Duration) float64 {
	done := now - r.startedAt
	if u.spec().LongLived {
		done = min(done, longLivedLost)
	}
	if u.spec().Checkpointable {
		done = min(done, time.Second)
	}
	return done.Seconds() * r.need.Cores()
}

// giveUp ends the unit's attempt; it may be placed again once no run is left.
func (p *Planner) giveUp(u *unit, now time.Duration) {
	if u.phase != unitActive {
		return
	}
	u.phase, u.clearedAt, u.stopSent = unitClearing, now, false
	p.clear(u, now)
}

// clear makes the unit ready again, or dead, when its last run is gone.
func (p *Planner) clear(u *unit, now time.Duration) {
	if u.phase != unitClearing || len(u.runs) > 0 {
		return
	}
	j := u.job
	if u.budgetUsed() {
		u.phase = unitDead
		p.touch(j)
		p.settle(j, now)
		return
	}
	u.phase = unitReady
	if !j.depsDone(u) {
		u.phase = unitBlocked
	}
}

// stopAttempt ends the unit's attempt and stops all its runs at once.
func (p *Planner) stopAttempt(u *unit, now time.Duration, why string) {
	p.giveUp(u, now)
	u.stopSent = true
	p.stopUnit(u, now, why)
}

// finishClearing tells members that outlive their gang's attempt to stop.
func (p *Planner) finishClearing(now time.Duration) {
	for _, j := range p.open {
		for _, u := range j.units {
			if u.phase == unitClearing && !u.stopSent && now-u.clearedAt >= peersEndWithin {
				u.stopSent = true
				p.stopUnit(u, now, "attempt over")
			}
		}
	}
}

// Started takes in the answer to a start. rejected is NotRejected for a
// confirmed start.
func (p *Planner) Started(now time.Duration, id string, task work.TaskID, number int64, rejected port.Rejection) {
	w := p.workers[id]
	if w == nil {
		return
	}
	r := w.runs[task]
	if r == nil || r.number != number {
		return
	}
	if rejected == port.NotRejected {
		if r.phase == runStarting {
			r.phase, r.startedAt, r.confirmedAt, r.progressAt = runRunning, now, now, now
			p.markStarted(r.unit.job, now)
		}
		return
	}
	if r.phase != runStarting {
		return // its stop settles it
	}
	u := r.unit
	p.dropRun(r)
	u.notBefore = now + retryAfterFailure
	if rejected == port.RejectedUnhealthy {
		w.health.declined(now)
	}
	if rejected == port.RejectedTicket {
		p.dropTicket(u, w)
	}
	if rejected == port.RejectedOld {
		u.nextRun += runsPerEpoch / 20
	}
	p.note(Note{Event: EventStartRejected, Job: task.Job, Worker: id, Task: task, Run: number, Detail: rejected.String()})
	p.giveUp(u, now)
	p.clear(u, now)
}

// Unanswered takes in a start that got no answer; its stop must be confirmed
// before the task may run elsewhere.
func (p *Planner) Unanswered(now time.Duration, id string, task work.TaskID, number int64) {
	w := p.workers[id]
	if w == nil {
		return
	}
	r := w.runs[task]
	if r == nil || r.number != number || r.phase != runStarting {
		return
	}
	p.note(Note{Event: EventStartUnanswered, Job: task.Job, Worker: id, Task: task, Run: number})
	p.stopRun(r, "unanswered")
	r.unit.notBefore = now + retryAfterFailure
	p.giveUp(r.unit, now)
}

// Stopped takes in a confirmed stop, sent at sentAt.
func (p *Planner) Stopped(now time.Duration, id string, task work.TaskID, number int64) {
	if w := p.workers[id]; w != nil {
		if r := w.runs[task]; r != nil && r.number == number && r.phase == runStopping {
			r.stopAcked = now
		}
	}
}

func (p *Planner) markStarted(j *job, now time.Duration) {
	if j.started || !j.open() {
		return
	}
	j.started = true
	j.rec.State = work.Running
	p.touch(j)
	p.note(Note{Event: EventJobStarted, Job: j.rec.Job.ID, Priority: j.rec.Job.Priority, Age: now - j.arrivedAt})
}

// ended takes in a listed end.
func (p *Planner) ended(now time.Duration, w *worker, e port.RunEnd) {
	r := w.runs[e.Task]
	if r == nil || r.number != e.Run {
		p.endedUnknown(now, w, e)
		return
	}
	u := r.unit
	p.dropRun(r)
	if u == nil {
		return
	}
	if e.Checkpoint != "" && u.spec().Checkpointable {
		u.saved, u.savedPercent = e.Checkpoint, max(u.savedPercent, r.percent)
	}
	switch e.Kind {
	case port.EndSucceeded:
		if w.health.succeeded() {
			p.note(Note{Event: EventWorkerTrusted, Worker: w.info.ID})
		}
		if u.spec().LongLived {
			p.restartLater(u, r, now)
			break
		}
		p.succeed(u, now)
	case port.EndFailed:
		p.failed(u, r, w, now)
	default:
		if r.phase != runStopping && r.phase != runStarting {
			p.lose(u.job, "ended "+e.Kind.String(), lostWork(u, r, now))
		}
		p.giveUp(u, now)
	}
	p.clear(u, now)
	if e.Checkpoint != "" && u.phase != unitDone {
		p.touch(u.job)
	}
}

func (p *Planner) failed(u *unit, r *run, w *worker, now time.Duration) {
	if u.spec().LongLived {
		p.note(Note{Event: EventRunFailed, Job: r.task.Job, Worker: w.info.ID, Task: r.task, Run: r.number, Age: now - r.startedAt})
		p.restartLater(u, r, now)
		return
	}
	u.countFailure(r.number)
	if u.avoid == nil {
		u.avoid = map[string]bool{}
	}
	u.avoid[w.info.ID] = true
	if w.health.failed(now, u.job.rec.Job.ID) {
		p.noteQuarantine(w, "failed runs of several jobs")
	}
	p.lose(u.job, "failed", lostWork(u, r, now)*float64(u.count))
	p.touch(u.job)
	p.note(Note{Event: EventRunFailed, Job: r.task.Job, Worker: w.info.ID, Task: r.task, Run: r.number, Count: len(u.failed), Age: now - r.startedAt})
	p.giveUp(u, now)
}

func (p *Planner) noteQuarantine(w *worker, why string) {
	p.note(Note{Event: EventWorkerQuarantined, Worker: w.info.ID, Detail: why, Age: w.health.lastLength})
}

// countFailure counts a failed run once, however many members of a gang list it,
// and reports whether it was new.
func (u *unit) countFailure(number int64) bool {
	if slices.Contains(u.failed, number) {
		return false
	}
	u.failed = append(u.failed, number)
	return true
}

// budgetUsed reports whether the unit failed as often as it may.
func (u *unit) budgetUsed() bool {
	limit := u.job.rec.Job.MaxAttempts
	return limit > 0 && len(u.failed) >= limit && !u.spec().LongLived
}

func (p *Planner) succeed(u *unit, now time.Duration) {
	if u.phase == unitDone || u.phase == unitDead {
		return
	}
	u.phase = unitDone
	p.touch(u.job)
	p.unblock(u.job, now)
	p.settle(u.job, now)
}

// endedUnknown takes in an end of a run that isn't on record: one of a former
// owner, or one that was given up when its lease must have expired.
func (p *Planner) endedUnknown(now time.Duration, w *worker, e port.RunEnd) {
	j := p.jobs[e.Task.Job]
	if j == nil {
		return
	}
	u := j.unitOf(e.Task)
	if u == nil || u.phase == unitDone || u.phase == unitDead {
		return
	}
	u.nextRun = max(u.nextRun, e.Run+1)
	idle := len(u.runs) == 0
	switch {
	case u.spec().LongLived:
	case e.Kind == port.EndSucceeded && (idle || !slices.Contains(u.expired, expiredRun{e.Run, w.info.ID, w.life})):
		p.stopUnit(u, now, "succeeded elsewhere")
		p.succeed(u, now)
	case e.Kind == port.EndFailed:
		u.countFailure(e.Run)
		p.touch(j)
		if idle {
			u.phase = unitClearing
			p.clear(u, now)
		}
	}
	if e.Checkpoint != "" && idle && u.phase != unitDone && u.spec().Checkpointable {
		u.saved = e.Checkpoint
		p.touch(j)
	}
}

func (j *job) unitOf(t work.TaskID) *unit {
	job := &j.rec.Job
	if t.Step < 0 || t.Step >= len(job.Steps) || t.Index < 0 || t.Occurrence < 0 || t.Occurrence >= job.Occurrences() {
		return nil
	}
	units := j.unitsOf(t.Occurrence, t.Step)
	if j.rec.Job.Steps[t.Step].Gang {
		if t.Index >= units[0].count {
			return nil
		}
		return units[0]
	}
	if t.Index >= len(units) {
		return nil
	}
	return units[t.Index]
}
