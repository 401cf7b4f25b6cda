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
	// seatOf is scratch space of block, -1 between calls.
	seatOf []int
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
		seatOf:  make([]int, len(workers)),
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
		f.seatOf[i] = -1
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
	b := block{accelerators: accelerators}
	for _, p := range places {
		w, ok := f.index[p.Worker]
		if !ok {
			continue
		}
		if i := f.seatOf[w]; i >= 0 {
			b.seats[i].members++
			continue
		}
		f.seatOf[w] = len(b.seats)
		b.seats = append(b.seats, seat{worker: w, members: 1})
	}
	for _, s := range b.seats {
		f.seatOf[s.worker] = -1
	}
	return b
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
