package planner

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// idleStartAfter is how long a unit waits before it may use idle capacity that is kept for
// others or that is on several racks. The platform allows a job to have nothing running for
// 3 s while there is room for it, and a long-lived task for 6 s.
const idleStartAfter = 2 * time.Second

// mostlyIdle reports whether less than half of each resource is in use of the listed workers
// outside of the evacuated failure domains.
func (p *Planner) mostlyIdle() bool {
	var free, capacity work.Resources
	for _, w := range p.workers {
		if w.listed && !w.evacuated {
			free, capacity = free.Add(w.free), capacity.Add(w.info.Capacity)
		}
	}
	idle := func(free, capacity int64) bool { return 2*free > capacity || capacity == 0 }
	return idle(free.CPU, capacity.CPU) && idle(free.MemMB, capacity.MemMB) && idle(free.Accel, capacity.Accel)
}

// placeOnIdle returns a placement of a unit that has waited for idleStartAfter while most
// of the capacity is idle and the unit fits twice over. A long-lived unit gets one however
// much is in use, as what it waits for may never end. It ignores reservations, headroom
// and racks, and uses workers on which the unit failed before if the others don't suffice:
// these are worth a wait only while capacity is scarce. Otherwise it returns nil.
func (v *view) placeOnIdle(u *unit) []placement {
	waited := min(v.planner.waited(u, v.now), v.now-u.attemptEndedAt)
	if !v.mostlyIdle && !u.spec().LongLived || waited < idleStartAfter {
		return nil
	}
	open := *v
	open.cache = nil // failures that are due to reservations and headroom don't hold
	open.reservedFrom, open.urgentOnly = make([]time.Duration, len(v.workers)), make([]bool, len(v.workers))
	room := 0
	for i := range open.workers {
		if open.allowed(u, i, false) {
			room += open.slotsUpTo(u, i, open.free[i], 2*u.count)
		}
	}
	if room < 2*u.count {
		return nil
	}
	if out := open.placeAvoiding(u, true, true); out != nil {
		return out
	}
	return open.placeAvoiding(u, true, false)
}
