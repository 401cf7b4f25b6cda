package planner

import "time"

// isServing reports whether the unit's tasks serve requests under a latency
// target.
func (u *unit) isServing() bool { return u.spec().TailLatencyTarget > 0 }

// colocation describes the kinds of task that run on a worker.
type colocation struct {
	serving bool
	// protectedBestEffort is set if there are best-effort tasks whose step limits
	// disruptions.
	protectedBestEffort bool
}

func (w *worker) colocation() colocation {
	var c colocation
	for _, r := range w.runs {
		if r.unit == nil {
			continue
		}
		s := r.unit.spec()
		c.serving = c.serving || s.TailLatencyTarget > 0
		c.protectedBestEffort = c.protectedBestEffort || s.BestEffort && s.MaxUnavailable > 0
	}
	return c
}

// compatibleWith reports whether the unit may run next to the tasks in c.
// Best-effort tasks disturb serving tasks by amounts that change within seconds,
// so the two kinds don't share a worker. Best-effort tasks are stopped for
// serving tasks unless they are protected.
func (u *unit) compatibleWith(c colocation) bool {
	return !(u.spec().BestEffort && c.serving) && !(u.isServing() && c.protectedBestEffort)
}

// stopBestEffort stops the best-effort tasks on a worker that is about to run a
// serving task.
func (p *Planner) stopBestEffort(w *worker, now time.Duration) {
	var units []*unit
	for _, r := range w.runs {
		if r.unit != nil && r.unit.spec().BestEffort && r.unit.phase == unitActive {
			units = append(units, r.unit)
		}
	}
	for _, u := range units {
		p.stopAttempt(u, now, "gives way to a serving task")
	}
}
