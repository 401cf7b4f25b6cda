// Package breaker limits the load on servers that fail or are new, and the load
// that retries may add. It is pure: times are durations since an arbitrary
// origin that all calls share.
package breaker

import "time"

// State is the state of a circuit.
type State int

// The circuit states.
const (
	// Closed permits all requests.
	Closed State = iota
	// Open permits none.
	Open
	// HalfOpen permits one request at a time, as a trial.
	HalfOpen
)

// String returns the state's name. The names appear in server statistics and
// don't change.
func (s State) String() string {
	switch s {
	case Closed:
		return "closed"
	case Open:
		return "open"
	default:
		return "half_open"
	}
}

// CircuitSettings configures circuits.
type CircuitSettings struct {
	// FailureThreshold is the number of consecutive failures that opens a
	// circuit. In a mix of results it is the number of failures in excess of
	// successes.
	FailureThreshold int
	// OpenDuration is how long a circuit first stays open, without jitter, which
	// shortens it by up to half. It doubles with each failed trial, up to
	// MaxOpenDuration.
	OpenDuration    time.Duration
	MaxOpenDuration time.Duration
}

// Circuit is the circuit breaker of one server. The zero value is closed.
type Circuit struct {
	state               State
	excessFailures      int
	consecutiveOpenings int
	openUntil           time.Duration
}

// State returns the state at time now.
func (c *Circuit) State(now time.Duration) State {
	if c.state == Open && now >= c.openUntil {
		return HalfOpen
	}
	return c.state
}

// HalfOpenAt returns when an open circuit becomes half open, or 0 if the circuit
// is closed.
func (c *Circuit) HalfOpenAt() time.Duration {
	return c.openUntil
}

// RecordSuccess records a success. It closes a half-open circuit and reports
// whether it did.
func (c *Circuit) RecordSuccess(now time.Duration) bool {
	if c.State(now) == HalfOpen {
		*c = Circuit{}
		return true
	}
	if c.excessFailures > 0 {
		c.excessFailures--
	}
	return false
}

// RecordFailure records a failure, unless the circuit is open. The jitter in
// [0, 1) spreads the time of the next trial over the second half of the open
// duration.
func (c *Circuit) RecordFailure(now time.Duration, s CircuitSettings, jitter float64) {
	switch c.State(now) {
	case Open:
		return
	case HalfOpen:
		c.open(now, s, jitter)
	default:
		c.excessFailures++
		if c.excessFailures >= s.FailureThreshold {
			c.open(now, s, jitter)
		}
	}
}

func (c *Circuit) open(now time.Duration, s CircuitSettings, jitter float64) {
	// The limit on the shift prevents an overflow.
	wait := s.OpenDuration << min(c.consecutiveOpenings, 16)
	wait = min(wait, s.MaxOpenDuration)
	c.state = Open
	c.consecutiveOpenings++
	c.openUntil = now + wait/2 + time.Duration(jitter*float64(wait/2))
}
