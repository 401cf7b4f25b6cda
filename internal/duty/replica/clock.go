package replica

import (
	"slices"
	"time"
)

// WallOffset estimates the difference between the wall clock, as the time since
// the Unix epoch, and the store's clock. It is the median of the registered
// offsets, since the wall clock of a single machine may jump. own is this
// instance's current offset.
func (r *Replica) WallOffset(self string, own time.Duration) time.Duration {
	offsets := []time.Duration{own}
	for _, instance := range r.Instances(self) {
		if instance.WallOffset != 0 {
			offsets = append(offsets, instance.WallOffset)
		}
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
