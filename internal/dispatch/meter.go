package dispatch

import (
	"math"
	"time"
)

const (
	// drainWindow is the length of the windows over which a drain rate is
	// measured.
	drainWindow = 500 * time.Millisecond
	// minDrainSpan is the minimum time that a measured drain rate must cover.
	minDrainSpan = 100 * time.Millisecond
)

// drainRate measures how fast a queue drains while it is never empty, over the
// last one to two windows. The queue drained by count items in the current
// window and by previousCount items in the window before.
type drainRate struct {
	windowStart   time.Duration
	previousStart time.Duration
	count         int
	previousCount int
}

// reset restarts the measurement when a queue stops being empty.
func (r *drainRate) reset(now time.Duration) {
	*r = drainRate{windowStart: now, previousStart: now}
}

// add counts an item dispatched from the queue. Expired and cancelled items
// aren't counted.
func (r *drainRate) add(now time.Duration) {
	r.roll(now)
	r.count++
}

// roll starts a new window if the current one has lasted for drainWindow.
func (r *drainRate) roll(now time.Duration) {
	if now-r.windowStart < drainWindow {
		return
	}
	r.previousStart, r.previousCount = r.windowStart, r.count
	r.windowStart, r.count = now, 0
}

// timeToDrain returns the time in which the queue drains by n items, and false
// while no drain rate has been measured.
func (r *drainRate) timeToDrain(now time.Duration, n int) (time.Duration, bool) {
	r.roll(now)
	removed := r.previousCount + r.count
	elapsed := now - r.previousStart
	if elapsed < minDrainSpan || removed == 0 {
		return 0, false
	}
	return elapsed * time.Duration(n) / time.Duration(removed), true
}

const (
	// meanGain and deviationGain are the weights of a new observation.
	meanGain      = 1.0 / 128
	deviationGain = 1.0 / 128
	// deviationFactor is the number of mean deviations between the mean and the
	// bound.
	deviationFactor = 2
)

// excessEstimator estimates by how much waits exceed their forecasts. Like
// TCP's retransmission timeout (Jacobson, 1988), it keeps a smoothed mean and a
// smoothed mean deviation.
type excessEstimator struct {
	mean      float64
	deviation float64
}

func (e *excessEstimator) observe(excess time.Duration) {
	err := float64(excess) - e.mean
	e.mean += err * meanGain
	e.deviation += (math.Abs(err) - e.deviation) * deviationGain
}

// bound returns an excess over the forecast that few waits go beyond, at least 0.
func (e *excessEstimator) bound() time.Duration {
	return max(time.Duration(e.mean+deviationFactor*e.deviation), 0)
}
