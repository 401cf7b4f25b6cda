package relay

import (
	"slices"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// wayRetry is how long a peer that failed to reach the store is asked only
// after the others. The partitions that make peers necessary last 2 to 12 s.
const wayRetry = 5 * time.Second

// wayHealth remembers which peers failed lately. The zero value is ready.
type wayHealth struct {
	mu     sync.Mutex
	failed map[port.RowStore]time.Time
}

func (w *wayHealth) fail(way port.RowStore) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed == nil {
		w.failed = map[port.RowStore]time.Time{}
	}
	w.failed[way] = time.Now()
}

func (w *wayHealth) clear(way port.RowStore) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.failed, way)
}

// choose returns at most count of the peers: those that didn't fail lately
// first, by turns, then the others, the one that failed first before.
func (w *wayHealth) choose(peers []port.RowStore, turn, count int) []port.RowStore {
	w.mu.Lock()
	defer w.mu.Unlock()
	var well, failed []port.RowStore
	for k := range peers {
		way := peers[(turn+k)%len(peers)]
		if at, ok := w.failed[way]; ok && time.Since(at) < wayRetry {
			failed = append(failed, way)
			continue
		}
		well = append(well, way)
	}
	slices.SortStableFunc(failed, func(a, b port.RowStore) int { return w.failed[a].Compare(w.failed[b]) })
	out := append(well, failed...)
	return out[:min(count, len(out))]
}
