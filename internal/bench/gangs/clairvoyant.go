package gangs

import (
	"cmp"
	"slices"
	"time"
)

// clairvoyant returns completion times of a schedule that nothing real can
// follow: it knows true run times, needs no adjacency, and stops and resumes
// gangs at any moment for nothing, those with the least time left first.
func clairvoyant(jobs []job) []time.Duration {
	type item struct {
		index int
		left  time.Duration
	}
	done := make([]time.Duration, len(jobs))
	var active []item
	now := time.Duration(0)
	next := 0
	for next < len(jobs) || len(active) > 0 {
		slices.SortStableFunc(active, func(a, b item) int { return cmp.Compare(a.left, b.left) })
		free := total
		until := time.Duration(1<<63 - 1)
		if next < len(jobs) {
			until = jobs[next].arrive
		}
		runs := make([]bool, len(active))
		for i, it := range active {
			if size := jobs[it.index].spec.Size(); size <= free {
				free -= size
				runs[i] = true
				until = min(until, now+it.left)
			}
		}
		kept := active[:0]
		for i, it := range active {
			if runs[i] {
				it.left -= until - now
			}
			if it.left <= 0 {
				done[it.index] = until - jobs[it.index].arrive
				continue
			}
			kept = append(kept, it)
		}
		active = kept
		now = until
		for next < len(jobs) && jobs[next].arrive <= now {
			active = append(active, item{index: next, left: jobs[next].run})
			next++
		}
	}
	return done
}
