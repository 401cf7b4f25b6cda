package gangs

import (
	"cmp"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// fragmentation accumulates, in accelerator seconds, the demand of running and
// waiting jobs and the stranded part of it. The demand of a waiting job is stranded
// if enough accelerators are free for the job but they aren't adjacent.
type fragmentation struct {
	demandedSeconds float64
	strandedSeconds float64
	// unavoidableSeconds is the part of strandedSeconds that remains even if all
	// gangs are repacked, the largest first.
	unavoidableSeconds float64
	// The now fields are the current numbers of accelerators.
	nowDemanded, nowStranded, nowUnavoidable int
}

// advance adds the current numbers for a duration.
func (f *fragmentation) advance(d time.Duration) {
	f.demandedSeconds += float64(f.nowDemanded) * d.Seconds()
	f.strandedSeconds += float64(f.nowStranded) * d.Seconds()
	f.unavoidableSeconds += float64(f.nowUnavoidable) * d.Seconds()
}

// strandedShare returns the stranded fraction of the demand.
func (f fragmentation) strandedShare() float64 {
	return f.strandedSeconds / max(1, f.demandedSeconds)
}

func (f fragmentation) unavoidableShare() float64 {
	return f.unavoidableSeconds / max(1, f.demandedSeconds)
}

// recount returns f with the current numbers of s. A waiting job's
// accelerators are stranded if as many are free but not adjacent. Each free
// accelerator counts for at most one waiting job.
func (f fragmentation) recount(s *sim) fragmentation {
	free := s.freeCounts()
	unclaimed := 0
	for _, n := range free {
		unclaimed += n
	}
	totalFree := unclaimed
	f.nowDemanded, f.nowStranded, f.nowUnavoidable = 0, 0, 0
	for _, i := range s.running {
		f.nowDemanded += s.gangs[i].spec.Size()
	}
	for _, i := range s.waiting {
		spec := s.gangs[i].spec
		f.nowDemanded += spec.Size()
		if spec.Size() > unclaimed || spec.Size() > totalFree || placeable(free, spec) {
			continue
		}
		f.nowStranded += spec.Size()
		if !s.fitsRepacked(spec) {
			f.nowUnavoidable += spec.Size()
		}
		unclaimed -= spec.Size()
	}
	return f
}

// fitsRepacked reports whether a gang fits if it and all running gangs are placed
// anew, the largest first, each in the fullest rack that fits it.
func (s *sim) fitsRepacked(spec structs.JobSpec) bool {
	specs := []structs.JobSpec{spec}
	for _, i := range s.running {
		specs = append(specs, s.gangs[i].spec)
	}
	slices.SortStableFunc(specs, func(a, b structs.JobSpec) int {
		return cmp.Or(cmp.Compare(b.Size(), a.Size()), cmp.Compare(b.Accelerators, a.Accelerators))
	})
	free := make([]int, len(s.fleet))
	for i, w := range s.fleet {
		free[i] = w.Accelerators
	}
	for _, sp := range specs {
		if !packInTightestRack(free, sp) {
			return false
		}
	}
	return true
}

// packInTightestRack places a gang in the rack with the least free capacity that
// fits it, on its fullest workers first. It reports whether a rack fits.
func packInTightestRack(free []int, spec structs.JobSpec) bool {
	best, bestFree := -1, 0
	for rackStart := 0; rackStart < len(free); rackStart += workersPerRack {
		members, rackFree := 0, 0
		for _, n := range free[rackStart:min(rackStart+workersPerRack, len(free))] {
			members += n / spec.Accelerators
			rackFree += n
		}
		if members >= spec.Members && (best < 0 || rackFree < bestFree) {
			best, bestFree = rackStart, rackFree
		}
	}
	if best < 0 {
		return false
	}
	for left := spec.Members; left > 0; left-- {
		w := tightestWorker(free, best, spec.Accelerators)
		free[w] -= spec.Accelerators
	}
	return true
}

// tightestWorker returns the rack's worker with the least free capacity that fits
// a member, or -1. rackStart is the index of the rack's first worker.
func tightestWorker(free []int, rackStart, accelerators int) int {
	best := -1
	for w := rackStart; w < min(rackStart+workersPerRack, len(free)); w++ {
		if free[w] >= accelerators && (best < 0 || free[w] < free[best]) {
			best = w
		}
	}
	return best
}

// freeCounts returns the number of free accelerators of each worker.
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

// placeable reports whether a gang fits with its required adjacency.
func placeable(free []int, spec structs.JobSpec) bool {
	for rackStart := 0; rackStart < len(free); rackStart += workersPerRack {
		members := 0
		for w := rackStart; w < min(rackStart+workersPerRack, len(free)); w++ {
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
