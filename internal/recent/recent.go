// Package recent sums what was done in the last while, to make up for reports
// of others that lag behind it. It is pure: time is passed in.
package recent

import "time"

// Window sums amounts by key over a span. It is not safe for concurrent use.
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

// New returns an empty window.
func New(span time.Duration) *Window {
	return &Window{span: span, sums: make(map[string]int)}
}

// Add notes an amount. Times must not go back.
func (w *Window) Add(now time.Time, key string, amount int) {
	w.expire(now)
	w.entries = append(w.entries, entry{at: now, key: key, amount: amount})
	w.sums[key] += amount
}

// Sum returns what was added for a key within the span.
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
