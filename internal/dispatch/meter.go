package dispatch

import (
	"math"
	"time"
)

const (
	// meterWindow is the time over which a drain rate is measured.
	meterWindow = 500 * time.Millisecond
	// meterLeast is the time from which a drain rate is known.
	meterLeast = 100 * time.Millisecond
)

// meter measures how fast a queue drains while it is never empty. It covers
// the last one to two windows.
type meter struct {
	from         time.Duration
	previousFrom time.Duration
	count        int
	previous     int
}

// reset starts afresh when a queue begins to build up.
func (m *meter) reset(now time.Duration) {
	*m = meter{from: now, previousFrom: now}
}

// add notes that an item was taken from the queue.
func (m *meter) add(now time.Duration) {
	m.roll(now)
	m.count++
}

func (m *meter) roll(now time.Duration) {
	if now-m.from < meterWindow {
		return
	}
	m.previousFrom, m.previous = m.from, m.count
	m.from, m.count = now, 0
}

// timeFor returns the time in which the queue drains by n items, and false
// when that isn't known.
func (m *meter) timeFor(now time.Duration, n int) (time.Duration, bool) {
	m.roll(now)
	seen := m.previous + m.count
	over := now - m.previousFrom
	if over < meterLeast || seen == 0 {
		return 0, false
	}
	return over * time.Duration(n) / time.Duration(seen), true
}

const (
	// surplusGain and deviationGain are the weights of a new observation.
	surplusGain   = 1.0 / 128
	deviationGain = 1.0 / 128
	// deviations is how many mean deviations the bound is above the mean.
	deviations = 2
)

// surplus learns by how much waits exceed their forecasts, as TCP learns its
// retransmission timeout (Jacobson, 1988): by a smoothed mean and a smoothed
// mean deviation.
type surplus struct {
	mean      float64
	deviation float64
}

func (s *surplus) observe(excess time.Duration) {
	err := float64(excess) - s.mean
	s.mean += err * surplusGain
	s.deviation += (math.Abs(err) - s.deviation) * deviationGain
}

// bound returns the excess that few waits go beyond.
func (s *surplus) bound() time.Duration {
	return max(time.Duration(s.mean+deviations*s.deviation), 0)
}
