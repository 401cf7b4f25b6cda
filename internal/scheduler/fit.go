package scheduler

import (
	"cmp"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// adjacencyLevel orders adjacencies from 0, the nearest. A block of one level
// satisfies every higher level.
func adjacencyLevel(a structs.Adjacency) int {
	switch a {
	case structs.AdjacencyWorker:
		return 0
	case structs.AdjacencyRack:
		return 1
	default:
		return 2
	}
}

// find returns the best-fit place of a gang, nearest level first: one worker,
// then one rack, then the smallest range of neighbouring racks. Among equals it
// prefers the place with the least capacity left over, which keeps whole workers
// and racks free.
func (c *capacity) find(s shape) (block, bool) {
	if s.members <= 0 || s.accelerators <= 0 {
		return block{}, false
	}
	if b, ok := c.findWorker(s); ok {
		return b, true
	}
	if adjacencyLevel(s.adjacency) == 0 {
		return block{}, false
	}
	if b, ok := c.findRack(s); ok {
		return b, true
	}
	if adjacencyLevel(s.adjacency) == 1 {
		return block{}, false
	}
	return c.findRackRange(s)
}

func (c *capacity) findWorker(s shape) (block, bool) {
	need := s.size()
	best, bestLeft, bestRackSum := -1, 0, 0
	for r, span := range c.fleet.racks {
		if c.rackMax[r] < need {
			continue
		}
		for w := span.lo; w < span.hi; w++ {
			left := c.counts[w] - need
			if left < 0 {
				continue
			}
			if best < 0 || left < bestLeft || left == bestLeft && c.rackSum[r] < bestRackSum {
				best, bestLeft, bestRackSum = w, left, c.rackSum[r]
			}
		}
	}
	if best < 0 {
		return block{}, false
	}
	return block{accelerators: s.accelerators, assignments: []assignment{{worker: best, members: s.members}}}, true
}

func (c *capacity) findRack(s shape) (block, bool) {
	best := -1
	for r := range c.fleet.racks {
		if c.rackSum[r] < s.size() || c.rackMax[r] < s.accelerators {
			continue
		}
		if best >= 0 && c.rackSum[r] >= c.rackSum[best] {
			continue
		}
		if c.membersInRack(r, s.accelerators) >= s.members {
			best = r
		}
	}
	if best < 0 {
		return block{}, false
	}
	return c.assignInRacks(best, best, s), true
}

// membersInRack counts the members of the given size that fit in a rack.
func (c *capacity) membersInRack(r, accelerators int) int {
	span := c.fleet.racks[r]
	n := 0
	for _, free := range c.counts[span.lo:span.hi] {
		n += free / accelerators
	}
	return n
}

// findRackRange slides a window over the racks and returns a place in the smallest
// range that holds the gang. Among equals it takes the range with the least free
// capacity.
func (c *capacity) findRackRange(s shape) (block, bool) {
	members := make([]int, len(c.fleet.racks))
	lo, totalMembers, free := 0, 0, 0
	bestLo, bestHi, bestFree := -1, 0, 0
	for hi := range members {
		members[hi] = c.membersInRack(hi, s.accelerators)
		totalMembers += members[hi]
		free += c.rackSum[hi]
		for totalMembers-members[lo] >= s.members && lo < hi {
			totalMembers -= members[lo]
			free -= c.rackSum[lo]
			lo++
		}
		if totalMembers < s.members {
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
	return c.assignInRacks(bestLo, bestHi, s), true
}

// assignInRacks assigns the gang to workers in racks lo to hi, inclusive, those
// with the least capacity first.
func (c *capacity) assignInRacks(lo, hi int, s shape) block {
	from, to := c.fleet.racks[lo].lo, c.fleet.racks[hi].hi
	order := make([]int, 0, to-from)
	for w := from; w < to; w++ {
		if c.counts[w] >= s.accelerators {
			order = append(order, w)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(c.counts[a], c.counts[b])
	})
	return c.assignTo(order, s)
}

// assignTo assigns the gang's members to workers in the given order, as many to
// each as fit.
func (c *capacity) assignTo(order []int, s shape) block {
	b := block{accelerators: s.accelerators}
	remaining := s.members
	for _, w := range order {
		n := min(remaining, c.counts[w]/s.accelerators)
		if n == 0 {
			continue
		}
		b.assignments = append(b.assignments, assignment{worker: w, members: n})
		remaining -= n
		if remaining == 0 {
			break
		}
	}
	return b
}

// maxMembers returns the number of members of the largest gang that fits, for the
// given number of accelerators per member.
func (c *capacity) maxMembers(accelerators int, adjacency structs.Adjacency) int {
	most, sum := 0, 0
	for r := range c.fleet.racks {
		n := c.membersInRack(r, accelerators)
		sum += n
		if adjacencyLevel(adjacency) == 0 {
			n = c.rackMax[r] / accelerators
		}
		most = max(most, n)
	}
	if adjacencyLevel(adjacency) == 2 {
		return sum
	}
	return most
}
