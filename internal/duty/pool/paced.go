package pool

import "time"

// retryGate allows one call in flight and delays the next one after a failure.
type retryGate struct {
	inFlight bool
	retryAt  time.Duration // no call before this time
}

func (g *retryGate) open(now time.Duration) bool { return !g.inFlight && now >= g.retryAt }
