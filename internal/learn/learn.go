// Package learn estimates run times from observed runs. Declared run times may be
// far off, so they are used only until enough runs of the same kind have been
// observed. The package does no I/O and reads no clock.
package learn

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// resolution is the unit in which run times are recorded.
	resolution = 100 * time.Microsecond
	// maxTicks is the longest run time that is recorded, in units of resolution.
	// Longer runs count as this long.
	maxTicks = int64(48 * time.Hour / resolution)
	// significantDigits is the number of decimal digits that the histograms keep.
	significantDigits = 1
	// windowRuns is the number of runs after which a histogram is reset.
	windowRuns = 2048
	// refreshRuns is the number of runs between updates of the quantiles.
	refreshRuns = 16
	// minRuns is the number of observed runs from which the estimate no longer
	// uses the declared run time.
	minRuns = 16
)

// Estimate is the estimated run time of one kind of work.
type Estimate struct {
	// Low, Median and High are the 5th, 50th and 95th percentiles.
	Low    time.Duration
	Median time.Duration
	High   time.Duration
	Mean   time.Duration
	// Learned is false while the estimate comes from the declared run time.
	Learned bool
}

// RunTime learns the run time of one kind of work. It alternates two histograms
// half a window apart. The older one covers at least the last half window of runs
// and at most a whole one, so that older runs are forgotten.
type RunTime struct {
	older            *hdrhistogram.Histogram
	newer            *hdrhistogram.Histogram
	estimate         Estimate
	runsSinceRefresh int
}

// New returns a RunTime that starts from a declared run time.
func New(declared time.Duration) *RunTime {
	r := &RunTime{
		older: hdrhistogram.New(1, maxTicks, significantDigits),
		newer: hdrhistogram.New(1, maxTicks, significantDigits),
	}
	r.Declare(declared)
	return r
}

// Declare changes the declared run time. It has no effect once the estimate is
// learned.
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

// Observe records the duration of a run.
func (r *RunTime) Observe(elapsed time.Duration) {
	ticks := min(max(int64(elapsed/resolution), 1), maxTicks)
	_ = r.older.RecordValue(ticks)
	if r.older.TotalCount() > windowRuns/2 {
		_ = r.newer.RecordValue(ticks)
	}
	r.runsSinceRefresh++
	enoughSeen := r.older.TotalCount() >= minRuns
	due := r.runsSinceRefresh >= refreshRuns || !r.estimate.Learned
	if enoughSeen && due {
		r.refresh()
	}
	if r.older.TotalCount() >= windowRuns {
		r.rotate()
	}
}

func (r *RunTime) rotate() {
	r.older.Reset()
	r.older, r.newer = r.newer, r.older
}

func (r *RunTime) refresh() {
	r.runsSinceRefresh = 0
	r.estimate = Estimate{
		Low:     r.quantile(0.05),
		Median:  r.quantile(0.50),
		High:    r.quantile(0.95),
		Mean:    time.Duration(r.older.Mean() * float64(resolution)),
		Learned: true,
	}
}

func (r *RunTime) quantile(q float64) time.Duration {
	return time.Duration(r.older.ValueAtQuantile(100*q)) * resolution
}
