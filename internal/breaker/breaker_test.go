package breaker

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var settings = CircuitSettings{Failures: 3, OpenFor: time.Second, OpenMax: 4 * time.Second}

// TestCircuitOpensTriesAndBacksOff fails when openings isn't counted, and when
// Fail ignores the state.
func TestCircuitOpensTriesAndBacksOff(t *testing.T) {
	var c Circuit
	for range 3 {
		must.Eq(t, Closed, c.State(0))
		c.Fail(0, settings, 1)
	}
	must.Eq(t, Open, c.State(0))
	now := time.Duration(0)
	for _, wait := range []time.Duration{1, 2, 4, 4} {
		c.Fail(now, settings, 0)
		must.Eq(t, now+wait*time.Second, c.ReopensAt())
		now = c.ReopensAt()
		must.Eq(t, HalfOpen, c.State(now))
		c.Fail(now, settings, 1)
	}
	now = c.ReopensAt()
	must.True(t, c.Succeed(now))
	must.Eq(t, Closed, c.State(now))
}

func TestCircuitStaysClosedWhileSuccessesPrevail(t *testing.T) {
	var c Circuit
	for range 100 {
		c.Fail(0, settings, 0)
		c.Succeed(0)
	}
	must.Eq(t, Closed, c.State(0))
}

// TestRetriesAreAShareOfSuccesses fails when Take never refuses.
func TestRetriesAreAShareOfSuccesses(t *testing.T) {
	b := NewRetryBudget(0.125, 4)
	taken := 0
	for range 1000 {
		b.Succeed()
		for range 5 {
			if b.Take() {
				taken++
			}
		}
	}
	must.Eq(t, 4+125-1, taken, must.Sprint("the burst and an eighth, the first share being beyond the burst"))
}

func TestRampUsesOneMoreSlotInEachStep(t *testing.T) {
	s := StartSlow(time.Minute, 8*time.Second)
	now := time.Minute
	for want := 1; want <= 8; want++ {
		must.Eq(t, want, s.Limit(now, 8))
		next, more := s.NextStep(now, 8)
		must.Eq(t, want < 8, more)
		now = next
	}
	must.Eq(t, 8, SlowStart{}.Limit(0, 8))
}
