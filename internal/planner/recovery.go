package planner

import (
	"slices"
	"strings"
	"time"
)

// recovery tracks what a new owner has yet to learn about the runs of a previous
// owner.
type recovery struct {
	active bool
	// uncontacted holds the workers that haven't answered this owner and where any lease
	// of a previous owner may last. At those in leasesExpired only leases that nobody
	// confirmed may last. Both outlive the recovery.
	uncontacted, leasesExpired map[string]bool
	// pendingContact holds the workers listed when the recovery began whose first
	// call has neither been answered nor failed.
	pendingContact map[string]bool
	// learnedBy tells how this owner learned what ran on a worker first: by a report, or
	// why its runs were lost. It is kept for the log.
	learnedBy map[string]string
	// unknownLeasesEndAt is the time from which no confirmed lease is left at a worker
	// that this owner doesn't know, and longUnknownLeasesEndAt from which none is.
	unknownLeasesEndAt, longUnknownLeasesEndAt time.Duration
	// placementsComplete is set if all placements of the previous owner are
	// stored, so that a unit waits only for the workers of its own attempt.
	placementsComplete bool
	// previousOwnerFenced is set once a previous owner that is cut off from the store
	// starts nothing more without storing the placement first.
	previousOwnerFenced bool
	// previousOwnerStopped is set once the previous owner can no longer store or
	// acknowledge anything and all that it stored is merged.
	previousOwnerStopped bool
	// takeoverNoticedBy is the time by which the previous owner is certain to have
	// noticed the takeover.
	takeoverNoticedBy time.Duration
}

// Recover makes inherited jobs wait until every worker has reported or been lost,
// because tasks of a previous owner may run there, until no lease is left at workers that
// aren't known to the planner (SetUnknownLeasesEndAt), and until
// SetPreviousOwnerStopped is called. Jobs that arrive
// during the recovery wait until it ends or until takeoverNoticedBy. If
// placementsComplete is set, jobs wait only for the workers of their own stored
// attempts. In either case they wait until the first call to each worker known now
// is answered or has failed.
func (p *Planner) Recover(takeoverNoticedBy time.Duration, placementsComplete bool) {
	r := &p.recovery
	r.active, r.takeoverNoticedBy, r.placementsComplete = true, takeoverNoticedBy, placementsComplete
	for id := range p.workers {
		r.uncontacted[id], r.pendingContact[id] = true, true
	}
}

// Recovering reports whether a recovery is under way.
func (p *Planner) Recovering() bool { return p.recovery.active }

// SetUnknownLeasesEndAt sets when no lease is left at workers that aren't known to the
// planner: confirmed for leases that a previous owner confirmed, longest for the others.
func (p *Planner) SetUnknownLeasesEndAt(confirmed, longest time.Duration) {
	p.recovery.unknownLeasesEndAt, p.recovery.longUnknownLeasesEndAt = confirmed, longest
}

// AllWorkersReported reports whether every worker of a previous owner has reported to
// this owner or lost its runs, but for those whose leases nobody confirmed.
func (p *Planner) AllWorkersReported(now time.Duration) bool {
	r := &p.recovery
	return !r.active || len(r.uncontacted) == len(r.leasesExpired) && now >= r.unknownLeasesEndAt
}

// SetPreviousOwnerStopped records that the previous owner has stopped and that
// all that it stored is merged.
func (p *Planner) SetPreviousOwnerStopped() { p.recovery.previousOwnerStopped = true }

// SetPreviousOwnerFenced records that a previous owner that is cut off from the store
// starts nothing more that isn't in the stored placements. placementsIncomplete tells that
// it may have done so before.
func (p *Planner) SetPreviousOwnerFenced(placementsIncomplete bool) {
	p.recovery.previousOwnerFenced = true
	p.recovery.placementsComplete = p.recovery.placementsComplete && !placementsIncomplete
}

// ContactFailed records that the first call to the worker got no answer.
func (p *Planner) ContactFailed(id string) { delete(p.recovery.pendingContact, id) }

// awaitsRecovery reports whether a previous owner's attempt of the unit may run
// on a worker that hasn't reported yet.
func (p *Planner) awaitsRecovery(u *unit, now time.Duration) bool {
	if slices.ContainsFunc(u.previousWorkers, func(id string) bool { return p.mayRunOn(u, id, now) }) {
		return true
	}
	if !p.recovery.active {
		return false
	}
	if len(p.recovery.pendingContact) > 0 && (u.inherited || u.arrivedInRecovery) {
		return true
	}
	if !p.recovery.previousOwnerFenced && u.inherited {
		return true
	}
	if !p.recovery.placementsComplete && (u.inherited || u.arrivedInRecovery && now < p.recovery.takeoverNoticedBy) {
		return true
	}
	return false
}

// mayRunOn reports whether a previous owner's attempt of the unit may run on a worker.
func (p *Planner) mayRunOn(u *unit, id string, now time.Duration) bool {
	r := &p.recovery
	leasesEndAt := r.longUnknownLeasesEndAt
	if u.previousConfirmed {
		leasesEndAt = r.unknownLeasesEndAt
	}
	return r.uncontacted[id] && !(u.previousConfirmed && r.leasesExpired[id]) || p.workers[id] == nil && now < leasesEndAt
}

// addPreviousWorkers adds the workers of a previous owner's attempt. confirmed tells whether
// its leases there are confirmed.
func (u *unit) addPreviousWorkers(ids []string, confirmed bool) {
	if len(ids) == 0 {
		return
	}
	u.previousConfirmed = confirmed && (u.previousConfirmed || len(u.previousWorkers) == 0)
	u.previousWorkers = slices.Concat(u.previousWorkers, ids)
	slices.Sort(u.previousWorkers)
	u.previousWorkers = slices.Compact(u.previousWorkers)
}

// finishRecovery ends the recovery once all workers have reported and the previous
// owner's progress is known. It stops gangs of a previous owner that are running
// only in part, and allows inherited units to be placed.
func (p *Planner) finishRecovery(now time.Duration) {
	if !p.recovery.active || !p.AllWorkersReported(now) || !p.recovery.placementsComplete && !p.recovery.previousOwnerStopped {
		return
	}
	p.recovery.active = false
	p.log(LogEntry{Event: EventRecoveryFinished, Count: len(p.workers)})
	for _, j := range p.jobsByArrival {
		for _, u := range j.units {
			if len(u.previousWorkers) > 0 && len(u.runs) == 0 {
				u.freedBy = p.whyFree(u)
			}
			u.inherited, u.arrivedInRecovery = false, false
			if len(u.runs) == u.count || !slices.ContainsFunc(u.previousWorkers, func(id string) bool { return p.mayRunOn(u, id, now) }) {
				u.previousWorkers = nil
			}
			if u.phase == unitActive && len(u.runs) < u.count {
				p.stopAttempt(u, now, "incomplete gang")
			}
		}
	}
}

// contacted records that no lease of a previous owner is left at the worker but for those
// of runs on record.
func (r *recovery) contacted(id string) {
	delete(r.uncontacted, id)
	delete(r.leasesExpired, id)
	delete(r.pendingContact, id)
}

// learned records how this owner first learned what ran on a worker.
func (r *recovery) learned(id, how string) {
	if r.active && r.learnedBy[id] == "" {
		r.learnedBy[id] = how
	}
}

// whyFree tells, for the workers of a previous owner's attempt, why it counts as over.
func (p *Planner) whyFree(u *unit) string {
	var reasons []string
	for _, id := range u.previousWorkers {
		how := p.recovery.learnedBy[id]
		if how == "" {
			how = "not in the stored list"
		}
		reasons = append(reasons, id+" "+how)
	}
	return strings.Join(reasons, ", ")
}

// logPlacedAgain logs the first placement of a unit that a previous owner had placed.
func (p *Planner) logPlacedAgain(u *unit, number int64) {
	why := u.freedBy
	if len(u.previousWorkers) > 0 {
		why = p.whyFree(u)
	}
	if why != "" {
		p.log(LogEntry{Event: EventPlacedAgain, Job: u.job.rec.Job.ID, Task: taskID(u, u.first), Run: number, Detail: why, Count: u.count})
	}
}
