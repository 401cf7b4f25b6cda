package pool

import (
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/planner"
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
