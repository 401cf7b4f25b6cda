package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// route is a route to the store that never answers, fails after failAfter, or works
// if neither is set.
type route struct {
	port.RowStore
	hangs     atomic.Bool
	failAfter time.Duration
}

func hanging() *route {
	r := &route{}
	r.hangs.Store(true)
	return r
}

func failing() *route { return &route{failAfter: 800 * time.Millisecond} }

func (r *route) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	switch {
	case r.hangs.Load():
		<-ctx.Done()
		return 0, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	case r.failAfter > 0:
		select {
		case <-time.After(r.failAfter):
		case <-ctx.Done():
		}
		return 0, fault.New(fault.Unavailable, "can't connect")
	}
	return r.RowStore.Commit(ctx, txn)
}

func commitDuration(t *testing.T, s *Store) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	began := time.Now()
	_, err := s.Commit(ctx, port.RowTxn{Puts: map[port.RowKey][]byte{{Table: "t", Partition: "p", Key: "k"}: {1}}})
	must.NoError(t, err)
	return time.Since(began)
}

// Two of three peers can't reach the store either. Whether they fail or hang, they
// delay only the first calls.
func TestPeersCutOffFromStoreAreTriedLast(t *testing.T) {
	for name, newPeer := range map[string]func() *route{"hang": hanging, "fail": failing} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := fake.NewRows()
				peers := []port.RowStore{newPeer(), newPeer(), &route{RowStore: rows}}
				s := New(hanging(), func() []port.RowStore { return peers }, monotonicClock(), zap.NewNop())
				for range 4 {
					commitDuration(t, s)
				}
				for range 12 {
					must.Less(t, 50*time.Millisecond, commitDuration(t, s))
				}
			})
		})
	}
}

func TestDirectRouteRecoversAfterAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fake.NewRows()
		direct := hanging()
		direct.RowStore = rows
		s := New(direct, func() []port.RowStore { return []port.RowStore{&route{RowStore: rows}} }, monotonicClock(), zap.NewNop())
		must.EqOp(t, 0, s.DirectFailingFor())
		commitDuration(t, s)
		time.Sleep(time.Second)
		must.GreaterEq(t, time.Second, s.DirectFailingFor())
		direct.hangs.Store(false)
		commitDuration(t, s)
		must.EqOp(t, 0, s.DirectFailingFor())
	})
}

func monotonicClock() func() time.Duration {
	startedAt := time.Now()
	return func() time.Duration { return time.Since(startedAt) }
}

// Guards against outages whose length is measured by the wall clock: after it has jumped
// forward, an owner would take a failure of moments for an outage that affects everyone, and
// start tasks without telling the next owner.
func TestLengthOfAnOutageFollowsTheGivenClock(t *testing.T) {
	var now time.Duration
	rows := fake.NewRows()
	rows.SetFaults(fake.Faults{Down: true})
	s := New(rows, func() []port.RowStore { return nil }, func() time.Duration { return now }, zap.NewNop())
	_, err := s.Partitions(t.Context(), "t")
	must.Error(t, err)
	now = time.Second
	must.Between(t, time.Second-2, s.UnavailableFor(), time.Second)
	must.Between(t, time.Second-2, s.DirectFailingFor(), time.Second)
}
