package relay

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/transfer"
)

// trace records the attempts of a call. It isn't safe for concurrent use.
type trace struct {
	startedAt time.Time
	attempts  []*attempt
}

type attempt struct {
	route    string
	calledAt time.Time
	received *transfer.Meter
	took     time.Duration // valid if hasEnded
	hasEnded bool
	err      error
}

func newTrace() *trace { return &trace{startedAt: time.Now()} }

// attempt records the start of an attempt and returns its context.
func (t *trace) attempt(ctx context.Context, route string) context.Context {
	ctx, meter := transfer.With(ctx)
	t.attempts = append(t.attempts, &attempt{route: route, calledAt: time.Now(), received: meter})
	return ctx
}

// ended records the end of the k-th attempt.
func (t *trace) ended(k int, err error) {
	a := t.attempts[k]
	a.hasEnded, a.took, a.err = true, time.Since(a.calledAt), err
}

// isReceiving reports whether the response to an attempt is arriving: it has begun, and its
// last bytes came less than quiet ago.
func (t *trace) isReceiving(quiet time.Duration) bool {
	for _, a := range t.attempts {
		if a.isReceiving(quiet) {
			return true
		}
	}
	return false
}

func (a *attempt) isReceiving(quiet time.Duration) bool {
	since, arrived := a.received.Since()
	return !a.hasEnded && arrived && since < quiet
}

// String returns the attempt with its route, the bytes that have arrived, its duration and
// its outcome.
func (a *attempt) String() string {
	took, outcome := a.took, "answered"
	switch {
	case !a.hasEnded:
		took, outcome = time.Since(a.calledAt), "abandoned"
	case a.err != nil:
		outcome = a.err.Error()
	}
	return fmt.Sprintf("%s: %s in %s, %s", a.route, a.received, took.Round(time.Millisecond), outcome)
}

// logSlow logs a call that took longer than hedgeDelay.
func (s *Store) logSlow(call operation, t *trace, hedgeDelay time.Duration, err error) {
	took := time.Since(t.startedAt)
	if took < hedgeDelay {
		return
	}
	attempts := make([]string, len(t.attempts))
	for i, a := range t.attempts {
		attempts[i] = a.String()
	}
	s.log.Info("slow store call", zap.String("call", call.name), zap.String("table", call.table), zap.String("partition", string(call.scope)),
		zap.Duration("took", took), zap.Duration("hedge_delay", hedgeDelay), zap.Strings("attempts", attempts), zap.Error(err))
}

// routeName returns a name of the route for the log.
func (s *Store) routeName(route port.RowStore) string {
	if route == s.direct {
		return "direct"
	}
	if named, ok := route.(fmt.Stringer); ok {
		return named.String()
	}
	return "peer"
}
