package pool

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

const testMaxLease = 10 * time.Second

// restartedClock returns the clock of a worker that restarted at 95 s and answers
// for the first time at 100 s.
func restartedClock(unanswered *unansweredOrders) leaseClock {
	c := leaseClock{}
	c.update(90*time.Second, port.WorkerClock{Now: time.Hour})
	c.extend(90*time.Second, leaseDuration)
	c.restart(100*time.Second, testMaxLease, port.WorkerClock{Now: 5 * time.Second}, unanswered)
	return c
}

// The worker restarted, and an order sent with the clock of the previous
// incarnation is carried out by the new one up to 12 s later. The task then has a
// lease of maxLease from that time (seed 15 of the fault tests, beside load).
func TestLateOrderForPreviousIncarnationMayExtendLease(t *testing.T) {
	for name, lost := range map[string]bool{"answer lost": true, "still waiting": false} {
		t.Run(name, func(t *testing.T) {
			var u unansweredOrders
			id := u.sent(99 * time.Second)
			if lost {
				u.done(id, fault.New(fault.Uncertain, "no answer"))
			}
			c := restartedClock(&u)
			must.GreaterEq(t, 99*time.Second+maxOrderDelay+testMaxLease, c.localExpiry)
		})
	}
}

func TestAnsweredOrdersDontExtendLeaseAfterRestart(t *testing.T) {
	var u unansweredOrders
	u.done(u.sent(99*time.Second), nil)
	u.done(u.sent(99*time.Second), fault.New(fault.Unavailable, "can't connect"))
	u.done(u.sent(90*time.Second), fault.New(fault.Uncertain, "no answer")) // the previous incarnation had it
	c := restartedClock(&u)
	must.Less(t, 112*time.Second, c.localExpiry)
	must.GreaterEq(t, 100*time.Second+testMaxLease, c.localExpiry)
}
