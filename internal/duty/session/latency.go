package session

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	// latencyWindow is the number of recent operations whose latency is kept.
	latencyWindow = 16
	// operationsPerTick is the number of operations that can delay a tick:
	// the renewal and the scan.
	operationsPerTick = 2
	// ticksPerObservation is the number of ticks that can delay the
	// observation of a renewal: the holder's and the observer's.
	ticksPerObservation = 2
	// timeoutGrowth is the factor by which the timeout grows after an
	// operation timed out.
	timeoutGrowth = 2
)

// latencies holds the latencies of recent operations and derives the timeout
// from them.
type latencies struct {
	minTimeout, maxTimeout time.Duration
	recent                 [latencyWindow]time.Duration
	next                   int
	// timeout is the slowest recent latency plus minTimeout. It doubles when an
	// operation times out and never exceeds maxTimeout.
	timeout time.Duration
}

func newLatencies(minTimeout, maxTimeout time.Duration) latencies {
	return latencies{minTimeout: minTimeout, maxTimeout: maxTimeout, timeout: minTimeout}
}

// record updates the timeout from the outcome of an operation. Only a success or
// a conflict is an answer of the table. An operation that timed out took at least
// that long, and is recorded unless it failed with fault.Unavailable, as reads and
// commits that certainly had no effect do. Other errors are ignored because they
// say nothing about the table's latency.
func (l *latencies) record(took time.Duration, err error) {
	switch {
	case err == nil || fault.Is(err, fault.Conflict):
		l.add(took)
		l.timeout = min(l.slowest()+l.minTimeout, l.maxTimeout)
	case !fault.Is(err, fault.Unavailable) && took >= l.timeout:
		l.add(took)
		l.timeout = min(l.timeout*timeoutGrowth, l.maxTimeout)
	}
}

func (l *latencies) add(took time.Duration) {
	l.recent[l.next] = took
	l.next = (l.next + 1) % latencyWindow
}

func (l *latencies) slowest() time.Duration {
	slowest := time.Duration(0)
	for _, took := range l.recent {
		slowest = max(slowest, took)
	}
	return slowest
}

// allowance returns the time by which the table's latency may delay the
// observation of a renewal. It is added to the TTL of other sessions.
func (l *latencies) allowance() time.Duration {
	return operationsPerTick * ticksPerObservation * l.slowest()
}

// startOperation begins an operation. It returns a context with the operation's
// timeout and a function to call with the operation's error.
func (s *Session) startOperation(ctx context.Context) (context.Context, func(error)) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.Timeout())
	return ctx, func(err error) {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.latencies.record(time.Since(began), err)
	}
}

func (s *Session) allowance() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latencies.allowance()
}
