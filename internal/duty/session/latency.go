package session

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	// latencyWindow is the number of operations whose latency is remembered.
	latencyWindow = 16
	// operationsPerTick is the number of operations that delay a tick: the
	// renewal and the scan.
	operationsPerTick = 2
	// ticksPerSighting is the number of ticks that may delay the sighting of a
	// renewal: the holder's and the observer's.
	ticksPerSighting = 2
	// timeoutFactor is how many times the slowest remembered operation is
	// waited for.
	timeoutFactor = 2
)

// latencies remembers how long the last operations took.
type latencies struct {
	min, max time.Duration
	recent   [latencyWindow]time.Duration
	next     int
	// timeout grows while operations time out.
	timeout time.Duration
}

func newLatencies(shortest, longest time.Duration) latencies {
	return latencies{min: shortest, max: longest, timeout: shortest}
}

// start begins an operation. It returns a context with the operation's timeout
// and a function to call with its outcome.
func (l *latencies) start(ctx context.Context) (context.Context, func(error)) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	return ctx, func(err error) {
		cancel()
		l.record(time.Since(began), err)
	}
}

// record learns from an operation's outcome. A refusal says nothing about
// latency; an operation without an answer may need more time.
func (l *latencies) record(took time.Duration, err error) {
	switch fault.CodeOf(err) {
	case "", fault.Conflict:
		l.answered(took)
	case fault.Unavailable:
	default:
		l.timeout = min(l.timeout*timeoutFactor, l.max)
	}
}

func (l *latencies) answered(took time.Duration) {
	l.recent[l.next] = took
	l.next = (l.next + 1) % latencyWindow
	l.timeout = min(max(l.min, timeoutFactor*l.slowest()+l.min), l.max)
}

func (l *latencies) slowest() time.Duration {
	slowest := time.Duration(0)
	for _, took := range l.recent {
		slowest = max(slowest, took)
	}
	return slowest
}

// allowance is added to the TTL of others' sessions: the time by which the
// table's own latency may delay the sighting of a renewal.
func (l *latencies) allowance() time.Duration {
	return operationsPerTick * ticksPerSighting * l.slowest()
}
