package gangs

import (
	"cmp"
	"slices"
	"time"
)

// clairvoyant returns the completion times, from arrival, of an ideal schedule
// with the shortest remaining time first. It uses actual run times, ignores
// adjacency, and preempts and resumes gangs at any time without cost.
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
		free := totalAccelerators
		nextEvent := time.Duration(1<<63 - 1)
		if next < len(jobs) {
			nextEvent = jobs[next].arrive
		}
		scheduled := make([]bool, len(active))
		for i, it := range active {
			if size := jobs[it.index].spec.Size(); size <= free {
				free -= size
				scheduled[i] = true
				nextEvent = min(nextEvent, now+it.left)
			}
		}
		kept := active[:0]
		for i, it := range active {
			if scheduled[i] {
				it.left -= nextEvent - now
			}
			if it.left <= 0 {
				done[it.index] = nextEvent - jobs[it.index].arrive
				continue
			}
			kept = append(kept, it)
		}
		active = kept
		now = nextEvent
		for next < len(jobs) && jobs[next].arrive <= now {
			active = append(active, item{index: next, left: jobs[next].run})
			next++
		}
	}
	return done
}
