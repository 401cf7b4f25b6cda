package pool

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// clockSlowness is how much slower than true time a worker's clock may run.
const clockSlowness = 0.02

// lapseMargin is added to the time after which a lease must have expired.
const lapseMargin = 150 * time.Millisecond

// leaseClock relates a worker's clock to this process's steady clock. The zero
// value knows nothing of the worker.
type leaseClock struct {
	known  bool
	worker time.Duration // the worker's clock in its last answer
	at     time.Duration // our clock when that answer arrived
	// until is the latest lease end that any order asked for, and lapsesAt our
	// clock by which it has passed for certain.
	until    time.Duration
	lapsesAt time.Duration
}

// read takes in an answer that arrived at now.
func (c *leaseClock) read(now time.Duration, clock port.WorkerClock) {
	if c.known && clock.Now < c.worker {
		return // overtaken by a later answer
	}
	c.known, c.worker, c.at = true, clock.Now, now
	c.renewLapse()
}

// extend returns the worker's time at which a lease of the given length ends.
func (c *leaseClock) extend(now, length time.Duration) time.Duration {
	until := c.worker + (now - c.at) + length
	if until > c.until {
		c.until = until
		c.renewLapse()
	}
	return until
}

// left returns how much of the lease remains, if one was ever asked for.
func (c *leaseClock) left(now time.Duration) (time.Duration, bool) {
	return c.until - c.worker - (now - c.at), c.until > 0
}

func (c *leaseClock) renewLapse() {
	if !c.known {
		return
	}
	left := max(c.until-c.worker, 0)
	c.lapsesAt = c.at + time.Duration(float64(left)*(1+clockSlowness)) + lapseMargin
}

// restart takes in the first answer of a new life of the worker. Orders that
// were meant for the former life may have set a lease end by its clock, which
// the worker bounds by longest only.
func (c *leaseClock) restart(now, longest time.Duration, clock port.WorkerClock) {
	*c = leaseClock{known: true, worker: clock.Now, at: now, until: clock.Now + longest}
	c.renewLapse()
}
