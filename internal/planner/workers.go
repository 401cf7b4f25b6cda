package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// PutWorker adds or updates a worker from its registry entry.
func (p *Planner) PutWorker(info work.Worker) {
	w := p.workers[info.ID]
	if w == nil {
		w = p.addWorker(info)
	}
	if info.Incarnation == 0 && (info.EntryVersion == 0 || info.EntryVersion != w.info.EntryVersion) {
		w.restarted = false // it has been written since, as far as that can be told
	}
	w.free = w.free.Add(info.Capacity.Sub(w.info.Capacity))
	w.info, w.listed, w.listedBefore = info, true, true
	w.evacuated = p.evacuated[info.Zone]
}

// InheritWorker adds a worker of a previous owner that the registry doesn't list. It
// gets no new tasks until PutWorker is called for it.
func (p *Planner) InheritWorker(info work.Worker) { p.addWorker(info) }

func (p *Planner) addWorker(info work.Worker) *worker {
	w := &worker{info: info, runs: map[work.TaskID]*run{}, free: info.Capacity}
	p.workers[info.ID] = w
	i, _ := slices.BinarySearch(p.workerIDs, info.ID)
	p.workerIDs = slices.Insert(p.workerIDs, i, info.ID)
	if p.recovery.active {
		p.recovery.uncontacted[info.ID] = true
	}
	return w
}

// described reports whether the worker's description is of the incarnation that answers. Of
// another one neither labels nor capacity are known.
func (w *worker) described() bool {
	if w.info.Incarnation == 0 || w.answering == 0 {
		return !w.restarted
	}
	return w.info.Incarnation == w.answering
}

// Described reports whether the worker is known, its description is of the incarnation that
// answers, and none of its calls has gone unanswered since.
func (p *Planner) Described(id string) bool {
	w := p.workers[id]
	return w != nil && w.described() && !w.broken
}

// Worker returns a worker as it was last put or inherited.
func (p *Planner) Worker(id string) (work.Worker, bool) {
	if w := p.workers[id]; w != nil {
		return w.info, true
	}
	return work.Worker{}, false
}

// WorkerUnlisted records that the registry no longer lists the worker. Its runs
// stay on record until its lease is certain to have expired.
func (p *Planner) WorkerUnlisted(id string) {
	if w := p.workers[id]; w != nil {
		w.listed = false
	}
}

// SetReachable sets whether the worker answers calls.
func (p *Planner) SetReachable(id string, reachable bool) {
	if w := p.workers[id]; w != nil {
		w.reachable = reachable
	}
}

// ContactBroken records that the worker has left a call unanswered. Until its next report it
// may be of another incarnation.
func (p *Planner) ContactBroken(id string) {
	if w := p.workers[id]; w != nil {
		w.broken = true
	}
}

// WorkerLost drops all runs of a worker whose leases are certain to have expired
// or whose process is known to have exited. If remove is set, the worker is
// removed too.
func (p *Planner) WorkerLost(now time.Duration, id string, remove bool, why string) {
	w := p.workers[id]
	if w == nil {
		return
	}
	n := len(w.runs)
	for _, r := range w.runs {
		p.handleLeaseExpired(r, now)
	}
	p.log(LogEntry{Event: EventWorkerLost, Worker: id, Count: n, Detail: why})
	p.recovery.learned(id, why)
	p.recovery.contacted(id)
	w.health = health{}
	if remove {
		p.speeds.Forget(id)
		delete(p.workers, id)
		p.workerIDs = slices.DeleteFunc(p.workerIDs, func(s string) bool { return s == id })
	}
}

// ConfirmedLeasesExpired drops the runs of a worker whose leases are confirmed, as these
// are certain to have expired. The others may have the longest lease that a worker grants,
// and stay on record until WorkerLost.
func (p *Planner) ConfirmedLeasesExpired(now time.Duration, id string) {
	w := p.workers[id]
	if w == nil {
		return
	}
	n := 0
	for _, r := range w.runs {
		if r.inDoubt() {
			continue
		}
		p.handleLeaseExpired(r, now)
		n++
	}
	expired := p.recovery.uncontacted[id] && !p.recovery.leasesExpired[id]
	if expired {
		p.recovery.leasesExpired[id] = true
		delete(p.recovery.pendingContact, id)
	}
	if n > 0 || expired {
		p.log(LogEntry{Event: EventLeasesExpired, Worker: id, Count: n, Detail: fmt.Sprintf("%d runs left in doubt", len(w.runs))})
		p.recovery.learned(id, "confirmed leases expired")
	}
}

// handleLeaseExpired drops a run whose lease is certain to have expired.
func (p *Planner) handleLeaseExpired(r *run, now time.Duration) {
	if u := r.unit; u != nil {
		if r.phase == runRunning {
			p.recordDiscarded(u.job, "worker lost", discardedWork(u, r, now))
		}
		u.expiredRuns = append(u.expiredRuns, expiredRun{r.number, r.worker.info.ID, r.worker.incarnation})
	}
	p.handleRunLost(r, now)
}

// SetLongLease records that until the given time the worker's lease may exceed what this
// owner asks for.
func (p *Planner) SetLongLease(id string, until time.Duration) {
	if w := p.workers[id]; w != nil {
		w.longLeaseUntil = until
	}
}

// HasLongLease reports whether the worker's lease may exceed what this owner asks for.
func (p *Planner) HasLongLease(id string, now time.Duration) bool {
	w := p.workers[id]
	return w != nil && now < w.longLeaseUntil
}

const (
	// recordConfirmedFrom is the estimate of a task from which a record is written only to
	// tell that its lease is confirmed. Shorter ones have mostly ended before a successor
	// would need to know it.
	recordConfirmedFrom = 4 * time.Second
	// recordConfirmedInterval is the least time between two such records of a job.
	recordConfirmedInterval = 3 * time.Second
)

// RecordConfirmedLeases has the jobs with long tasks stored again of which an attempt's
// leases are confirmed and the record doesn't tell.
func (p *Planner) RecordConfirmedLeases(now time.Duration) {
	for _, j := range p.jobsByArrival {
		if !j.open() {
			continue
		}
		confirmed := false
		for _, u := range j.units {
			confirmed = u.confirm(now) || confirmed
		}
		if confirmed && now >= j.recordConfirmedAt {
			j.recordConfirmedAt = now + recordConfirmedInterval
			p.markChanged(j)
		}
	}
}

// confirm confirms the leases of the unit's runs as far as they are known, and reports
// whether all are, the task is long and the job's last record doesn't tell.
func (u *unit) confirm(now time.Duration) bool {
	if u.phase != unitActive || u.confirmedStored {
		return false
	}
	for _, r := range u.runs {
		r.confirmed = r.confirmed || !r.inDoubt() && now >= r.worker.longLeaseUntil
	}
	return (u.spec().LongLived || u.spec().Estimate >= recordConfirmedFrom) && u.confirmed()
}

// confirmed reports whether all leases that the unit may have are confirmed.
func (u *unit) confirmed() bool {
	if len(u.previousWorkers) > 0 && !u.previousConfirmed {
		return false
	}
	for _, r := range u.runs {
		if !r.confirmed {
			return false
		}
	}
	return true
}

// WorkerRestarted drops the runs of a worker's previous incarnation. Starts that are
// unanswered, or whose answer doesn't tell the incarnation, may have reached the new
// one or may still do so. They are stopped there.
func (p *Planner) WorkerRestarted(now time.Duration, id string) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.incarnation++
	w.answering, w.restarted = 0, true
	p.speeds.Forget(id)
	w.lastResult, w.acknowledgeable, w.unacked = 0, 0, nil
	p.log(LogEntry{Event: EventWorkerRestarted, Worker: id, Count: len(w.runs)})
	for _, r := range w.runs {
		u := r.unit
		if r.inDoubt() {
			p.orderStop(r, "unanswered")
			if u != nil {
				p.endAttempt(u, now)
			}
			continue
		}
		if r.phase == runRunning && u != nil {
			p.recordDiscarded(u.job, "worker lost", discardedWork(u, r, now))
		}
		p.handleRunLost(r, now)
	}
	w.health = health{}
}

// HandleReport handles a worker's report of its active runs and of run results, and
// returns the results that are new. sentAt is when the request was sent. Runs and results
// of unknown jobs are kept until AddJob or DropUnknownJob.
func (p *Planner) HandleReport(now, sentAt time.Duration, id string, reply port.HoldReply) []port.RunResult {
	w := p.workers[id]
	if w == nil {
		return nil
	}
	var newResults []port.RunResult
	w.contacted, w.reachable, w.broken = true, true, false
	w.answering = reply.Clock.Incarnation
	for _, result := range reply.Results {
		if result.Sequence <= w.lastResult {
			continue // handled before; workers repeat a result until it is acknowledged
		}
		w.lastResult = result.Sequence
		newResults = append(newResults, result)
		w.unacked = append(w.unacked, unackedResult{result.Sequence, result.Task.Job})
		if !p.keepResult(now, w, result) {
			p.handleResult(now, w, result)
		}
	}
	p.handleReportedRuns(now, sentAt, w, &reply)
	w.reportedAt = now
	p.recovery.learned(id, "reported")
	p.recovery.contacted(id)
	return newResults
}

// AcknowledgeableResult returns the sequence of the worker's last result that may
// be acknowledged: the changes of all results up to it are stored. It returns 0 if
// there is none.
func (p *Planner) AcknowledgeableResult(id string) int64 {
	w := p.workers[id]
	if w == nil {
		return 0
	}
	for len(w.unacked) > 0 {
		id := w.unacked[0].job
		if j := p.jobs[id]; j != nil && j.unstored || p.unknownJobs[id] != nil {
			break
		}
		w.acknowledgeable = w.unacked[0].sequence
		w.unacked = w.unacked[1:]
	}
	return w.acknowledgeable
}

func (p *Planner) handleReportedRuns(now, sentAt time.Duration, w *worker, reply *port.HoldReply) {
	reported := make(map[work.TaskID]bool, len(reply.Running))
	for i := range reply.Running {
		s := &reply.Running[i]
		reported[s.Task] = true
		r := w.runs[s.Task]
		if r == nil || r.number != s.Run {
			p.adopt(now, w, s)
			continue
		}
		p.updateRun(now, r, s)
	}
	if reply.Incomplete {
		return // a run that isn't named may have ended with a result that isn't either
	}
	for task, r := range w.runs {
		if reported[task] {
			continue
		}
		// The report shows a run's loss only if its request was sent after the
		// run's start or stop was confirmed.
		lost := r.phase == runRunning && r.confirmedAt < sentAt ||
			r.phase == runStopping && r.stopConfirmedAt > 0 && r.stopConfirmedAt < sentAt
		if !lost {
			continue
		}
		p.handleRunLost(r, now)
	}
}

func (p *Planner) updateRun(now time.Duration, r *run, s *port.RunState) {
	r.reported = true
	if r.phase == runStarting {
		r.phase, r.startedAt, r.confirmedAt = runRunning, now, now
		if gained := s.ProgressPercent - r.basePercent; gained > 0 { // the answer to its start was lost
			r.startedAt -= scaled(r.unit.spec().Estimate, r.timeFactor()) * time.Duration(gained) / 100
		}
		p.markStarted(r.unit.job, now)
	}
	if s.ProgressPercent > r.percent {
		r.percent, r.progressAt = s.ProgressPercent, now
		p.observeSpeed(r, s.ProgressPercent, now)
	}
	if r.unit == nil {
		r.checkpoint = s.Checkpoint
	}
	if s.Checkpoint != "" && r.unit != nil && r.unit.spec().Checkpointable && s.ProgressPercent >= r.unit.checkpointPercent {
		r.unit.checkpoint, r.unit.checkpointPercent = s.Checkpoint, s.ProgressPercent
	}
}

// adopt takes over a run that this owner didn't start, or stops it. It keeps the run of
// an unknown job.
func (p *Planner) adopt(now time.Duration, w *worker, s *port.RunState) {
	if old := w.runs[s.Task]; old != nil {
		return // another run of the task is on record and must end first
	}
	j := p.jobs[s.Task.Job]
	var u *unit
	if j != nil {
		u = j.unitOf(s.Task)
	}
	if u != nil && j.open() && !slices.Contains(u.previousWorkers, w.info.ID) {
		p.unrecorded = append(p.unrecorded, s.Task.Job)
		p.markChanged(j)
	}
	if u != nil && j.open() && u.accepts(s) {
		u.nextRun = max(u.nextRun, s.Run+1)
		u.phase = unitActive
		u.claim = nil
		r := p.addRun(u, s.Task.Index, w, s.Run, runRunning, now)
		r.percent = s.ProgressPercent
		r.startedAt = now - u.spec().Estimate*time.Duration(s.ProgressPercent)/100
		p.updateRun(now, r, s)
		p.markStarted(j, now)
		p.log(LogEntry{Event: EventRunAdopted, Job: s.Task.Job, Worker: w.info.ID, Task: s.Task, Run: s.Run})
		return
	}
	r := &run{task: s.Task, number: s.Run, worker: w, phase: runRunning, startedAt: now, confirmedAt: now, reported: true, percent: s.ProgressPercent, checkpoint: s.Checkpoint, needUnknown: true}
	w.runs[s.Task] = r
	w.unknownNeeds++
	p.setNeed(r, u)
	if j == nil {
		p.noteUnknown(s.Task.Job, now)
		p.log(LogEntry{Event: EventUnknownRun, Job: s.Task.Job, Worker: w.info.ID, Task: s.Task, Run: s.Run})
		return
	}
	if u != nil {
		u.nextRun = max(u.nextRun, s.Run+1)
		p.blockUntilStopped(u, r, now)
	}
	p.stopOrphan(r)
}

// TakeUnrecorded returns the jobs of which runs have been adopted since the last call whose
// placements no record tells. They have changed.
func (p *Planner) TakeUnrecorded() []string {
	jobs := p.unrecorded
	p.unrecorded = nil
	return jobs
}

// stopOrphan stops a run that belongs to no current attempt.
func (p *Planner) stopOrphan(r *run) {
	p.log(LogEntry{Event: EventOrphanedRun, Job: r.task.Job, Worker: r.worker.info.ID, Task: r.task, Run: r.number})
	p.stopRun(r, "stray")
}

// blockUntilStopped keeps the unit from being placed until a run that can't be
// adopted has ended.
func (p *Planner) blockUntilStopped(u *unit, r *run, now time.Duration) {
	if u.phase == unitDone || u.phase == unitAbandoned || u.runs[r.task.Index] != nil {
		return
	}
	if u.phase == unitActive { // a gang of which another attempt is partly adopted
		p.stopAttempt(u, now, "incomplete gang")
	}
	r.unit = u
	u.runs[r.task.Index] = r
	u.phase, u.attemptEndedAt, u.stopSent, u.claim = unitStopping, now, true, nil
}

// accepts reports whether a reported run can belong to the unit's current
// attempt.
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

// Listed reports whether the registry lists the worker.
func (p *Planner) Listed(id string) bool {
	w := p.workers[id]
	return w != nil && w.listed
}

// MayHaveRuns reports whether the worker has runs on record, or hasn't reported its runs
// yet and may have some.
func (p *Planner) MayHaveRuns(id string) bool {
	w := p.workers[id]
	return w != nil && len(w.runs) > 0 || p.recovery.uncontacted[id]
}

// HasLeft reports whether the worker has left or crashed and nothing on it counts: the
// registry no longer lists it, it doesn't answer, it has no runs on record, and what its
// results changed is stored. The entry of a worker that answers may have expired in an
// outage of the registry, and one that doesn't may go on with its runs until its leases
// end.
func (p *Planner) HasLeft(id string) bool {
	w := p.workers[id]
	return w != nil && !w.listed && !w.reachable && !p.MayHaveRuns(id) && len(w.unacked) == 0
}

// Draining reports whether the worker is draining.
func (p *Planner) Draining(id string) bool {
	w := p.workers[id]
	return w != nil && w.info.Draining
}
