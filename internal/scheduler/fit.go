package scheduler

import (
	"cmp"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// reach orders adjacency levels; a block of a nearer level satisfies every
// wider one.
func reach(a structs.Adjacency) int {
	switch a {
	case structs.AdjacencyWorker:
		return 0
	case structs.AdjacencyRack:
		return 1
	default:
		return 2
	}
}

// find returns the place of a gang by best fit, nearest level first: one
// worker, then one rack, then the narrowest run of neighbouring racks. Among
// equals it takes the place that leaves the least behind, which keeps whole
// workers and racks free.
func (g *grid) find(s shape) (block, bool) {
	if s.members <= 0 || s.accelerators <= 0 {
		return block{}, false
	}
	if b, ok := g.findWorker(s); ok {
		return b, true
	}
	if reach(s.adjacency) == 0 {
		return block{}, false
	}
	if b, ok := g.findRack(s); ok {
		return b, true
	}
	if reach(s.adjacency) == 1 {
		return block{}, false
	}
	return g.findRun(s)
}

func (g *grid) findWorker(s shape) (block, bool) {
	need := s.size()
	best, bestLeft, bestRack := -1, 0, 0
	for r, span := range g.fleet.racks {
		if g.rackMax[r] < need {
			continue
		}
		for w := span.lo; w < span.hi; w++ {
			left := g.free[w] - need
			if left < 0 {
				continue
			}
			if best < 0 || left < bestLeft || left == bestLeft && g.rackSum[r] < bestRack {
				best, bestLeft, bestRack = w, left, g.rackSum[r]
			}
		}
	}
	if best < 0 {
		return block{}, false
	}
	return block{accelerators: s.accelerators, seats: []seat{{worker: best, members: s.members}}}, true
}

func (g *grid) findRack(s shape) (block, bool) {
	best := -1
	for r := range g.fleet.racks {
		if g.rackSum[r] < s.size() || g.rackMax[r] < s.accelerators {
			continue
		}
		if best >= 0 && g.rackSum[r] >= g.rackSum[best] {
			continue
		}
		if g.rackMembers(r, s.accelerators) >= s.members {
			best = r
		}
	}
	if best < 0 {
		return block{}, false
	}
	return g.fill(best, best, s), true
}

// rackMembers counts the members of a size that a rack can take.
func (g *grid) rackMembers(r, accelerators int) int {
	span := g.fleet.racks[r]
	n := 0
	for _, free := range g.free[span.lo:span.hi] {
		n += free / accelerators
	}
	return n
}

// findRun slides a window over the racks and returns the shortest run that
// holds the gang, the fullest one among equals.
func (g *grid) findRun(s shape) (block, bool) {
	counts := make([]int, len(g.fleet.racks))
	lo, members, free := 0, 0, 0
	bestLo, bestHi, bestFree := -1, 0, 0
	for hi := range counts {
		counts[hi] = g.rackMembers(hi, s.accelerators)
		members += counts[hi]
		free += g.rackSum[hi]
		for members-counts[lo] >= s.members && lo < hi {
			members -= counts[lo]
			free -= g.rackSum[lo]
			lo++
		}
		if members < s.members {
			continue
		}
		width, bestWidth := hi-lo, bestHi-bestLo
		if bestLo < 0 || width < bestWidth || width == bestWidth && free < bestFree {
			bestLo, bestHi, bestFree = lo, hi, free
		}
	}
	if bestLo < 0 {
		return block{}, false
	}
	return g.fill(bestLo, bestHi, s), true
}

// fill seats the gang in racks lo to hi, the workers with the least free
// first.
func (g *grid) fill(lo, hi int, s shape) block {
	from, to := g.fleet.racks[lo].lo, g.fleet.racks[hi].hi
	order := make([]int, 0, to-from)
	for w := from; w < to; w++ {
		if g.free[w] >= s.accelerators {
			order = append(order, w)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(g.free[a], g.free[b])
	})
	return g.seatIn(order, s)
}

// seatIn fills workers in the given order.
func (g *grid) seatIn(order []int, s shape) block {
	b := block{accelerators: s.accelerators}
	left := s.members
	for _, w := range order {
		n := min(left, g.free[w]/s.accelerators)
		if n == 0 {
			continue
		}
		b.seats = append(b.seats, seat{worker: w, members: n})
		left -= n
		if left == 0 {
			break
		}
	}
	return b
}

// mostMembers returns the members of the largest gang that fits.
func (g *grid) mostMembers(accelerators int, adjacency structs.Adjacency) int {
	most, sum := 0, 0
	for r := range g.fleet.racks {
		n := g.rackMembers(r, accelerators)
		sum += n
		if reach(adjacency) == 0 {
			n = g.rackMax[r] / accelerators
		}
		most = max(most, n)
	}
	if reach(adjacency) == 2 {
		return sum
	}
	return most
}
