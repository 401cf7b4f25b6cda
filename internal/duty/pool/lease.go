package pool

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// maxClockSlowness is the largest fraction by which a worker's clock may be slow.
const maxClockSlowness = 0.02

// expiryMargin is added to the time by which a lease must have expired.
const expiryMargin = 150 * time.Millisecond

// clockRounding is the resolution of a worker's clock in its answers.
const clockRounding = time.Millisecond

// leaseClock relates a worker's clock to this process's monotonic clock. The zero
// value has no reading of the worker's clock.
type leaseClock struct {
	hasReading bool
	workerNow  time.Duration // worker's clock in its last answer
	readAt     time.Duration // local clock when the answer with workerNow arrived
	// workerLeaseEnd is the latest lease end that any call requested, on the
	// worker's clock. localExpiry is the time on the local clock by which that lease
	// must have expired.
	workerLeaseEnd time.Duration
	localExpiry    time.Duration
	// longUntil is when a lease has expired, on the local clock, that may exceed what was
	// requested: an order that was meant for another incarnation, or one of a previous
	// owner, may have granted it.
	longUntil time.Duration
}

// update applies the clock of an answer that arrived at now.
func (c *leaseClock) update(now time.Duration, clock port.WorkerClock) {
	if c.hasReading && clock.Now < c.workerNow {
		return // an older answer, received out of order
	}
	c.hasReading, c.workerNow, c.readAt = true, clock.Now, now
	c.updateExpiry()
}

// extend returns the time on the worker's clock at which a lease of the given
// length ends, and records it if it is the latest.
func (c *leaseClock) extend(now, length time.Duration) time.Duration {
	until := c.workerNow + (now - c.readAt) + length
	if until > c.workerLeaseEnd {
		c.workerLeaseEnd = until
		c.updateExpiry()
	}
	return until
}

// remaining returns how much of the lease is left, and false if none was ever
// requested.
func (c *leaseClock) remaining(now time.Duration) (time.Duration, bool) {
	return c.workerLeaseEnd - c.workerNow - (now - c.readAt), c.workerLeaseEnd > 0
}

func (c *leaseClock) updateExpiry() {
	if !c.hasReading {
		return
	}
	left := max(c.workerLeaseEnd-c.workerNow, 0)
	c.localExpiry = max(c.readAt+lasting(left), c.longUntil)
}

// lasting returns the time within which a lease of the given length must have expired.
func lasting(length time.Duration) time.Duration {
	return time.Duration(float64(length)*(1+maxClockSlowness)) + expiryMargin
}

// restartedBefore reports whether the worker's clock, as read for an order sent at
// sentAt, is below what the clock of the known incarnation can read by then.
func (c *leaseClock) restartedBefore(clock, sentAt time.Duration) bool {
	elapsed := sentAt - c.readAt
	if elapsed > 0 {
		elapsed = time.Duration(float64(elapsed) * (1 - maxClockSlowness))
	}
	return c.hasReading && clock < c.workerNow+elapsed-clockRounding
}

// suspectLongest records that the worker may have granted its longest lease by now: to an
// order by the clock of another incarnation, which only maxLease limits.
func (c *leaseClock) suspectLongest(now, maxLease time.Duration) {
	c.longUntil = max(c.longUntil, now+lasting(maxLease))
	c.updateExpiry()
}

// restart applies the first answer of a new incarnation of the worker, received at
// now. Orders meant for the previous incarnation set lease ends by that
// incarnation's clock, and the new one limits these only to maxLease from when it
// carries them out. unanswered tells which orders may still be carried out: only
// those that were sent after the new incarnation began, by which its clock counts.
func (c *leaseClock) restart(now, maxLease time.Duration, clock port.WorkerClock, unanswered *unansweredOrders) {
	*c = leaseClock{hasReading: true, workerNow: clock.Now, readAt: now, workerLeaseEnd: clock.Now + maxLease}
	beganAt := now - lasting(clock.Now)
	if sentAt, ok := unanswered.latest(); ok && sentAt >= beganAt {
		c.workerLeaseEnd += max(sentAt+maxOrderDelay-now, 0)
	}
	c.longUntil = now + lasting(c.workerLeaseEnd-clock.Now)
	c.updateExpiry()
}
