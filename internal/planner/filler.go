package planner

import "time"

// serves reports whether the unit's tasks answer users of their own.
func (u *unit) serves() bool { return u.spec().TailTarget > 0 }

// neighbours says which kinds of task run on a worker.
type neighbours struct {
	serving bool
	// lasting fillers may not be stopped at will.
	lasting bool
}

func (w *worker) neighbours() neighbours {
	var n neighbours
	for _, r := range w.runs {
		if r.unit == nil {
			continue
		}
		s := r.unit.spec()
		n.serving = n.serving || s.TailTarget > 0
		n.lasting = n.lasting || s.Fills && s.MayMiss > 0
	}
	return n
}

// shares reports whether the unit may share a worker as far as serving tasks
// and fillers go. Fillers disturb serving tasks by amounts that change within
// seconds, so that the two are kept apart; fillers give way.
func (u *unit) shares(n neighbours) bool {
	return !(u.spec().Fills && n.serving) && !(u.serves() && n.lasting)
}

// clearFillers stops the fillers on a worker that is to run a serving task.
func (p *Planner) clearFillers(w *worker, now time.Duration) {
	var fillers []*unit
	for _, r := range w.runs {
		if r.unit != nil && r.unit.spec().Fills && r.unit.phase == unitActive {
			fillers = append(fillers, r.unit)
		}
	}
	for _, u := range fillers {
		p.stopAttempt(u, now, "gives way to a serving task")
	}
}
