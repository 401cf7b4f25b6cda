package pool

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Events arrive every millisecond and a pass takes 40 ms.
func TestLongPassesLeaveMostOfTheProcessor(t *testing.T) {
	const pass = 40 * time.Millisecond
	var p planPacer
	planned := time.Duration(0)
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if p.pause(now) == 0 {
			p.passed(now, now+pass)
			now += pass
			planned += pass
		}
	}
	must.Less(t, 3*time.Second, planned)
}

func TestPauseIsBounded(t *testing.T) {
	var p planPacer
	p.passed(0, time.Second)
	must.EqOp(t, maxPlanningPause, p.pause(time.Second))
	must.EqOp(t, 0, p.pause(time.Second+maxPlanningPause))
}

func TestShortPassesAreNotDelayedNoticeably(t *testing.T) {
	var p planPacer
	p.passed(0, 500*time.Microsecond)
	must.Less(t, 2*time.Millisecond, p.pause(500*time.Microsecond))
}
