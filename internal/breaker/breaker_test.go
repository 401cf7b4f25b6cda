package breaker

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var settings = CircuitSettings{FailureThreshold: 3, OpenDuration: time.Second, MaxOpenDuration: 4 * time.Second}

// TestCircuitBacksOffAfterFailedTrials fails if consecutiveOpenings isn't
// counted or RecordFailure ignores the state.
func TestCircuitBacksOffAfterFailedTrials(t *testing.T) {
	var c Circuit
	for range 3 {
		must.Eq(t, Closed, c.State(0))
		c.RecordFailure(0, settings, 1)
	}
	must.Eq(t, Open, c.State(0))
	now := time.Duration(0)
	for _, wait := range []time.Duration{1, 2, 4, 4} {
		c.RecordFailure(now, settings, 0)
		must.Eq(t, now+wait*time.Second, c.HalfOpenAt())
		now = c.HalfOpenAt()
		must.Eq(t, HalfOpen, c.State(now))
		c.RecordFailure(now, settings, 1)
	}
	now = c.HalfOpenAt()
	must.True(t, c.RecordSuccess(now))
	must.Eq(t, Closed, c.State(now))
}

func TestCircuitStaysClosedWithAsManySuccessesAsFailures(t *testing.T) {
	var c Circuit
	for range 100 {
		c.RecordFailure(0, settings, 0)
		c.RecordSuccess(0)
	}
	must.Eq(t, Closed, c.State(0))
}

// TestRetryBudgetLimitsRetriesToShareOfSuccesses fails if Take always succeeds.
func TestRetryBudgetLimitsRetriesToShareOfSuccesses(t *testing.T) {
	b := NewRetryBudget(0.125, 4)
	taken := 0
	for range 1000 {
		b.RecordSuccess()
		for range 5 {
			if b.Take() {
				taken++
			}
		}
	}
	must.Eq(t, 4+125-1, taken, must.Sprint("the burst plus an eighth of the successes; the first share exceeds the burst and is lost"))
}

func TestSlowStartAddsOneSlotPerStep(t *testing.T) {
	s := NewSlowStart(time.Minute, 8*time.Second)
	now := time.Minute
	for want := 1; want <= 8; want++ {
		must.Eq(t, want, s.Limit(now, 8))
		next, growing := s.NextStep(now, 8)
		must.Eq(t, want < 8, growing)
		now = next
	}
	must.Eq(t, 8, SlowStart{}.Limit(0, 8))
}
