package gangs

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// fragmentation sums, over time, the accelerators that waiting jobs demand,
// and those of them that are free yet in no adjacent place for any such job.
type fragmentation struct {
	demanded float64
	stranded float64
	// now are the present counts.
	nowDemanded, nowStranded int
}

// pass lets the present counts last for a time.
func (f *fragmentation) pass(d time.Duration) {
	f.demanded += float64(f.nowDemanded) * d.Seconds()
	f.stranded += float64(f.nowStranded) * d.Seconds()
}

func (f fragmentation) share() float64 {
	if f.demanded == 0 {
		return 0
	}
	return f.stranded / f.demanded
}

// with counts anew. A waiting job strands its accelerators when as many are
// free but not adjacent; what is free is counted once.
func (f fragmentation) with(s *sim) fragmentation {
	free := s.freeCounts()
	left := 0
	for _, n := range free {
		left += n
	}
	all := left
	f.nowDemanded, f.nowStranded = 0, 0
	for _, i := range s.running {
		f.nowDemanded += s.gangs[i].spec.Size()
	}
	for _, i := range s.waiting {
		spec := s.gangs[i].spec
		f.nowDemanded += spec.Size()
		if spec.Size() > left || spec.Size() > all || placeable(free, spec) {
			continue
		}
		f.nowStranded += spec.Size()
		left -= spec.Size()
	}
	return f
}

// freeCounts lists the free accelerators of each worker.
func (s *sim) freeCounts() []int {
	free := make([]int, len(s.fleet))
	index := make(map[string]int, len(s.fleet))
	for i, w := range s.fleet {
		free[i] = w.Accelerators
		index[w.ID] = i
	}
	for _, i := range s.running {
		g := &s.gangs[i]
		for _, p := range g.places {
			free[index[p.Worker]] -= g.spec.Accelerators
		}
	}
	return free
}

// placeable reports whether an adjacent place is free.
func placeable(free []int, spec structs.JobSpec) bool {
	for lo := 0; lo < len(free); lo += perRack {
		members := 0
		for w := lo; w < min(lo+perRack, len(free)); w++ {
			n := free[w] / spec.Accelerators
			if n >= spec.Members {
				return true
			}
			members += n
		}
		if spec.Adjacency != structs.AdjacencyWorker && members >= spec.Members {
			return true
		}
	}
	return false
}
