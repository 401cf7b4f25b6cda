package scheduler

import (
	"fmt"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// oracle decides by exhaustive search whether the unused gangs of all guarantees
// fit at once. It shares no code with the scheduler.
type oracle struct {
	racks []string
	// failedSearches has the number of unused gangs and the free accelerators of
	// each search that found no places.
	failedSearches map[string]bool
}

// fitResult is the result of unusedGangsFit. Several matchings of running gangs to
// guarantees may be equally good; the unused gangs of the guarantees then depend on
// the matching. fitsInAnyMatching is set if they fit with at least one of these
// matchings, fitsInAllMatchings if they fit with each.
type fitResult struct {
	fitsInAnyMatching, fitsInAllMatchings bool
}

// gangMatching is a possible matching of running gangs to guarantees.
type gangMatching struct {
	s          Snapshot
	guaranteed []guaranteedGang
	gangs      []Gang
	// fixed lists the gangs that can't be reclaimed.
	fixed []Gang
	// unmatched counts the gangs without a guarantee. used sums the accelerators of
	// the matched guarantees.
	unmatched, used int
}

type guaranteedGang struct {
	structs.Guarantee
	owner   string
	matched bool
}

// unusedGangsFit determines whether the unused gangs of all guarantees fit at once on
// accelerators that are free, stopping, or borrowed by preemptible gangs. It considers
// the matchings that leave the fewest running gangs without a guarantee and, among
// these, use guarantees with the fewest accelerators.
func unusedGangsFit(s Snapshot) fitResult {
	gm := gangMatching{s: s}
	for _, w := range s.Workspaces {
		for _, g := range w.Guarantees {
			for range g.Gangs {
				gm.guaranteed = append(gm.guaranteed, guaranteedGang{Guarantee: g, owner: w.Name})
			}
		}
	}
	for _, g := range s.Gangs {
		switch {
		case g.Stopping || g.Borrowed && g.Preemptible:
		case g.Borrowed:
			gm.fixed = append(gm.fixed, g)
		default:
			gm.gangs = append(gm.gangs, g)
		}
	}
	found := map[[2]int]fitResult{}
	gm.eachMatching(func(complete gangMatching) {
		key := [2]int{complete.unmatched, complete.used}
		previous, seen := found[key]
		ok := complete.packable()
		found[key] = fitResult{fitsInAnyMatching: previous.fitsInAnyMatching || ok, fitsInAllMatchings: (previous.fitsInAllMatchings || !seen) && ok}
	})
	best := [2]int{1 << 20, 0}
	for key := range found {
		if key[0] < best[0] || key[0] == best[0] && key[1] < best[1] {
			best = key
		}
	}
	return found[best]
}

// eachMatching visits every matching of the gangs that are left.
func (gm gangMatching) eachMatching(visit func(gangMatching)) {
	if len(gm.gangs) == 0 {
		visit(gm)
		return
	}
	g := gm.gangs[0]
	for i, candidate := range gm.guaranteed {
		duplicate := i > 0 && gm.guaranteed[i-1] == candidate
		if duplicate || candidate.matched || candidate.owner != g.Key.Workspace || !coversGang(candidate.Guarantee, g) {
			continue
		}
		next := gm
		next.guaranteed = slices.Clone(gm.guaranteed)
		next.guaranteed[i].matched = true
		next.fixed = append(slices.Clone(gm.fixed), g)
		next.used += candidate.Members * candidate.Accelerators
		next.gangs = gm.gangs[1:]
		next.eachMatching(visit)
	}
	next := gm
	if !g.Preemptible {
		next.fixed = append(slices.Clone(gm.fixed), g)
	}
	next.unmatched++
	next.gangs = gm.gangs[1:]
	next.eachMatching(visit)
}

// coversGang reports whether every place for the guarantee also holds the gang.
func coversGang(guarantee structs.Guarantee, g Gang) bool {
	level := map[structs.Adjacency]int{structs.AdjacencyWorker: 0, structs.AdjacencyRack: 1, structs.AdjacencyDomain: 2}
	if level[guarantee.Adjacency] > level[g.Adjacency] {
		return false
	}
	if guarantee.Adjacency == structs.AdjacencyWorker {
		return guarantee.Members*guarantee.Accelerators >= len(g.Members)*g.Accelerators
	}
	return guarantee.Members*(guarantee.Accelerators/g.Accelerators) >= len(g.Members)
}

// packable reports whether all guaranteed gangs that no running gang uses fit at
// once.
func (gm gangMatching) packable() bool {
	s, fixed := gm.s, gm.fixed
	var unused []structs.Guarantee
	for _, guaranteed := range gm.guaranteed {
		if !guaranteed.matched {
			unused = append(unused, guaranteed.Guarantee)
		}
	}
	o := oracle{}
	free := make([]int, len(s.Workers))
	for i, w := range s.Workers {
		o.racks = append(o.racks, w.Rack)
		if !w.Usable {
			continue
		}
		free[i] = w.Accelerators
		for _, g := range fixed {
			for _, m := range g.Members {
				if m.Worker == w.ID {
					free[i] -= g.Accelerators
				}
			}
		}
	}
	o.failedSearches = make(map[string]bool)
	return o.fit(free, unused)
}

// fit reports whether all unused guaranteed gangs fit at once.
func (o *oracle) fit(free []int, unused []structs.Guarantee) bool {
	if len(unused) == 0 {
		return true
	}
	key := fmt.Sprint(len(unused), free)
	if o.failedSearches[key] {
		return false
	}
	if o.placeMembers(free, unused, 0, unused[0].Members, -1) {
		return true
	}
	o.failedSearches[key] = true
	return false
}

// placeMembers places the members of the first gang one by one, on workers from
// index from on. first is the worker of the first member, or -1.
func (o *oracle) placeMembers(free []int, unused []structs.Guarantee, from, left, first int) bool {
	if left == 0 {
		return o.fit(free, unused[1:])
	}
	g := unused[0]
	for w := from; w < len(free); w++ {
		if free[w] < g.Accelerators || first >= 0 && !o.adjacent(g.Adjacency, first, w) {
			continue
		}
		free[w] -= g.Accelerators
		firstWorker := first
		if firstWorker < 0 {
			firstWorker = w
		}
		ok := o.placeMembers(free, unused, w, left-1, firstWorker)
		free[w] += g.Accelerators
		if ok {
			return true
		}
	}
	return false
}

func (o *oracle) adjacent(a structs.Adjacency, x, y int) bool {
	switch a {
	case structs.AdjacencyWorker:
		return x == y
	case structs.AdjacencyRack:
		return o.racks[x] == o.racks[y]
	default:
		return true
	}
}
