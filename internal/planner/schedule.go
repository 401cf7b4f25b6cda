package planner

import "time"

// dueMargin keeps an occurrence from starting early. It covers the inaccuracy of
// the store's clock, on which the instances' wall clock is based.
const dueMargin = 50 * time.Millisecond

// SetWallClock sets the wall clock that corresponds to now, as the time since the
// Unix epoch.
func (p *Planner) SetWallClock(now, wall time.Duration) {
	p.wallOffset, p.hasWallClock = wall-now, true
}

// dueAt returns when the unit's occurrence is due, on the planner's clock. It
// reports false while the wall clock isn't set.
func (p *Planner) dueAt(u *unit) (time.Duration, bool) {
	s := &u.job.rec.Job.Schedule
	if s.Count == 0 {
		return u.job.arrivedAt, true
	}
	return s.Due(u.occurrence) - p.wallOffset + dueMargin, p.hasWallClock
}

// due reports whether the unit's schedule allows it to start.
func (p *Planner) due(u *unit, now time.Duration) bool {
	at, ok := p.dueAt(u)
	return ok && now >= at
}

// waited returns how long the unit's job or its occurrence has been due.
func (p *Planner) waited(u *unit, now time.Duration) time.Duration {
	at, _ := p.dueAt(u)
	return now - max(at, u.job.arrivedAt)
}
