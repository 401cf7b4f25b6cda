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
	type unfinishedJob struct {
		index     int
		remaining time.Duration
	}
	completionTimes := make([]time.Duration, len(jobs))
	var unfinished []unfinishedJob
	now := time.Duration(0)
	nextJob := 0
	for nextJob < len(jobs) || len(unfinished) > 0 {
		slices.SortStableFunc(unfinished, func(a, b unfinishedJob) int { return cmp.Compare(a.remaining, b.remaining) })
		free := totalAccelerators
		nextEvent := time.Duration(1<<63 - 1)
		if nextJob < len(jobs) {
			nextEvent = jobs[nextJob].arrive
		}
		scheduled := make([]bool, len(unfinished))
		for i, it := range unfinished {
			if size := jobs[it.index].spec.Size(); size <= free {
				free -= size
				scheduled[i] = true
				nextEvent = min(nextEvent, now+it.remaining)
			}
		}
		kept := unfinished[:0]
		for i, it := range unfinished {
			if scheduled[i] {
				it.remaining -= nextEvent - now
			}
			if it.remaining <= 0 {
				completionTimes[it.index] = nextEvent - jobs[it.index].arrive
				continue
			}
			kept = append(kept, it)
		}
		unfinished = kept
		now = nextEvent
		for nextJob < len(jobs) && jobs[nextJob].arrive <= now {
			unfinished = append(unfinished, unfinishedJob{index: nextJob, remaining: jobs[nextJob].run})
			nextJob++
		}
	}
	return completionTimes
}
