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
	"github.com/lentilwinch/lentilwinch/internal/work"
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
	if err := receive(ctx, r.parts, r.pause); err != nil {
		return nil, 0, err
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

// sharer is a peer that shares a reading after a delay.
type sharer struct {
	port.RowStore
	reading port.ConfigReading
	delay   time.Duration
	err     error
}

func (r *sharer) SharedConfig(ctx context.Context, _ *work.Config, _ int64, _ time.Duration) (port.ConfigReading, error) {
	select {
	case <-time.After(r.delay):
		return r.reading, r.err
	case <-ctx.Done():
		return port.ConfigReading{}, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
}

// Guards against a transfer of the configuration that is thrown away because a peer doesn't
// have the new one either, and against one that is awaited although a peer has it.
func TestConfigurationArrivingIsGivenUpOnlyForNews(t *testing.T) {
	news := port.ConfigReading{Config: &work.Config{Version: 2}, Shared: true}
	noNews := port.ConfigReading{Shared: true, Age: time.Second}
	const minute = time.Minute
	for name, c := range map[string]struct {
		parts  int           // of the direct response; 0 if the store rejects
		pause  time.Duration // before each part
		stalls bool          // after the parts
		peers  []port.RowStore
		shared bool
		within time.Duration
	}{
		"peer has news":                         {40, 200 * time.Millisecond, false, []port.RowStore{&sharer{reading: news}}, true, time.Second},
		"peer has no news":                      {20, 200 * time.Millisecond, false, []port.RowStore{&sharer{reading: noNews}}, false, 5 * time.Second},
		"one of the peers has news":             {40, 200 * time.Millisecond, false, []port.RowStore{&sharer{reading: noNews}, &sharer{reading: news}, &sharer{reading: noNews}}, true, 2 * time.Second},
		"peer doesn't read from the store":      {20, 200 * time.Millisecond, false, []port.RowStore{&sharer{err: fault.New(fault.Unavailable, "no offer")}}, false, 5 * time.Second},
		"no news, and nothing arrives":          {2, minute, false, []port.RowStore{&sharer{reading: noNews}}, true, time.Second},
		"no news, and nothing more arrives":     {2, 300 * time.Millisecond, true, []port.RowStore{&sharer{reading: noNews}}, true, 3 * time.Second},
		"store rejects, peer has no news":       {0, 0, false, []port.RowStore{&sharer{reading: noNews}}, true, time.Second},
		"store rejects, the first peer is late": {0, 0, false, []port.RowStore{&sharer{reading: news, delay: minute}, &sharer{reading: noNews}}, true, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rows := fake.NewRows()
				s := New(rows, func() []port.RowStore { return c.peers }, monotonicClock(), zap.NewNop())
				ctx, _, cancel := transfer.WithStallTimeout(t.Context(), 2*time.Second)
				defer cancel()
				startedAt := time.Now()
				got, err := s.ReadConfig(ctx, nil, 0, 0, func(ctx context.Context, _ port.RowStore) (port.ConfigReading, error) {
					if c.parts == 0 {
						return port.ConfigReading{}, fault.New(fault.Unavailable, "rejected")
					}
					err := receive(ctx, c.parts, c.pause)
					if c.stalls {
						<-ctx.Done()
						err = fault.Wrap(fault.Uncertain, "response is incomplete", ctx.Err())
					}
					return port.ConfigReading{}, err
				})
				must.NoError(t, err)
				must.EqOp(t, c.shared, got.Shared)
				must.LessEq(t, c.within, time.Since(startedAt))
			})
		})
	}
}

// Guards against an outage that ends, as it seems, whenever a peer answers from its memory.
func TestSharedConfigurationDoesNotEndAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := fake.NewRows()
		rows.SetFaults(fake.Faults{Down: true})
		s := New(rows, func() []port.RowStore { return []port.RowStore{&sharer{reading: port.ConfigReading{Shared: true}}} }, monotonicClock(), zap.NewNop())
		s.markUnavailable(wholeStore)
		time.Sleep(time.Second)
		_, err := s.ReadConfig(t.Context(), nil, 0, 0, func(context.Context, port.RowStore) (port.ConfigReading, error) {
			return port.ConfigReading{}, fault.New(fault.Unavailable, "down")
		})
		must.NoError(t, err)
		must.Positive(t, s.UnavailableFor())
	})
}

// Guards against callers that are rejected because the peers that were asked have no
// configuration to share, although the store answers through relays.
func TestPeersWithoutConfigurationDoNotTellOfAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		noOffer := &sharer{err: fault.New(fault.Unavailable, "no offer"), delay: 2 * unavailableAfter}
		s := New(fake.NewRows(), func() []port.RowStore { return []port.RowStore{noOffer} }, monotonicClock(), zap.NewNop())
		_, err := s.ReadConfig(t.Context(), nil, 0, 0, func(context.Context, port.RowStore) (port.ConfigReading, error) {
			return port.ConfigReading{}, fault.New(fault.Unavailable, "rejected")
		})
		must.Error(t, err)
		must.EqOp(t, 0, s.UnavailableFor())
	})
}

// receive reports a response of some bytes to the meter of ctx, with a pause before each.
func receive(ctx context.Context, bytes int, pause time.Duration) error {
	body := transfer.Reader(ctx, strings.NewReader(strings.Repeat("x", bytes)), int64(bytes))
	for range bytes {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return fault.Wrap(fault.Uncertain, "response is incomplete", ctx.Err())
		}
		_, _ = body.Read(make([]byte, 1)) // doesn't fail
	}
	return nil
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
