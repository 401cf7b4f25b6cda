package relay

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// choose returns at most count of the peers: those that didn't fail lately
// first, by turns, then the others, the one that failed first before.
func (s *Store) choose(peers []port.RowStore, turn, count int) []port.RowStore {
	type failedWay struct {
		way port.RowStore
		at  time.Time
	}
	var out []port.RowStore
	var failed []failedWay
	for k := range peers {
		way := peers[(turn+k)%len(peers)]
		if at, ok := s.ways.within(way, wayRetry); ok {
			failed = append(failed, failedWay{way, at})
			continue
		}
		out = append(out, way)
	}
	slices.SortStableFunc(failed, func(a, b failedWay) int { return a.at.Compare(b.at) })
	for _, f := range failed {
		out = append(out, f.way)
	}
	return out[:min(count, len(out))]
}
