package planner

import "time"

const (
	// quarantineAfterJobs is how many different jobs must fail in a row on a
	// worker before it is quarantined. A single job may fail through its own
	// fault.
	quarantineAfterJobs = 2
	// firstQuarantine is the duration of a worker's first quarantine, which
	// doubles each time. It covers the usual length of a short fault, and a
	// healthy worker quarantined by mistake loses little time.
	firstQuarantine = 4 * time.Second
	maxQuarantine   = 30 * time.Second
	// unhealthyPause is how long a worker that rejects a start as unhealthy
	// receives no work.
	unhealthyPause = time.Second
)

// health is the state of a worker as derived from the results of its runs.
type health struct {
	failedJobs   map[string]bool // jobs with failed runs on the worker since its last success
	resumeAt     time.Duration   // end of the quarantine or of unhealthyPause
	lastDuration time.Duration   // of the last quarantine; 0 after a success
}

func (h *health) excluded(now time.Duration) bool { return now < h.resumeAt }

// succeeded records a success and reports whether the worker had been quarantined
// since its previous success.
func (h *health) succeeded() bool {
	wasQuarantined := h.lastDuration > 0
	h.failedJobs = nil
	h.lastDuration = 0
	return wasQuarantined
}

// failed records a failed run and reports whether the worker is quarantined for
// it.
func (h *health) failed(now time.Duration, job string) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[job] = true
	return len(h.failedJobs) >= quarantineAfterJobs && h.quarantine(now)
}

// stalled records a run without progress and reports whether the worker is
// quarantined for it. A stall is never the job's own fault as long as its peers
// on other workers make progress.
func (h *health) stalled(now time.Duration) bool { return h.quarantine(now) }

// rejected records a start that the worker rejected as unhealthy.
func (h *health) rejected(now time.Duration) { h.resumeAt = max(h.resumeAt, now+unhealthyPause) }

// quarantine excludes the worker from placement. It reports false if the worker
// is already excluded.
func (h *health) quarantine(now time.Duration) bool {
	if h.excluded(now) {
		return false
	}
	h.lastDuration = min(max(firstQuarantine, 2*h.lastDuration), maxQuarantine)
	h.resumeAt = now + h.lastDuration
	return true
}
