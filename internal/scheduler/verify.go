package scheduler

import (
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Verify checks a start against a newer snapshot. It returns a fault.Conflict if
// the snapshot no longer permits the start.
func Verify(s Snapshot, start Start) error {
	i := slices.IndexFunc(s.Queued, func(p Pending) bool { return p.Spec.Key == start.Key })
	if i < 0 {
		return conflict(start, "the job isn't queued")
	}
	spec := s.Queued[i].Spec
	st := newState(s)
	if !matchesShape(st.fleet, spec, start.Places) {
		return conflict(start, "the places don't match the job's shape")
	}
	b := st.fleet.block(start.Places, spec.Accelerators)
	if !st.free.fits(b) {
		return conflict(start, "the places are no longer free")
	}
	if start.Borrowed {
		return st.verifyBorrowed(start, spec, b)
	}
	return st.verifyGuaranteed(start, spec, b)
}

func (st *state) verifyGuaranteed(start Start, spec structs.JobSpec, b block) error {
	guarantee := st.placeableGuarantees().smallestCovering(spec.Key.Workspace, shapeOf(spec))
	if guarantee < 0 {
		return conflict(start, "no gang of the workspace's guarantees is left")
	}
	if !st.slots.tryTake(b, guarantee) {
		return conflict(start, "the places are needed for another guarantee")
	}
	return nil
}

func (st *state) verifyBorrowed(start Start, spec structs.JobSpec, b block) error {
	workspace := spec.Key.Workspace
	w, exists := st.workspaces[workspace]
	switch {
	case !exists:
		return conflict(start, reasonNoWorkspace)
	case st.hasUnmet():
		return conflict(start, reasonNoBorrowing)
	case st.borrowed[workspace]+spec.Size() > w.BorrowingLimit:
		return conflict(start, reasonBorrowingLimit)
	case !spec.Preemptible && !st.slots.tryTake(b, -1):
		return conflict(start, reasonSetAside)
	default:
		return nil
	}
}

func conflict(start Start, message string) error {
	return fault.New(fault.Conflict, "start of "+start.Key.String()+": "+message)
}

// matchesShape reports whether the places are workers of the fleet, one for each
// member, at the adjacency that the job needs.
func matchesShape(f *fleet, spec structs.JobSpec, places []Place) bool {
	if len(places) != spec.Members {
		return false
	}
	for _, p := range places {
		w, ok := f.index[p.Worker]
		if !ok || f.workers[w].Rack != p.Rack {
			return false
		}
		if adjacencyLevel(spec.Adjacency) == 0 && p.Worker != places[0].Worker {
			return false
		}
		if adjacencyLevel(spec.Adjacency) == 1 && p.Rack != places[0].Rack {
			return false
		}
	}
	return true
}
