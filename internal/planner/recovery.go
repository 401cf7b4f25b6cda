package planner

import "time"

// recovery is what a new owner still has to learn of a former one's doings.
type recovery struct {
	active bool
	// unheard holds the workers that haven't answered this owner; untried those
	// that haven't failed to answer either.
	unheard, untried map[string]bool
	// registryAt is when the registry can be trusted to name every worker.
	registryAt time.Duration
	// recorded says that a former owner's placements are all on record, so that
	// a unit waits for the workers of its own attempt only.
	recorded bool
	// formerOver is set once a former owner can't store or acknowledge anything
	// any more, and what it did is known.
	formerOver bool
	// newcomersAt is when a former owner has surely heard of the takeover.
	newcomersAt time.Duration
}

// Recover makes inherited jobs wait until every worker that is listed by
// registryAt was heard or lost: a former owner's tasks may run there. Jobs that
// arrive meanwhile wait until newcomersAt at most. With recorded, the stored
// placements are complete, and jobs wait for the workers of their own attempts.
func (p *Planner) Recover(registryAt, newcomersAt time.Duration, recorded bool) {
	r := &p.recovery
	r.active, r.registryAt, r.newcomersAt, r.recorded = true, registryAt, newcomersAt, recorded
	for id := range p.workers {
		r.unheard[id], r.untried[id] = true, true
	}
}

// AllHeard reports whether every worker that is listed, or may be, has answered
// this owner or lost its runs.
func (p *Planner) AllHeard(now time.Duration) bool {
	return !p.recovery.active || len(p.recovery.unheard) == 0 && now >= p.recovery.registryAt
}

// FormerOver says that a former owner has ended and all that it stored is
// merged.
func (p *Planner) FormerOver() { p.recovery.formerOver = true }

// Tried says that the worker's first answer is missing.
func (p *Planner) Tried(id string) { delete(p.recovery.untried, id) }

// awaited reports whether a former owner's attempt of the unit may run on a
// worker that wasn't heard yet.
func (p *Planner) awaited(u *unit, now time.Duration) bool {
	if !p.recovery.active {
		return false
	}
	if len(p.recovery.untried) > 0 && (u.inherited || u.newcomer) {
		return true
	}
	if !p.recovery.recorded {
		return u.inherited || (u.newcomer && now < p.recovery.newcomersAt)
	}
	for _, id := range u.placed {
		if p.recovery.unheard[id] || (p.workers[id] == nil && now < p.recovery.registryAt) {
			return true
		}
	}
	return false
}

// finishRecovery, once no worker is left to hear, gives up gangs of which a
// former owner's run is only partly there, and lets inherited units be placed.
func (p *Planner) finishRecovery(now time.Duration) {
	if !p.recovery.active || !p.AllHeard(now) || !p.recovery.recorded && !p.recovery.formerOver {
		return
	}
	p.recovery.active = false
	p.note(Note{Event: EventRecoveryFinished, Count: len(p.workers)})
	for _, j := range p.open {
		for _, u := range j.units {
			u.inherited, u.newcomer, u.placed = false, false, nil
			if u.phase == unitActive && len(u.runs) < u.count {
				p.stopAttempt(u, now, "incomplete gang")
			}
		}
	}
}
