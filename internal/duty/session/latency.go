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
	// timeoutGrowth is the factor by which the timeout grows when it passed.
	timeoutGrowth = 2
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

// record learns from an operation's outcome. A refusal says nothing about
// latency; one that timed out took at least that long.
func (l *latencies) record(took time.Duration, err error) {
	switch {
	case err == nil || fault.Is(err, fault.Conflict):
		l.remember(took)
		l.timeout = min(l.slowest()+l.min, l.max)
	case !fault.Is(err, fault.Unavailable) && took >= l.timeout:
		l.remember(took)
		l.timeout = min(l.timeout*timeoutGrowth, l.max)
	}
}

func (l *latencies) remember(took time.Duration) {
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

// allowance is added to the TTL of others' sessions: the time by which the
// table's own latency may delay the sighting of a renewal.
func (l *latencies) allowance() time.Duration {
	return operationsPerTick * ticksPerSighting * l.slowest()
}

// start begins an operation. It returns a context with the operation's timeout
// and a function to call with its outcome.
func (s *Session) start(ctx context.Context) (context.Context, func(error)) {
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
