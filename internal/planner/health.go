package planner

import "time"

const (
	// sickAfterJobs is how many different jobs must fail in a row on a worker
	// before it is quarantined: one may be the job's own fault.
	sickAfterJobs = 2
	// firstQuarantine is how long a worker is first left out; it doubles each
	// time. It covers the usual length of a short fault without losing much of
	// a worker that was judged wrongly.
	firstQuarantine = 4 * time.Second
	maxQuarantine   = 30 * time.Second
	// declinedPause is how long a worker that declines work is left out.
	declinedPause = time.Second
)

// health is what outcomes tell about a worker.
type health struct {
	failedJobs map[string]bool // failed here since the last success
	until      time.Duration
	lastLength time.Duration
}

func (h *health) quarantined(now time.Duration) bool { return now < h.until }

// succeeded reports whether the worker had been quarantined since its last
// success.
func (h *health) succeeded() bool {
	was := h.lastLength > 0
	h.failedJobs = nil
	h.lastLength = 0
	return was
}

// failed counts a failed run and reports whether that quarantines the worker.
func (h *health) failed(now time.Duration, job string) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[job] = true
	return len(h.failedJobs) >= sickAfterJobs && h.quarantine(now)
}

// stalled counts a run that stood still; that is never the job's own doing as
// long as its peers elsewhere progress.
func (h *health) stalled(now time.Duration) bool { return h.quarantine(now) }

func (h *health) declined(now time.Duration) { h.until = max(h.until, now+declinedPause) }

// quarantine leaves the worker out for a while, unless it is already.
func (h *health) quarantine(now time.Duration) bool {
	if h.quarantined(now) {
		return false
	}
	h.lastLength = min(max(firstQuarantine, 2*h.lastLength), maxQuarantine)
	h.until = now + h.lastLength
	return true
}
