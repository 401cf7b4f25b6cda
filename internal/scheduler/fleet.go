package scheduler

import (
	"cmp"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// fleet indexes the workers of a failure domain by rack. Racks are in name
// order, and racks next to each other in it are neighbours.
type fleet struct {
	workers []Worker
	racks   []rackSpan
	rackOf  []int
	index   map[string]int
}

// rackSpan is the half-open range of a rack's workers in fleet.workers.
type rackSpan struct {
	name   string
	lo, hi int
}

func newFleet(workers []Worker) *fleet {
	f := &fleet{
		workers: slices.Clone(workers),
		rackOf:  make([]int, len(workers)),
		index:   make(map[string]int, len(workers)),
	}
	slices.SortFunc(f.workers, func(a, b Worker) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	for i, w := range f.workers {
		if n := len(f.racks); n == 0 || f.racks[n-1].name != w.Rack {
			f.racks = append(f.racks, rackSpan{name: w.Rack, lo: i})
		}
		r := len(f.racks) - 1
		f.racks[r].hi = i + 1
		f.rackOf[i] = r
		f.index[w.ID] = i
	}
	return f
}

// seat is a number of a gang's members on one worker.
type seat struct {
	worker  int
	members int
}

// block is a place for a whole gang.
type block struct {
	accelerators int
	seats        []seat
}

// places lists one entry for each member.
func (f *fleet) places(b block) []Place {
	var out []Place
	for _, s := range b.seats {
		w := f.workers[s.worker]
		for range s.members {
			out = append(out, Place{Worker: w.ID, Rack: w.Rack})
		}
	}
	return out
}

// block converts places to a block. It skips workers that left the fleet.
func (f *fleet) block(places []Place, accelerators int) block {
	b := block{accelerators: accelerators, seats: make([]seat, 0, 1)}
	for _, p := range places {
		w, ok := f.index[p.Worker]
		if !ok {
			continue
		}
		i := slices.IndexFunc(b.seats, func(s seat) bool { return s.worker == w })
		if i < 0 {
			b.seats = append(b.seats, seat{worker: w, members: 1})
			continue
		}
		b.seats[i].members++
	}
	return b
}

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

// shape is what a gang asks for.
type shape struct {
	members      int
	accelerators int
	adjacency    structs.Adjacency
}

func shapeOf(s structs.JobSpec) shape {
	return shape{members: s.Members, accelerators: s.Accelerators, adjacency: s.Adjacency}
}

func (s shape) size() int {
	return s.members * s.accelerators
}
