package replica

import (
	"slices"
	"time"
)

// WallOffset estimates the difference between the wall clock, as the time since
// the Unix epoch, and the store's clock. It is the median, the upper one of two, of
// own and the offsets that the other instances registered, since the wall clock of
// a single machine may jump. self is this instance's name, own its current offset.
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
