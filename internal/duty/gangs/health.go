package gangs

import (
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/quarantine"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// maxMissedRenewals is the number of consecutive missed renewals after which a
// worker gets no new work.
const maxMissedRenewals = 2

// health tracks which workers may get new work. It is safe for concurrent use.
type health struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
	// missedRenewals counts each worker's consecutive missed renewals.
	missedRenewals map[string]int
}

func newHealth() *health {
	return &health{tracker: quarantine.New(), missedRenewals: make(map[string]int)}
}

func (h *health) taskFailed(worker string, k structs.JobKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.RecordFailure(time.Now(), worker, k)
}

func (h *health) taskSucceeded(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.RecordSuccess(worker)
}

func (h *health) forgetJob(k structs.JobKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tracker.DropJob(k)
}

func (h *health) renewed(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.missedRenewals, worker)
}

func (h *health) missedRenewal(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.missedRenewals[worker]++
}

// usable reports whether a worker may get new work.
func (h *health) usable(w structs.Worker, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if w.State == structs.StateLeaving || h.missedRenewals[w.ID] >= maxMissedRenewals {
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
