package scheduler

import (
	"cmp"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Decide returns what to do now in a failure domain. The same snapshot always
// gives the same plan.
func Decide(s Snapshot) Plan {
	f := newFleet(s.Workers)
	free := freeGrid(f, s.Gangs)
	whole := wholeGrid(f)
	limits := newLimits(s)
	var p Plan
	for _, job := range inOrder(s.Queued) {
		if reason := limits.never(job.Spec, whole); reason != "" {
			p.Unplaceable = append(p.Unplaceable, Verdict{Key: job.Spec.Key, Reason: reason})
			continue
		}
		b, ok := free.find(shapeOf(job.Spec))
		if !ok {
			p.Waiting = append(p.Waiting, Verdict{Key: job.Spec.Key, Reason: reasonNoPlace})
			continue
		}
		lent, ok := limits.admit(job.Spec)
		if !ok {
			p.Waiting = append(p.Waiting, Verdict{Key: job.Spec.Key, Reason: reasonBorrowing})
			continue
		}
		free.take(b)
		p.Starts = append(p.Starts, Start{Key: job.Spec.Key, Places: f.places(b), Lent: lent})
	}
	return p
}

// Verify checks a start against a newer snapshot. It returns a
// fault.Conflict when the snapshot no longer permits it.
func Verify(s Snapshot, st Start) error {
	i := slices.IndexFunc(s.Queued, func(p Pending) bool { return p.Spec.Key == st.Key })
	if i < 0 {
		return fault.New(fault.Conflict, "job "+st.Key.String()+" isn't queued")
	}
	spec := s.Queued[i].Spec
	f := newFleet(s.Workers)
	if !adjacent(f, spec, st.Places) {
		return fault.New(fault.Conflict, "places of "+st.Key.String()+" don't match its shape")
	}
	if !freeGrid(f, s.Gangs).holds(f.block(st.Places, spec.Accelerators)) {
		return fault.New(fault.Conflict, "places of "+st.Key.String()+" are no longer free")
	}
	lent, ok := newLimits(s).admit(spec)
	if !ok || lent && !st.Lent {
		return fault.New(fault.Conflict, "workspace "+spec.Key.Workspace+" has no quota left")
	}
	return nil
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

// inOrder sorts by class, then the longest wait.
func inOrder(queued []Pending) []Pending {
	out := slices.Clone(queued)
	slices.SortStableFunc(out, func(a, b Pending) int {
		return cmp.Or(
			cmp.Compare(a.Spec.Class.Rank(), b.Spec.Class.Rank()),
			cmp.Compare(b.Waited, a.Waited),
			cmp.Compare(a.Spec.Key.Workspace, b.Spec.Key.Workspace),
			cmp.Compare(a.Spec.Key.ID, b.Spec.Key.ID),
		)
	})
	return out
}

// freeGrid counts what no gang holds on usable workers.
func freeGrid(f *fleet, gangs []Gang) *grid {
	return newGrid(f, unheldBy(f, gangs, func(Gang) bool { return true }))
}

// wholeGrid counts all accelerators, usable or not.
func wholeGrid(f *fleet) *grid {
	n := make([]int, len(f.workers))
	for i, w := range f.workers {
		n[i] = w.Accelerators
	}
	return newGrid(f, n)
}

// unheldBy counts, on usable workers, the accelerators that no gang of the
// given kind holds.
func unheldBy(f *fleet, gangs []Gang, kind func(Gang) bool) []int {
	n := make([]int, len(f.workers))
	for i, w := range f.workers {
		if w.Usable {
			n[i] = w.Accelerators
		}
	}
	for _, g := range gangs {
		if !kind(g) {
			continue
		}
		for _, m := range g.Members {
			if w, ok := f.index[m.Worker]; ok {
				n[w] = max(0, n[w]-g.Accelerators)
			}
		}
	}
	return n
}
