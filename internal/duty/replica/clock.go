package replica

import (
	"slices"
	"time"
)

// WallOffset estimates the time of day, since 1970, less the store's clock: the
// median of what the instances registered. The time of day jumps on single
// machines. own is this instance's present offset.
func (r *Replica) WallOffset(self string, own time.Duration) time.Duration {
	offsets := []time.Duration{own}
	for _, n := range r.Nodes(self) {
		if n.WallOffset != 0 {
			offsets = append(offsets, n.WallOffset)
		}
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
