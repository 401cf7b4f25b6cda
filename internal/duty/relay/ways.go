package relay

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// choosePeers returns up to count peers: first those without a recent failure, in
// round-robin order, then the others, the least recent failure first.
func (s *Store) choosePeers(peers []port.RowStore, offset, count int) []port.RowStore {
	type failedPeer struct {
		peer port.RowStore
		at   time.Time
	}
	var out []port.RowStore
	var failed []failedPeer
	for k := range peers {
		peer := peers[(offset+k)%len(peers)]
		if at, ok := s.peerFailures.failedWithin(peer, peerRetryDelay); ok {
			failed = append(failed, failedPeer{peer, at})
			continue
		}
		out = append(out, peer)
	}
	slices.SortStableFunc(failed, func(a, b failedPeer) int { return a.at.Compare(b.at) })
	for _, f := range failed {
		out = append(out, f.peer)
	}
	return out[:min(count, len(out))]
}
