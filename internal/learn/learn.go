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
	// refreshRuns is the number of runs between updates of the estimate.
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
	// Learned is false while the estimate comes from the declared run time. Low is
	// then 0, and the others are the declared run time.
	Learned bool
}

// Estimator learns the run time of one kind of work. It alternates two histograms
// half a window apart. The older one covers at least the last half window of runs
// and at most a whole one, so that older runs are forgotten.
type Estimator struct {
	older            *hdrhistogram.Histogram
	newer            *hdrhistogram.Histogram
	estimate         Estimate
	runsSinceRefresh int
}

// New returns an Estimator that starts from a declared run time.
func New(declared time.Duration) *Estimator {
	e := &Estimator{
		older: hdrhistogram.New(1, maxTicks, significantDigits),
		newer: hdrhistogram.New(1, maxTicks, significantDigits),
	}
	e.Declare(declared)
	return e
}

// Declare changes the declared run time. It has no effect once the estimate is
// learned.
func (e *Estimator) Declare(declared time.Duration) {
	if e.estimate.Learned {
		return
	}
	e.estimate = Estimate{Low: 0, Median: declared, High: declared, Mean: declared}
}

// Estimate returns the current estimate.
func (e *Estimator) Estimate() Estimate {
	return e.estimate
}

// Observe records the duration of a run.
func (e *Estimator) Observe(elapsed time.Duration) {
	ticks := min(max(int64(elapsed/resolution), 1), maxTicks)
	_ = e.older.RecordValue(ticks)
	if e.older.TotalCount() > windowRuns/2 {
		_ = e.newer.RecordValue(ticks)
	}
	e.runsSinceRefresh++
	enoughSeen := e.older.TotalCount() >= minRuns
	due := e.runsSinceRefresh >= refreshRuns || !e.estimate.Learned
	if enoughSeen && due {
		e.refresh()
	}
	if e.older.TotalCount() >= windowRuns {
		e.rotate()
	}
}

func (e *Estimator) rotate() {
	e.older.Reset()
	e.older, e.newer = e.newer, e.older
}

func (e *Estimator) refresh() {
	e.runsSinceRefresh = 0
	e.estimate = Estimate{
		Low:     e.quantile(0.05),
		Median:  e.quantile(0.50),
		High:    e.quantile(0.95),
		Mean:    time.Duration(e.older.Mean() * float64(resolution)),
		Learned: true,
	}
}

func (e *Estimator) quantile(q float64) time.Duration {
	return time.Duration(e.older.ValueAtQuantile(100*q)) * resolution
}
