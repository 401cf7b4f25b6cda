package pool

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/speed"
	"github.com/lentilwinch/lentilwinch/internal/work"
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

type commitCounter struct {
	port.RowStore
	n int
}

func (c *commitCounter) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	c.n++
	return c.RowStore.Commit(ctx, txn)
}

// Guards against a new owner that replaces the stored speeds of workers that haven't
// answered it yet.
func TestNewOwnerKeepsStoredSpeedsAtFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOneWorker()
		commits := &commitCounter{RowStore: fake.NewRows()}
		o.deps.Store = commits
		s.incarnationID = 7
		learned := speed.New()
		for k := range 8 {
			learned.Observe(time.Second, speed.Observation{Run: speed.Run{Task: work.TaskID{Job: fmt.Sprint(k)}}, Workers: []string{"w"}, Factor: 3})
		}
		learned.Update(time.Second)
		o.speeds.restorer = speed.NewRestorer(learned.Store([]speed.Identity{{ID: "w", Incarnation: 7}}))
		o.restoreSpeed(s)
		written := func() int {
			o.heartbeatAt.Store(int64(o.now()))
			o.storeSpeeds(t.Context(), o.now())
			synctest.Wait()
			return commits.n
		}
		must.Zero(t, written())
		time.Sleep(speedStoreInterval)
		must.EqOp(t, 1, written())
	})
}
