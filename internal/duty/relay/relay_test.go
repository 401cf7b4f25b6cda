package relay

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/transfer"
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

// trickling is a route whose response arrives in parts, one every pause.
type trickling struct {
	port.RowStore
	parts int
	pause time.Duration
	calls atomic.Int64
}

func (r *trickling) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]port.VersionedRow, int64, error) {
	r.calls.Add(1)
	body := transfer.Reader(ctx, strings.NewReader(strings.Repeat("x", r.parts)), int64(r.parts))
	for range r.parts {
		select {
		case <-time.After(r.pause):
		case <-ctx.Done():
			return nil, 0, fault.Wrap(fault.Uncertain, "response is incomplete", ctx.Err())
		}
		_, _ = body.Read(make([]byte, 1)) // doesn't fail
	}
	return r.RowStore.Watch(ctx, table, after, wait)
}

// Guards against further attempts for a response that is arriving, which fill the links that
// it arrives on, and against timeouts that throw away what has arrived.
func TestResponseThatArrivesIsNeitherRepeatedNorCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fake.NewRows()
		direct, peer := &trickling{rows, 40, 200 * time.Millisecond, atomic.Int64{}}, &trickling{rows, 40, 200 * time.Millisecond, atomic.Int64{}}
		s := New(direct, func() []port.RowStore { return []port.RowStore{peer} }, monotonicClock(), zap.NewNop())
		ctx, _, cancel := transfer.WithStallTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, _, err := s.Watch(ctx, "t", 0, 0)
		must.NoError(t, err)
		must.EqOp(t, 0, peer.calls.Load())
		must.EqOp(t, 0, s.DirectFailingFor())
		must.EqOp(t, 0, s.UnavailableFor())
	})
}

// A peer is called once the response stops arriving.
func TestResponseThatStopsArrivingIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fake.NewRows()
		direct := &trickling{rows, 2, time.Minute, atomic.Int64{}}
		s := New(direct, func() []port.RowStore { return []port.RowStore{&route{RowStore: rows}} }, monotonicClock(), zap.NewNop())
		startedAt := time.Now()
		_, _, err := s.Watch(t.Context(), "t", 0, 0)
		must.NoError(t, err)
		must.Less(t, time.Second, time.Since(startedAt))
		must.Positive(t, s.DirectFailingFor())
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
