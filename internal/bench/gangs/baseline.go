package gangs

import (
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// fifo starts jobs in order of arrival on the first workers that fit. A job that
// doesn't fit blocks all later ones.
func fifo(s scheduler.Snapshot) scheduler.Plan {
	return inArrivalOrder(s, true)
}

// firstFit is fifo without head-of-line blocking.
func firstFit(s scheduler.Snapshot) scheduler.Plan {
	return inArrivalOrder(s, false)
}

func inArrivalOrder(s scheduler.Snapshot, headOfLine bool) scheduler.Plan {
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
		workers, ok := firstPlace(free, p.Spec)
		if !ok && headOfLine {
			break
		}
		if !ok {
			continue
		}
		start := scheduler.Start{Key: p.Spec.Key}
		for _, w := range workers {
			free[w] -= p.Spec.Accelerators
			start.Places = append(start.Places, scheduler.Place{Worker: s.Workers[w].ID, Rack: s.Workers[w].Rack})
		}
		plan.Starts = append(plan.Starts, start)
	}
	return plan
}

// firstPlace places the members on the first workers with free capacity, in the
// first worker or rack that fits all of them. It returns a worker index for each
// member.
func firstPlace(free []int, spec structs.JobSpec) ([]int, bool) {
	span := workersPerRack
	if spec.Adjacency == structs.AdjacencyWorker {
		span = 1
	}
	for groupStart := 0; groupStart < len(free); groupStart += span {
		var workers []int
		for w := groupStart; w < min(groupStart+span, len(free)); w++ {
			for n := free[w] / spec.Accelerators; n > 0 && len(workers) < spec.Members; n-- {
				workers = append(workers, w)
			}
		}
		if len(workers) == spec.Members {
			return workers, true
		}
	}
	return nil, false
}
