package gangs

import (
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// fifo starts jobs in their order of arrival at the first place that fits,
// and waits with all others behind one that doesn't.
func fifo(s scheduler.Snapshot) scheduler.Plan {
	return inArrivalOrder(s, true)
}

// firstFit is fifo, but jobs that fit pass those that don't.
func firstFit(s scheduler.Snapshot) scheduler.Plan {
	return inArrivalOrder(s, false)
}

func inArrivalOrder(s scheduler.Snapshot, strict bool) scheduler.Plan {
	free := make([]int, len(s.Workers))
	index := make(map[string]int, len(s.Workers))
	for i, w := range s.Workers {
		free[i] = w.Accelerators
		index[w.ID] = i
	}
	for _, g := range s.Gangs {
		for _, p := range g.Members {
			free[index[p.Worker]] -= g.Accelerators
		}
	}
	var plan scheduler.Plan
	for _, p := range s.Queued {
		seats, ok := firstPlace(free, p.Spec)
		if !ok && strict {
			break
		}
		if !ok {
			continue
		}
		start := scheduler.Start{Key: p.Spec.Key}
		for _, w := range seats {
			free[w] -= p.Spec.Accelerators
			start.Places = append(start.Places, scheduler.Place{Worker: s.Workers[w].ID, Rack: s.Workers[w].Rack})
		}
		plan.Starts = append(plan.Starts, start)
	}
	return plan
}

// firstPlace seats the members on the first workers with room, in the first
// worker or rack that holds them all.
func firstPlace(free []int, spec structs.JobSpec) ([]int, bool) {
	span := perRack
	if spec.Adjacency == structs.AdjacencyWorker {
		span = 1
	}
	for lo := 0; lo < len(free); lo += span {
		var seats []int
		for w := lo; w < min(lo+span, len(free)); w++ {
			for n := free[w] / spec.Accelerators; n > 0 && len(seats) < spec.Members; n-- {
				seats = append(seats, w)
			}
		}
		if len(seats) == spec.Members {
			return seats, true
		}
	}
	return nil, false
}
