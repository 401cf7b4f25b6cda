package pool

import "time"

const (
	// planningPause is the pause after a planning pass, in multiples of the pass's
	// duration. It leaves most of the processor to calls, reports and heartbeats when
	// many workers and jobs make passes long, and events are collected meanwhile.
	planningPause = 3
	// maxPlanningPause bounds the pause. Urgent jobs wait for at most this.
	maxPlanningPause = planInterval
)

// planPacer limits how often planning passes run by how long they take. The load
// pattern that it answers is a burst at a large pool, in which thousands of events a
// second would each start a pass. The zero value allows a pass at once.
type planPacer struct{ nextAt time.Duration }

// pause returns how long to wait before the next pass, 0 if it may run at now.
func (p *planPacer) pause(now time.Duration) time.Duration { return max(p.nextAt-now, 0) }

// passed records a pass.
func (p *planPacer) passed(began, ended time.Duration) {
	p.nextAt = ended + min(planningPause*(ended-began), maxPlanningPause)
}
