package scheduler

import "slices"

// capacity counts accelerators by worker, with the sum and the maximum of each
// rack.
type capacity struct {
	fleet   *fleet
	counts  []int
	rackSum []int
	// rackMax is the largest count of a single worker in the rack.
	rackMax []int
}

func newCapacity(f *fleet, counts []int) *capacity {
	c := &capacity{
		fleet:   f,
		counts:  counts,
		rackSum: make([]int, len(f.racks)),
		rackMax: make([]int, len(f.racks)),
	}
	for r := range f.racks {
		c.updateRack(r)
	}
	return c
}

func (c *capacity) updateRack(r int) {
	span := c.fleet.racks[r]
	sum, largest := 0, 0
	for _, n := range c.counts[span.lo:span.hi] {
		sum += n
		largest = max(largest, n)
	}
	c.rackSum[r] = sum
	c.rackMax[r] = largest
}

// take subtracts a block's accelerators. Counts never go below 0.
func (c *capacity) take(b block) {
	c.adjust(b, -1)
}

func (c *capacity) adjust(b block, sign int) {
	last := -1
	for _, a := range b.assignments {
		n := c.counts[a.worker] + sign*a.members*b.accelerators
		c.counts[a.worker] = max(0, n)
		r := c.fleet.rackOf[a.worker]
		if last >= 0 && last != r {
			c.updateRack(last)
		}
		last = r
	}
	if last >= 0 {
		c.updateRack(last)
	}
}

// fits reports whether every worker of the block has enough accelerators.
func (c *capacity) fits(b block) bool {
	for _, a := range b.assignments {
		if c.counts[a.worker] < a.members*b.accelerators {
			return false
		}
	}
	return true
}

// clone returns a deep copy; the fleet is shared.
func (c *capacity) clone() *capacity {
	return &capacity{
		fleet:   c.fleet,
		counts:  slices.Clone(c.counts),
		rackSum: slices.Clone(c.rackSum),
		rackMax: slices.Clone(c.rackMax),
	}
}

// giveBack adds a block's accelerators.
func (c *capacity) giveBack(b block) {
	c.adjust(b, 1)
}

// without returns a copy with the counts of the named workers set to 0, or c
// itself if none are named.
func (c *capacity) without(workers []string) *capacity {
	if len(workers) == 0 {
		return c
	}
	out := c.clone()
	for _, id := range workers {
		if w, ok := c.fleet.index[id]; ok {
			out.counts[w] = 0
			out.updateRack(c.fleet.rackOf[w])
		}
	}
	return out
}

// minWith returns the smaller of the two counts for each worker.
func (c *capacity) minWith(other *capacity) *capacity {
	counts := make([]int, len(c.counts))
	for w := range counts {
		counts[w] = min(c.counts[w], other.counts[w])
	}
	return newCapacity(c.fleet, counts)
}
