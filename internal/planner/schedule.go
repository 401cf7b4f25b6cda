package planner

import "time"

// dueMargin keeps an occurrence from starting early: it covers what the store's
// clock, by which instances agree on the time of day, is told inexactly.
const dueMargin = 50 * time.Millisecond

// SetWallClock says what the time of day is, as time since 1970.
func (p *Planner) SetWallClock(now, wall time.Duration) {
	p.wallOffset, p.wallKnown = wall-now, true
}

// dueAt returns when the unit's occurrence is due, on the planner's clock. It
// reports false while the time of day isn't known.
func (p *Planner) dueAt(u *unit) (time.Duration, bool) {
	s := &u.job.rec.Job.Schedule
	if s.Count == 0 {
		return u.job.arrivedAt, true
	}
	return s.Due(u.occurrence) - p.wallOffset + dueMargin, p.wallKnown
}

// due reports whether the unit may start as far as its schedule goes.
func (p *Planner) due(u *unit, now time.Duration) bool {
	at, known := p.dueAt(u)
	return known && now >= at
}

// waited is how long the unit's job, or its occurrence, has been due.
func (p *Planner) waited(u *unit, now time.Duration) time.Duration {
	at, _ := p.dueAt(u)
	return now - max(at, u.job.arrivedAt)
}
