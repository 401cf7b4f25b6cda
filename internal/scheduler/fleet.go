package scheduler

import (
	"cmp"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// fleet indexes the workers of a failure domain by rack. Racks are sorted by
// name, and racks next to each other in that order are neighbours.
type fleet struct {
	workers []Worker
	racks   []rackSpan
	// rackOf is the index of each worker's rack.
	rackOf []int
	// index maps worker IDs to indexes in workers.
	index map[string]int
	// assignmentOf is scratch space of the block method: the index of a worker's
	// assignment, -1 between calls.
	assignmentOf []int
}

// rackSpan is the half-open range of a rack's workers in fleet.workers.
type rackSpan struct {
	name   string
	lo, hi int
}

func newFleet(workers []Worker) *fleet {
	f := &fleet{
		workers:      slices.Clone(workers),
		rackOf:       make([]int, len(workers)),
		index:        make(map[string]int, len(workers)),
		assignmentOf: make([]int, len(workers)),
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
		f.assignmentOf[i] = -1
	}
	return f
}

// setUnusable marks all workers as unusable.
func (f *fleet) setUnusable() {
	for i := range f.workers {
		f.workers[i].Usable = false
	}
}

// assignment assigns a number of a gang's members to the worker at an index of
// fleet.workers.
type assignment struct {
	worker  int
	members int
}

// block is a place for a whole gang. accelerators is the number per member.
type block struct {
	accelerators int
	assignments  []assignment
}

// places converts a block to places, one for each member.
func (f *fleet) places(b block) []Place {
	var out []Place
	for _, a := range b.assignments {
		w := f.workers[a.worker]
		for range a.members {
			out = append(out, Place{Worker: w.ID, Rack: w.Rack})
		}
	}
	return out
}

// block converts places to a block. It skips workers that are no longer in the
// fleet.
func (f *fleet) block(places []Place, accelerators int) block {
	b := block{accelerators: accelerators}
	for _, p := range places {
		w, ok := f.index[p.Worker]
		if !ok {
			continue
		}
		if i := f.assignmentOf[w]; i >= 0 {
			b.assignments[i].members++
			continue
		}
		f.assignmentOf[w] = len(b.assignments)
		b.assignments = append(b.assignments, assignment{worker: w, members: 1})
	}
	for _, a := range b.assignments {
		f.assignmentOf[a.worker] = -1
	}
	return b
}

// shape is the size and adjacency that a gang needs. accelerators is the number
// per member.
type shape struct {
	members      int
	accelerators int
	adjacency    structs.Adjacency
}

func shapeOf(s structs.JobSpec) shape {
	return shape{members: s.Members, accelerators: s.Accelerators, adjacency: s.Adjacency}
}

// size returns the accelerators of the whole gang.
func (s shape) size() int {
	return s.members * s.accelerators
}
