package planner

import "time"

// recovery tracks what a new owner has yet to learn about the runs of a previous
// owner.
type recovery struct {
	active bool
	// uncontacted holds the workers that haven't answered this owner.
	// pendingContact holds the workers listed when the recovery began whose first
	// call has neither been answered nor failed.
	uncontacted, pendingContact map[string]bool
	// registryCompleteAt is the time from which the registry is known to list
	// every worker.
	registryCompleteAt time.Duration
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

// Recover makes inherited jobs wait until every worker listed by
// registryCompleteAt has reported or been lost, because tasks of a previous owner
// may run there, and until SetPreviousOwnerStopped is called. Jobs that arrive
// during the recovery wait until it ends or until takeoverNoticedBy. If
// placementsComplete is set, jobs wait only for the workers of their own stored
// attempts. In either case they wait until the first call to each worker known now
// is answered or has failed.
func (p *Planner) Recover(registryCompleteAt, takeoverNoticedBy time.Duration, placementsComplete bool) {
	r := &p.recovery
	r.active, r.registryCompleteAt, r.takeoverNoticedBy, r.placementsComplete = true, registryCompleteAt, takeoverNoticedBy, placementsComplete
	for id := range p.workers {
		r.uncontacted[id], r.pendingContact[id] = true, true
	}
}

// SetRegistryCompleteAt sets the time from which the registry is known to list every
// worker.
func (p *Planner) SetRegistryCompleteAt(at time.Duration) { p.recovery.registryCompleteAt = at }

// AllWorkersReported reports whether every worker that is or may be listed has
// reported to this owner or lost its runs.
func (p *Planner) AllWorkersReported(now time.Duration) bool {
	return !p.recovery.active || len(p.recovery.uncontacted) == 0 && now >= p.recovery.registryCompleteAt
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
	if !p.recovery.active {
		return false
	}
	if len(p.recovery.pendingContact) > 0 && (u.inherited || u.arrivedInRecovery) {
		return true
	}
	if !p.recovery.previousOwnerFenced && u.inherited {
		return true
	}
	if !p.recovery.placementsComplete {
		return u.inherited || (u.arrivedInRecovery && now < p.recovery.takeoverNoticedBy)
	}
	for _, id := range u.previousWorkers {
		if p.recovery.uncontacted[id] || (p.workers[id] == nil && now < p.recovery.registryCompleteAt) {
			return true
		}
	}
	return false
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
			u.inherited, u.arrivedInRecovery, u.previousWorkers = false, false, nil
			if u.phase == unitActive && len(u.runs) < u.count {
				p.stopAttempt(u, now, "incomplete gang")
			}
		}
	}
}
