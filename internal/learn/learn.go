// Package learn estimates run times from those that were seen. Declared run
// times are hints that may be far off, so they count only until enough runs of
// the same kind were seen. It is pure.
package learn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// unit is the resolution of recorded run times.
	unit = 100 * time.Microsecond
	// longest is the longest run time told apart, in units.
	longest = int64(48 * time.Hour / unit)
	// digits is the number of significant decimal digits kept.
	digits = 1
	// window is the number of runs after which a histogram is reset.
	window = 2048
	// refreshEvery is the number of runs between updates of the quantiles.
	refreshEvery = 16
	// enough is the number of runs from which the declared time is ignored.
	enough = 16
)

// Estimate is what is known of a kind of work's run time.
type Estimate struct {
	// Low, Median and High are the 5th, 50th and 95th percentile.
	Low    time.Duration
	Median time.Duration
	High   time.Duration
	Mean   time.Duration
	// Learned is false while the estimate rests on the declared time.
	Learned bool
}

// RunTime learns one kind of work's run time. Two histograms take turns half a
// window apart, so that the older one covers the last half to whole window of
// runs and earlier behaviour is forgotten.
type RunTime struct {
	older    *hdrhistogram.Histogram
	newer    *hdrhistogram.Histogram
	estimate Estimate
	pending  int
}

// New returns a learner that starts from a declared run time.
func New(declared time.Duration) *RunTime {
	r := &RunTime{
		older: hdrhistogram.New(1, longest, digits),
		newer: hdrhistogram.New(1, longest, digits),
	}
	r.Declare(declared)
	return r
}

// Declare changes the declared run time. It has no effect once runs were
// learned from.
func (r *RunTime) Declare(declared time.Duration) {
	if r.estimate.Learned {
		return
	}
	r.estimate = Estimate{Low: 0, Median: declared, High: declared, Mean: declared}
}

// Estimate returns the current estimate.
func (r *RunTime) Estimate() Estimate {
	return r.estimate
}

// Observe notes a run's time.
func (r *RunTime) Observe(elapsed time.Duration) {
	ticks := min(max(int64(elapsed/unit), 1), longest)
	_ = r.older.RecordValue(ticks)
	if r.older.TotalCount() > window/2 {
		_ = r.newer.RecordValue(ticks)
	}
	r.pending++
	enoughSeen := r.older.TotalCount() >= enough
	due := r.pending >= refreshEvery || !r.estimate.Learned
	if enoughSeen && due {
		r.refresh()
	}
	if r.older.TotalCount() >= window {
		r.rotate()
	}
}

func (r *RunTime) rotate() {
	r.older.Reset()
	r.older, r.newer = r.newer, r.older
}

func (r *RunTime) refresh() {
	r.pending = 0
	r.estimate = Estimate{
		Low:     r.quantile(0.05),
		Median:  r.quantile(0.50),
		High:    r.quantile(0.95),
		Mean:    time.Duration(r.older.Mean() * float64(unit)),
		Learned: true,
	}
}

func (r *RunTime) quantile(q float64) time.Duration {
	return time.Duration(r.older.ValueAtQuantile(100*q)) * unit
}
