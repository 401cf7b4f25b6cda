// Package recent sums amounts over a sliding window. Callers use the sums to
// correct reports that don't yet include the latest changes. It reads no clock;
// callers pass the time.
package recent

import "time"

// Window sums amounts by key over a sliding window. It is not safe for
// concurrent use.
type Window struct {
	span    time.Duration
	entries []entry
	sums    map[string]int
}

type entry struct {
	at     time.Time
	key    string
	amount int
}

// New returns an empty window that covers span.
func New(span time.Duration) *Window {
	return &Window{span: span, sums: make(map[string]int)}
}

// Add adds an amount for a key. Calls to Add and Sum must not go back in time.
func (w *Window) Add(now time.Time, key string, amount int) {
	w.expire(now)
	w.entries = append(w.entries, entry{at: now, key: key, amount: amount})
	w.sums[key] += amount
}

// Sum returns the sum of a key's amounts within the span.
func (w *Window) Sum(now time.Time, key string) int {
	w.expire(now)
	return w.sums[key]
}

func (w *Window) expire(now time.Time) {
	n := 0
	for n < len(w.entries) && now.Sub(w.entries[n].at) >= w.span {
		w.sums[w.entries[n].key] -= w.entries[n].amount
		n++
	}
	w.entries = w.entries[n:]
}
