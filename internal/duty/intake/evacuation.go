package intake

import (
	"maps"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// applyEvacuations applies a reading of the evacuated failure domains that was sent at
// readAt. The caller serializes the calls.
func (in *Intake) applyEvacuations(r port.ConfigReading, readAt time.Duration) {
	old := in.Evacuation()
	next := work.Evacuation{Domains: old.Domains, Version: r.Version, ReadAt: max(old.ReadAt, readAt)}
	if r.Complete || len(r.Evacuations) > 0 {
		next.Domains = maps.Clone(old.Domains)
		if next.Domains == nil || r.Complete {
			next.Domains = map[string]int64{}
		}
	}
	for _, c := range r.Evacuations {
		if c.Evacuated {
			next.Domains[c.Domain] = c.Version
			continue
		}
		delete(next.Domains, c.Domain)
	}
	in.evacuation.Store(&next)
}

// maxFailureGap is the time after a failed reading from which on another failure isn't of the
// same outage: the process was suspended in between. In an outage a reading fails after its
// wait and 2 s at the latest, and is repeated within half a second.
const maxFailureGap = 3500 * time.Millisecond

// ReadingFailed records that a reading of the configuration and of the evacuated failure
// domains failed at the given time. The last known ones stay in force.
func (in *Intake) ReadingFailed(at time.Duration) {
	in.applying.Lock()
	defer in.applying.Unlock()
	next := in.Evacuation()
	if next.FailedAt == 0 || at-next.FailedAt > maxFailureGap {
		next.FailingSince = at
	}
	next.FailedAt = at
	in.evacuation.Store(&next)
}

// Evacuation returns the evacuated failure domains.
func (in *Intake) Evacuation() work.Evacuation {
	if e := in.evacuation.Load(); e != nil {
		return *e
	}
	return work.Evacuation{}
}
