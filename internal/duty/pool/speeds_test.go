package pool

import (
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/speed"
)

type spreadObserver struct {
	NoObserver
	spread float64
}

func (s *spreadObserver) ReportSpeedSpread(_ string, spread float64) { s.spread = spread }

// Guards against a gauge that doesn't tell what the planner has learned.
func TestOwnerReportsSpreadOfSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _ := ownerOfOneWorker()
		observer := &spreadObserver{}
		o.deps.Observer = observer
		o.reportMetrics()
		must.EqOp(t, planner.New(planner.Settings{}, 1).SpeedSpread(), observer.spread)
		must.Greater(t, 0, observer.spread)
	})
}

// Guards against the speed of a previous incarnation that is stored for the one that has
// just answered, before the owner's loop has applied the restart.
func TestSpeedIsntStoredForAnIncarnationNotYetApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOneWorker()
		s.incarnationID = 7
		must.Eq(t, []speed.Identity{{ID: s.target.ID, Incarnation: 7}}, o.speedIdentities())
		s.incarnationID, s.incarnation = 8, 1
		must.Len(t, 0, o.speedIdentities())
		s.appliedIncarnation = 1
		must.Eq(t, []speed.Identity{{ID: s.target.ID, Incarnation: 8}}, o.speedIdentities())
	})
}
