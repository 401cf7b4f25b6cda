// Package breaker limits what is sent to a server that fails or is fresh, and
// how much load retries may add. It is pure: time is the duration since an
// arbitrary start that all calls share.
package breaker

import "time"

// State is a circuit's state.
type State int

// The circuit states.
const (
	// Closed lets all work through.
	Closed State = iota
	// Open lets nothing through.
	Open
	// HalfOpen lets one piece of work through at a time.
	HalfOpen
)

// String returns the state's stable word.
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
	// Failures is the number of failures that opens a circuit: in a row, or in
	// excess of successes in the long run.
	Failures int
	// OpenFor is the time for which a circuit opens first. It doubles with
	// each failed trial, up to OpenMax.
	OpenFor time.Duration
	OpenMax time.Duration
}

// Circuit stops work to one server that fails. The zero value is closed.
type Circuit struct {
	state    State
	score    int
	openings int
	until    time.Duration
}

// State returns the state at a time.
func (c *Circuit) State(now time.Duration) State {
	if c.state == Open && now >= c.until {
		return HalfOpen
	}
	return c.state
}

// ReopensAt returns when an open circuit becomes half open.
func (c *Circuit) ReopensAt() time.Duration {
	return c.until
}

// Succeed notes a success. It closes a half open circuit and reports whether
// it did.
func (c *Circuit) Succeed(now time.Duration) bool {
	if c.State(now) == HalfOpen {
		*c = Circuit{}
		return true
	}
	if c.score > 0 {
		c.score--
	}
	return false
}

// Fail notes a failure. The jitter in [0, 1) spreads the time of the next
// trial over the second half of its interval.
func (c *Circuit) Fail(now time.Duration, s CircuitSettings, jitter float64) {
	switch c.State(now) {
	case Open:
		return
	case HalfOpen:
		c.open(now, s, jitter)
	default:
		c.score++
		if c.score >= s.Failures {
			c.open(now, s, jitter)
		}
	}
}

func (c *Circuit) open(now time.Duration, s CircuitSettings, jitter float64) {
	wait := s.OpenFor << min(c.openings, 16)
	wait = min(wait, s.OpenMax)
	c.state = Open
	c.openings++
	c.until = now + wait/2 + time.Duration(jitter*float64(wait/2))
}
