package gangs

import (
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/quarantine"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// maxMissed is the number of renewals in a row that a worker may miss before
// it gets no new work.
const maxMissed = 2

// health tells which workers should get no new work. It is safe for concurrent
// use.
type health struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
	misses  map[string]int
}

func newHealth() *health {
	return &health{tracker: quarantine.New(), misses: make(map[string]int)}
}

func (h *health) failed(worker string, k structs.JobKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Failed(time.Now(), worker, k)
}

func (h *health) succeeded(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Succeeded(worker)
}

func (h *health) forget(k structs.JobKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.Forget(k)
}

func (h *health) reached(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.misses, worker)
}

func (h *health) missed(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.misses[worker]++
}

func (h *health) usable(w structs.Worker, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.State == structs.StateLeaving || h.misses[w.ID] >= maxMissed {
		return false
	}
	return !h.tracker.Quarantined(now, w.ID)
}

func (h *health) quarantined(workers []structs.Worker) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var out []string
	for _, w := range workers {
		if h.tracker.Quarantined(now, w.ID) {
			out = append(out, w.ID)
		}
	}
	return out
}
