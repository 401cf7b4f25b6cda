package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// inOrder sorts jobs by class; within a class those that waited beyond
// PassingLimit go first, oldest first, and then by the highest response ratio:
// wait over expected run time (Brinch Hansen, 1971). Short gangs get ahead of
// long ones, and each gang's ratio grows until it is served.
func inOrder(queued []Pending) []*Pending {
	out := make([]*Pending, len(queued))
	for i := range queued {
		out[i] = &queued[i]
	}
	slices.SortStableFunc(out, func(a, b *Pending) int {
		return cmp.Or(
			cmp.Compare(a.Spec.Class.Rank(), b.Spec.Class.Rank()),
			-cmp.Compare(overdue(a.Waited), overdue(b.Waited)),
			-cmp.Compare(ratio(a), ratio(b)),
			-cmp.Compare(a.Waited, b.Waited),
			cmp.Compare(a.Spec.Key.Workspace, b.Spec.Key.Workspace),
			cmp.Compare(a.Spec.Key.ID, b.Spec.Key.ID),
		)
	})
	return out
}

// overdue is the wait beyond PassingLimit.
func overdue(waited time.Duration) time.Duration {
	return max(0, waited-PassingLimit)
}

func ratio(p *Pending) float64 {
	return float64(p.Waited+time.Second) / float64(expected(p.Expected))
}

// expected replaces a run time that nobody gave.
func expected(d time.Duration) time.Duration {
	if d <= 0 {
		return unknownRun
	}
	return d
}

// remaining estimates how long a gang goes on. One that outlived its
// expectation is taken to need as long again as it ran.
func remaining(g *held) time.Duration {
	if g.Stopping {
		return 0
	}
	if left := expected(g.Expected) - g.Ran; left > 0 {
		return left
	}
	return g.Ran
}
