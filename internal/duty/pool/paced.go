package pool

import "time"

// retryGate allows one call in flight and delays the next one after a failure.
type retryGate struct {
	inFlight bool
	retryAt  time.Duration // no call before this time
}

func (p *retryGate) open(now time.Duration) bool { return !p.inFlight && now >= p.retryAt }
