package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// retryDelay is the delay before a unit is placed again after a rejected or
// unanswered start. After a failed run the unit may be placed again immediately,
// on another worker.
const retryDelay = 150 * time.Millisecond

// gangStopDelay is how long the other members of a gang may take to report their
// own results after the attempt has ended. They are stopped after that.
const gangStopDelay = 300 * time.Millisecond

func (p *Planner) addRun(u *unit, index int, w *worker, number int64, phase runPhase, now time.Duration) *run {
	r := &run{
		unit: u, task: taskID(u, index), number: number, worker: w,
		need: u.spec().Need, phase: phase, startedAt: now, confirmedAt: now, progressAt: now,
		cold: now < w.coldUntil,
	}
	u.runs[index] = r
	w.runs[r.task] = r
	w.free = w.free.Sub(r.need)
	w.runChanges++
	return r
}

func (p *Planner) dropRun(r *run) {
	if r.worker.runs[r.task] == r {
		delete(r.worker.runs, r.task)
		r.worker.free = r.worker.free.Add(r.need)
		r.worker.runChanges++
		if r.needUnknown {
			r.worker.unknownNeeds--
		}
	}
	if r.unit != nil && r.unit.runs[r.task.Index] == r {
		delete(r.unit.runs, r.task.Index)
	}
}

// handleRunLost drops a run that will report no result, and ends its attempt.
func (p *Planner) handleRunLost(r *run, now time.Duration) {
	p.dropRun(r)
	if r.unit != nil {
		r.unit.runLost = true
		p.endAttempt(r.unit, now)
		p.releaseIfIdle(r.unit, now)
	}
}

// stopRun orders a run to stop, even if its start was never confirmed, because
// the start may still be carried out.
func (p *Planner) stopRun(r *run, why string) {
	if r.phase != runStopping {
		p.orderStop(r, why)
	}
}

func (p *Planner) orderStop(r *run, why string) {
	r.phase, r.stopConfirmedAt, r.stopReason = runStopping, 0, why
	r.worker.runChanges++
	p.orders = append(p.orders, Order{Kind: OrderStop, Worker: r.worker.info.ID, Task: r.task, Run: r.number, Why: why})
}

// stopUnit orders all runs of the unit to stop and counts the work that this
// discards.
func (p *Planner) stopUnit(u *unit, now time.Duration, why string) {
	discarded := 0.0
	for _, r := range u.runs {
		if r.phase == runRunning {
			discarded += discardedWork(u, r, now)
		}
		p.stopRun(r, why)
	}
	p.recordDiscarded(u.job, why, discarded)
}

// recordDiscarded counts discarded work, in core-seconds.
func (p *Planner) recordDiscarded(j *job, why string, discarded float64) {
	if discarded == 0 {
		return
	}
	p.discarded[why] += discarded
	p.log(LogEntry{Event: EventWorkDiscarded, Job: j.rec.Job.ID, Detail: why, Discarded: discarded})
}

// discardedWork returns the work that stopping a run discards, in core-seconds.
func discardedWork(u *unit, r *run, now time.Duration) float64 {
	return discardedTime(u, r, now).Seconds() * r.need.Cores()
}

// discardedTime returns the run time that stopping a run discards.
func discardedTime(u *unit, r *run, now time.Duration) time.Duration {
	elapsed := now - r.startedAt
	if u.spec().LongLived {
		elapsed = min(elapsed, startupTime)
	}
	if u.spec().Checkpointable {
		elapsed = min(elapsed, time.Second) // assumes that the last checkpoint is at most 1 s old
	}
	return elapsed
}

// endAttempt ends the unit's attempt. The unit may be placed again once it has no
// runs left.
func (p *Planner) endAttempt(u *unit, now time.Duration) {
	if u.phase != unitActive {
		return
	}
	u.phase, u.attemptEndedAt, u.stopSent = unitStopping, now, false
	p.releaseIfIdle(u, now)
}

// releaseIfIdle makes a stopping unit without runs ready (or blocked) again, or
// abandons it if its attempts are exhausted.
func (p *Planner) releaseIfIdle(u *unit, now time.Duration) {
	if u.phase != unitStopping || len(u.runs) > 0 {
		return
	}
	j := u.job
	if u.attemptsExhausted() {
		u.phase = unitAbandoned
		p.markChanged(j)
		if j.open() {
			p.finish(j, work.Failed, now)
		}
		return
	}
	u.phase = unitReady
	if !j.depsDone(u) {
		u.phase = unitBlocked
	}
}

// stopAttempt ends the unit's attempt and stops all its runs immediately.
func (p *Planner) stopAttempt(u *unit, now time.Duration, why string) {
	p.endAttempt(u, now)
	u.stopSent = true
	p.stopUnit(u, now, why)
}

// stopRemainingRuns stops members of a gang that still run gangStopDelay after
// the end of their attempt.
func (p *Planner) stopRemainingRuns(now time.Duration) {
	for _, j := range p.jobsByArrival {
		for _, u := range j.units {
			if u.phase == unitStopping && !u.stopSent && now-u.attemptEndedAt >= gangStopDelay {
				u.stopSent = true
				p.stopUnit(u, now, "attempt over")
			}
		}
	}
}

// IsStarting reports whether a run is on record and its start may be sent. It isn't once
// the worker's leases have expired: the task may run elsewhere.
func (p *Planner) IsStarting(id string, task work.TaskID, number int64) bool {
	w := p.workers[id]
	return w != nil && w.runs[task] != nil && w.runs[task].number == number && w.runs[task].phase == runStarting
}

// StartAnswered handles the answer to a start. rejected is NotRejected if the
// start is confirmed.
func (p *Planner) StartAnswered(now time.Duration, id string, task work.TaskID, number int64, rejected port.StartRejection) {
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
		return // the run has been reported or is being stopped; later reports decide its result
	}
	u := r.unit
	p.dropRun(r)
	u.notBefore = now + retryDelay
	if rejected == port.RejectedUnhealthy {
		w.health.rejected(now)
	}
	if rejected == port.RejectedTicket {
		p.dropTicket(u, w)
	}
	if rejected == port.RejectedStaleRun {
		u.nextRun += runsPerEpoch / 20 // skips the numbers of runs that have ended on the worker
	}
	p.log(LogEntry{Event: EventStartRejected, Job: task.Job, Worker: id, Task: task, Run: number, Detail: rejected.String()})
	p.endAttempt(u, now)
	p.releaseIfIdle(u, now)
}

// StartResent records that a copy of the run's start got no answer. It may be carried
// out later than the one that is answered.
func (p *Planner) StartResent(id string, task work.TaskID, number int64) {
	if w := p.workers[id]; w != nil {
		if r := w.runs[task]; r != nil && r.number == number {
			r.resent = true
		}
	}
}

// StartUnanswered handles a start that got no answer. Its stop must be confirmed
// before the task may run elsewhere.
func (p *Planner) StartUnanswered(now time.Duration, id string, task work.TaskID, number int64) {
	w := p.workers[id]
	if w == nil {
		return
	}
	r := w.runs[task]
	if r == nil || r.number != number || r.phase != runStarting {
		return
	}
	p.log(LogEntry{Event: EventStartUnanswered, Job: task.Job, Worker: id, Task: task, Run: number})
	r.resent = true
	p.stopRun(r, "unanswered")
	r.unit.notBefore = now + retryDelay
	p.endAttempt(r.unit, now)
}

// StopConfirmed records that the worker confirmed a stop.
func (p *Planner) StopConfirmed(now time.Duration, id string, task work.TaskID, number int64) {
	if w := p.workers[id]; w != nil {
		if r := w.runs[task]; r != nil && r.number == number && r.phase == runStopping {
			r.stopConfirmedAt = now
		}
	}
}

func (p *Planner) markStarted(j *job, now time.Duration) {
	if j.started || !j.open() {
		return
	}
	j.started = true
	j.rec.State = work.Running
	p.markChanged(j)
	p.log(LogEntry{Event: EventJobStarted, Job: j.rec.Job.ID, Priority: j.rec.Job.Priority, Age: now - j.arrivedAt})
}

// handleResult handles the reported result of a run.
func (p *Planner) handleResult(now time.Duration, w *worker, result port.RunResult) {
	r := w.runs[result.Task]
	if r == nil || r.number != result.Run {
		p.handleUnknownResult(now, w, result)
		return
	}
	u := r.unit
	if result.Kind == port.ResultSucceeded {
		p.observeSpeed(r, 100, now)
	}
	p.dropRun(r)
	if u == nil {
		p.handleUnknownResult(now, w, result)
		return
	}
	if result.Checkpoint != "" && u.spec().Checkpointable {
		u.checkpoint, u.checkpointPercent = result.Checkpoint, max(u.checkpointPercent, r.percent)
	}
	switch result.Kind {
	case port.ResultSucceeded:
		if w.health.succeeded() {
			p.log(LogEntry{Event: EventWorkerTrusted, Worker: w.info.ID})
		}
		if u.spec().LongLived {
			p.delayRestart(u, r, now)
			break
		}
		p.completeUnit(u, now)
	case port.ResultFailed:
		p.handleFailure(u, r, w, now)
	default:
		if r.phase != runStopping && r.phase != runStarting {
			p.recordDiscarded(u.job, "ended "+result.Kind.String(), discardedWork(u, r, now))
		}
		p.endAttempt(u, now)
	}
	p.releaseIfIdle(u, now)
	if result.Checkpoint != "" && u.phase != unitDone {
		p.markChanged(u.job)
	}
}

func (p *Planner) handleFailure(u *unit, r *run, w *worker, now time.Duration) {
	if u.spec().LongLived {
		p.log(LogEntry{Event: EventRunFailed, Job: r.task.Job, Worker: w.info.ID, Task: r.task, Run: r.number, Age: now - r.startedAt})
		p.delayRestart(u, r, now)
		return
	}
	u.addFailure(r.number)
	if u.avoid == nil {
		u.avoid = map[string]bool{}
	}
	u.avoid[w.info.ID] = true
	if w.health.failed(now, u.job.rec.Job.ID) {
		p.logQuarantine(w, "failed runs of several jobs")
	}
	p.recordDiscarded(u.job, "failed", discardedWork(u, r, now)*float64(u.count))
	p.markChanged(u.job)
	p.log(LogEntry{Event: EventRunFailed, Job: r.task.Job, Worker: w.info.ID, Task: r.task, Run: r.number, Count: len(u.failedRuns), Age: now - r.startedAt})
	p.endAttempt(u, now)
}

func (p *Planner) logQuarantine(w *worker, why string) {
	p.log(LogEntry{Event: EventWorkerQuarantined, Worker: w.info.ID, Detail: why, Age: w.health.lastDuration})
}

// addFailure records a failed run once, even if several members of a gang report
// it, and reports whether it is new.
func (u *unit) addFailure(number int64) bool {
	if slices.Contains(u.failedRuns, number) {
		return false
	}
	u.failedRuns = append(u.failedRuns, number)
	return true
}

// attemptsExhausted reports whether the unit has failed MaxAttempts times.
func (u *unit) attemptsExhausted() bool {
	limit := u.job.rec.Job.MaxAttempts
	return limit > 0 && len(u.failedRuns) >= limit && !u.spec().LongLived
}

func (p *Planner) completeUnit(u *unit, now time.Duration) {
	if u.phase == unitDone || u.phase == unitAbandoned {
		return
	}
	u.phase = unitDone
	for _, r := range u.runs {
		if r.phase == runStarting { // its start may still be sent again
			p.stopRun(r, "gang succeeded")
		}
	}
	p.markChanged(u.job)
	u.job.unitDone(u)
	p.checkCompletion(u.job, now)
}

// handleUnknownResult handles the result of a run that isn't on record or is orphaned: a
// previous owner started it, or it was dropped as lost.
func (p *Planner) handleUnknownResult(now time.Duration, w *worker, result port.RunResult) {
	j := p.jobs[result.Task.Job]
	if j == nil {
		return
	}
	u := j.unitOf(result.Task)
	if u == nil || u.phase == unitDone || u.phase == unitAbandoned {
		return
	}
	u.nextRun = max(u.nextRun, result.Run+1)
	idle := len(u.runs) == 0
	switch {
	case u.spec().LongLived:
	case result.Kind == port.ResultSucceeded && (idle || !slices.Contains(u.expiredRuns, expiredRun{result.Run, w.info.ID, w.incarnation})):
		p.stopUnit(u, now, "succeeded elsewhere")
		p.completeUnit(u, now)
	case result.Kind == port.ResultFailed:
		u.addFailure(result.Run)
		p.markChanged(j)
		if idle {
			u.phase = unitStopping
			p.releaseIfIdle(u, now)
		}
	}
	if result.Checkpoint != "" && idle && u.phase != unitDone && u.spec().Checkpointable {
		u.checkpoint = result.Checkpoint
		p.markChanged(j)
	}
}

// unitOf returns the unit that contains a task, or nil if the job has no such
// task.
func (j *job) unitOf(t work.TaskID) *unit {
	job := &j.rec.Job
	if len(j.perStep) == 0 || t.Step < 0 || t.Step >= len(job.Steps) || t.Index < 0 || t.Occurrence < 0 || t.Occurrence >= job.Occurrences() {
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
