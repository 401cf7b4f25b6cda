package scheduler

import "slices"

// grid counts accelerators of each worker, with sums for each rack.
type grid struct {
	fleet   *fleet
	free    []int
	rackSum []int
	// rackMax is the largest count of one worker of the rack.
	rackMax []int
}

func newGrid(f *fleet, free []int) *grid {
	g := &grid{
		fleet:   f,
		free:    free,
		rackSum: make([]int, len(f.racks)),
		rackMax: make([]int, len(f.racks)),
	}
	for r := range f.racks {
		g.refresh(r)
	}
	return g
}

func (g *grid) refresh(r int) {
	span := g.fleet.racks[r]
	sum, most := 0, 0
	for _, n := range g.free[span.lo:span.hi] {
		sum += n
		most = max(most, n)
	}
	g.rackSum[r] = sum
	g.rackMax[r] = most
}

// take removes a block's accelerators; a count never goes below 0.
func (g *grid) take(b block) {
	g.add(b, -1)
}

func (g *grid) add(b block, sign int) {
	last := -1
	for _, s := range b.seats {
		n := g.free[s.worker] + sign*s.members*b.accelerators
		g.free[s.worker] = max(0, n)
		r := g.fleet.rackOf[s.worker]
		if last >= 0 && last != r {
			g.refresh(last)
		}
		last = r
	}
	if last >= 0 {
		g.refresh(last)
	}
}

// holds reports whether the block fits.
func (g *grid) holds(b block) bool {
	for _, s := range b.seats {
		if g.free[s.worker] < s.members*b.accelerators {
			return false
		}
	}
	return true
}

// clone copies the counts.
func (g *grid) clone() *grid {
	return &grid{
		fleet:   g.fleet,
		free:    slices.Clone(g.free),
		rackSum: slices.Clone(g.rackSum),
		rackMax: slices.Clone(g.rackMax),
	}
}

// give adds a block's accelerators.
func (g *grid) give(b block) {
	g.add(b, 1)
}

// without returns a copy in which the named workers have nothing.
func (g *grid) without(workers []string) *grid {
	if len(workers) == 0 {
		return g
	}
	out := g.clone()
	for _, id := range workers {
		if w, ok := g.fleet.index[id]; ok {
			out.free[w] = 0
			out.refresh(g.fleet.rackOf[w])
		}
	}
	return out
}

// atMost returns the smaller count of two grids for each worker.
func (g *grid) atMost(other *grid) *grid {
	free := make([]int, len(g.free))
	for w := range free {
		free[w] = min(g.free[w], other.free[w])
	}
	return newGrid(g.fleet, free)
}
