package replica

import (
	"slices"
	"time"
)

const (
	// heldInterval is the least time between two recorded versions, and so the error of
	// HeldAt.
	heldInterval = 250 * time.Millisecond
	// maxHeld is the number of recorded versions. They cover 15 s in which the store
	// answers. Registry entries expire sooner, and in an outage nothing is recorded.
	maxHeld = 60
)

// heldVersion is a version of the store with the time from which on the replica held it.
type heldVersion struct {
	version int64
	at      time.Duration
}

// heldVersions are the latest versions that a replica held, in their order.
type heldVersions []heldVersion

// add records a version that is newer than the others. It leaves out those that follow
// another one by less than heldInterval.
func (h *heldVersions) add(version int64, at time.Duration) {
	if n := len(*h); n > 0 && at-(*h)[n-1].at < heldInterval {
		return
	}
	if len(*h) == maxHeld {
		*h = slices.Delete(*h, 0, 1)
	}
	*h = append(*h, heldVersion{version, at})
}

// HeldAt returns a time at which the replica held the store's changes up to a version, the
// earliest one that it knows: what that version wrote, in any table, was written before. For
// a version older than all recorded ones it returns the time of the oldest record. It reports
// false if it hasn't held the version, or 0 is given.
func (r *Replica) HeldAt(version int64) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version <= 0 {
		return 0, false
	}
	for _, h := range r.held {
		if h.version >= version {
			return h.at, true
		}
	}
	return 0, false
}
