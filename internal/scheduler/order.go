package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// queueOrder sorts jobs by class. Within a class, jobs that waited beyond
// BackfillLimit go first, oldest first. The others follow by the highest response
// ratio: wait over expected run time (Brinch Hansen, 1971). It favors short gangs,
// but long ones of the class don't starve, as each ratio grows with the wait.
func queueOrder(queued []Pending) []*Pending {
	out := make([]*Pending, len(queued))
	for i := range queued {
		out[i] = &queued[i]
	}
	slices.SortStableFunc(out, func(a, b *Pending) int {
		return cmp.Or(
			cmp.Compare(a.Spec.Class.Rank(), b.Spec.Class.Rank()),
			-cmp.Compare(waitBeyondLimit(a.QueuedFor), waitBeyondLimit(b.QueuedFor)),
			-cmp.Compare(responseRatio(a), responseRatio(b)),
			-cmp.Compare(a.QueuedFor, b.QueuedFor),
			cmp.Compare(a.Spec.Key.Workspace, b.Spec.Key.Workspace),
			cmp.Compare(a.Spec.Key.ID, b.Spec.Key.ID),
		)
	})
	return out
}

// waitBeyondLimit returns the part of a wait beyond BackfillLimit, or 0.
func waitBeyondLimit(waited time.Duration) time.Duration {
	return max(0, waited-BackfillLimit)
}

// responseRatio adds a second to the wait, so that jobs that were just queued are
// ordered by expected run time too.
func responseRatio(p *Pending) float64 {
	return float64(p.QueuedFor+time.Second) / float64(expectedRun(p.ExpectedRun))
}

// expectedRun returns the expected run time, or defaultRun if none is given.
func expectedRun(d time.Duration) time.Duration {
	if d <= 0 {
		return defaultRun
	}
	return d
}

// remainingRun estimates how much longer a gang runs, 0 for a stopping gang. A
// gang that outlasts its expected run time is assumed to need as long again as it
// ran so far.
func remainingRun(g *placedGang) time.Duration {
	if g.Stopping {
		return 0
	}
	if rest := expectedRun(g.ExpectedRun) - g.Elapsed; rest > 0 {
		return rest
	}
	return g.Elapsed
}
