// Package keylease decides how long an instance may accept API keys by a
// configuration that it can't read anew. The load pattern that it answers is an
// instance that has lost the store, or was suspended, while keys are withdrawn: a
// reading of the configuration grants a lease on its keys, and keys aren't accepted
// once that lease has ended.
package keylease

import "time"

const (
	// maxClockSlowness is the largest fraction by which this instance's clock may be
	// slow.
	maxClockSlowness = 0.02
	// processingMargin is reserved for the time between the check of a key and the
	// effect of the call.
	processingMargin = 250 * time.Millisecond
)

// Policy limits the age of the configuration by which keys are accepted. The zero
// value sets no limit.
type Policy struct {
	// RevokeWithin is the time after its withdrawal from which a key must not be
	// accepted any more, 0 for no limit.
	RevokeWithin time.Duration
}

// Limited reports whether the policy sets a limit.
func (p Policy) Limited() bool { return p.RevokeWithin > 0 }

// Lease returns how long a configuration's keys may be accepted after it was read.
// It has no meaning unless Limited reports true.
func (p Policy) Lease() time.Duration {
	return max(time.Duration(float64(p.RevokeWithin)*(1-maxClockSlowness))-processingMargin, 0)
}

// Accepts reports whether a configuration's keys may be accepted at now. readAt is
// the latest time at which it is known to have been the newest one: when the
// reading that returned it was sent, as the configuration may have changed while
// the response was on its way. Both are on a clock that counts suspension.
func (p Policy) Accepts(now, readAt time.Duration) bool {
	return !p.Limited() || now-readAt < p.Lease()
}
