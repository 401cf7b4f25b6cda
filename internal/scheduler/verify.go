package scheduler

import (
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Verify checks a start against a newer snapshot. It returns a
// fault.Conflict when the snapshot no longer permits it.
func Verify(s Snapshot, start Start) error {
	i := slices.IndexFunc(s.Queued, func(p Pending) bool { return p.Spec.Key == start.Key })
	if i < 0 {
		return conflict(start, "the job isn't queued")
	}
	spec := s.Queued[i].Spec
	st := newState(s)
	if !adjacent(st.fleet, spec, start.Places) {
		return conflict(start, "the places don't match the job's shape")
	}
	b := st.fleet.block(start.Places, spec.Accelerators)
	if !st.free.holds(b) {
		return conflict(start, "the places are no longer free")
	}
	if start.Lent {
		return st.verifyLent(start, spec, b)
	}
	return st.verifyHeld(start, spec, b)
}

func (st *state) verifyHeld(start Start, spec structs.JobSpec, b block) error {
	k := st.keptKinds().smallest(spec.Key.Workspace, shapeOf(spec))
	if k < 0 {
		return conflict(start, "no gang of the workspace's guarantees is left")
	}
	if !st.keep.permit(b, k) {
		return conflict(start, "the places are needed for another guarantee")
	}
	return nil
}

func (st *state) verifyLent(start Start, spec structs.JobSpec, b block) error {
	name := spec.Key.Workspace
	w, known := st.workspaces[name]
	switch {
	case !known:
		return conflict(start, reasonNoWorkspace)
	case st.short():
		return conflict(start, reasonNoLending)
	case st.borrowed[name]+spec.Size() > w.BorrowingLimit:
		return conflict(start, reasonBorrowing)
	case !spec.Preemptible && !st.keep.permit(b, -1):
		return conflict(start, reasonKept)
	default:
		return nil
	}
}

func conflict(start Start, message string) error {
	return fault.New(fault.Conflict, "start of "+start.Key.String()+": "+message)
}

// adjacent reports whether the places are known workers, one for each member,
// as near as the job asks.
func adjacent(f *fleet, spec structs.JobSpec, places []Place) bool {
	if len(places) != spec.Members {
		return false
	}
	for _, p := range places {
		w, ok := f.index[p.Worker]
		if !ok || f.workers[w].Rack != p.Rack {
			return false
		}
		if reach(spec.Adjacency) == 0 && p.Worker != places[0].Worker {
			return false
		}
		if reach(spec.Adjacency) == 1 && p.Rack != places[0].Rack {
			return false
		}
	}
	return true
}
