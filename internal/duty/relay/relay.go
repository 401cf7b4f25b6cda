// Package relay calls the store through a peer when the direct route fails or is
// slow or the store rejects this instance, and resolves commits whose answer was
// lost.
package relay

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// minHedgeDelay is how long the direct route may take before a peer is called
	// too. The store normally answers within 12 ms.
	minHedgeDelay = 350 * time.Millisecond
	// hedgeLatencyFactor times the mean latency is the hedge delay of a slow store,
	// up to maxHedgeDelay.
	hedgeLatencyFactor = 3
	maxHedgeDelay      = 2 * time.Second
	// latencySmoothing is the inverse weight of one call in the moving mean.
	latencySmoothing = 3
	// unavailableAfter is how long beyond the hedge delay a call waits before the
	// store counts as unavailable. At its slowest the store answers in 1.2 s.
	unavailableAfter = 1500 * time.Millisecond
	// maxPeersPerCall bounds the peers tried for one call.
	maxPeersPerCall = 3
	// directHeadStart is how much earlier than a peer the direct route is called
	// while it fails, so that its recovery is noticed. The direct route normally
	// answers within 12 ms.
	directHeadStart = 30 * time.Millisecond
	// partitionRetryDelay is how long a failed partition is avoided.
	partitionRetryDelay = 700 * time.Millisecond
	// peerRetryDelay is how long a peer that failed to reach the store is tried only
	// after the others. The network partitions that make peers necessary last 2 to
	// 12 s.
	peerRetryDelay = 5 * time.Second
)

// Store is a RowStore that falls back to routes through peers. It is safe for
// concurrent use.
type Store struct {
	direct port.RowStore
	peers  func() []port.RowStore
	now    func() time.Duration // a monotonic clock
	log    *zap.Logger
	// directFailingSince is when the direct route began to fail or to take longer than
	// the hedge delay, 0 if it works. While it is set, a peer is called soon after the
	// direct route. Like unavailableSince, it is in nanoseconds by now.
	directFailingSince atomic.Int64
	// unavailableSince is when calls with the scope wholeStore began to fail on all
	// routes or to stay without an answer, 0 if the store answers.
	unavailableSince atomic.Int64
	// latency is the moving mean of the duration of reads and commits, in
	// nanoseconds.
	latency           atomic.Int64
	partitionFailures failures[string]
	peerFailures      failures[port.RowStore]
	nextPeer          atomic.Uint64
}

// New returns a store that calls direct first. peers returns the current routes
// through other instances. now is a monotonic clock.
func New(direct port.RowStore, peers func() []port.RowStore, now func() time.Duration, log *zap.Logger) *Store {
	return &Store{direct: direct, peers: peers, now: now, log: log}
}

// Now implements port.RowStore.
func (s *Store) Now() (time.Duration, bool) { return s.direct.Now() }

// Limits implements port.RowStore.
func (s *Store) Limits() port.RowLimits { return s.direct.Limits() }

// retryable reports whether the call may succeed on another route.
func retryable(err error) bool {
	switch fault.CodeOf(err) {
	case fault.Unavailable, fault.Overloaded, fault.Uncertain, fault.Timeout, fault.Internal:
		return true
	}
	return false
}

type answer[T any] struct {
	value T
	err   error
	route int // its index among the routes
}

// operation identifies a call in the log and by its scope.
type operation struct {
	name  string // of the method
	table string
	scope scope
}

// hedge is a call that may be sent on several routes.
type hedge[T any] struct {
	operation
	// delay is how long a route may take before the next one is called, too.
	delay time.Duration
	run   func(context.Context, port.RowStore) (T, error)
	// peersHaveAnswers is set if peers answer without reading from the store. They are then
	// called even if the direct route's response is arriving, and neither their answers nor
	// their failures tell whether the store is available.
	peersHaveAnswers bool
	// isNews reports whether a peer's answer is worth more than a response of the direct
	// route that is arriving. It is nil if any answer is.
	isNews func(T) bool
}

// hedgedCall runs a call on the direct route and, if that fails or takes longer than the
// hedge delay, through peers. While the direct route is failing, it waits for it only
// for directHeadStart. While a response is arriving it calls no further route, since the
// same response on another one would take longer, and its bytes slow down both. It returns
// the first answer of the store. Without one it fails with the last route's error, or with
// fault.Uncertain if any attempt may have taken effect or ctx has ended.
func hedgedCall[T any](ctx context.Context, s *Store, call hedge[T]) (result T, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	trace := newTrace()
	defer func() { s.logSlow(call.operation, trace, call.delay, err) }()
	routes := []port.RowStore{s.direct}
	routes = append(routes, s.choosePeers(s.peers(), int(s.nextPeer.Add(1)), maxPeersPerCall)...)
	answers := make(chan answer[T], len(routes))
	pending := 0
	launchNext := func() {
		k := len(trace.attempts)
		pending++
		ctx := trace.attempt(ctx, s.routeName(routes[k]))
		go func() {
			v, err := call.run(ctx, routes[k])
			answers <- answer[T]{v, err, k}
		}()
	}
	defer func() { s.recordSlowPeers(routes, trace, call.delay) }()
	launchNext()
	firstDelay := call.delay
	if s.DirectFailingFor() > 0 {
		firstDelay = directHeadStart
	}
	next := time.NewTimer(firstDelay)
	defer next.Stop()
	unavailable := time.NewTimer(call.delay + unavailableAfter)
	defer unavailable.Stop()
	var fallback *T // an answer without news, while the direct route's response is arriving
	var lastErr error
	uncertain := false
	for {
		select {
		case a := <-answers:
			pending--
			trace.ended(a.route, a.err)
			s.recordResult(routes[a.route], a.err)
			if !retryable(a.err) {
				if a.route == 0 || !call.peersHaveAnswers {
					s.markAvailable(call.scope)
				}
				if a.err == nil && a.route > 0 && call.isNews != nil && !call.isNews(a.value) && trace.attempts[0].isReceiving(s.HedgeDelay()) {
					fallback = &a.value
					continue
				}
				return a.value, a.err
			}
			if fallback != nil {
				if a.route == 0 {
					return *fallback, nil
				}
				continue
			}
			uncertain = uncertain || !fault.NoEffect(a.err)
			lastErr = a.err
			if len(trace.attempts) < len(routes) {
				launchNext()
			} else if pending == 0 {
				if !call.peersHaveAnswers {
					s.markUnavailable(call.scope)
				}
				if uncertain && !fault.Is(lastErr, fault.Uncertain) {
					lastErr = fault.Wrap(fault.Uncertain, "an earlier try may have been carried out", lastErr)
				}
				return result, lastErr
			}
		case <-next.C:
			if fallback != nil && !trace.attempts[0].isReceiving(s.HedgeDelay()) {
				return *fallback, nil
			}
			if trace.isReceiving(s.HedgeDelay()) && !call.peersHaveAnswers {
				next.Reset(s.HedgeDelay())
				continue
			}
			if direct := trace.attempts[0]; time.Since(direct.calledAt) >= call.delay && !direct.isReceiving(s.HedgeDelay()) {
				s.setDirectFailing(true)
			}
			if len(trace.attempts) < len(routes) {
				launchNext()
				next.Reset(call.delay)
			}
		case <-unavailable.C:
			if trace.isReceiving(s.HedgeDelay()) {
				unavailable.Reset(unavailableAfter)
				continue
			}
			if !call.peersHaveAnswers {
				s.markUnavailable(call.scope)
			}
		case <-ctx.Done():
			if fallback != nil {
				return *fallback, nil
			}
			return result, fault.Wrap(fault.Uncertain, "the store did not answer in time", context.Cause(ctx))
		}
	}
}

// recordSlowPeers records the peers that were called at least hedgeDelay ago and have sent
// nothing, as another route was faster.
func (s *Store) recordSlowPeers(routes []port.RowStore, t *trace, hedgeDelay time.Duration) {
	for k, a := range t.attempts {
		if k > 0 && !a.hasEnded && time.Since(a.calledAt) >= hedgeDelay && !a.isReceiving(s.HedgeDelay()) {
			s.peerFailures.record(routes[k])
		}
	}
}

// scope names the part of the store that the failure of a call applies to: one
// partition of a table or, if it is empty, the whole store.
type scope string

// wholeStore is the scope of calls that aren't limited to one partition.
const wholeStore = scope("")

func (s *Store) markUnavailable(scope scope) {
	if scope == wholeStore {
		s.unavailableSince.CompareAndSwap(0, int64(max(s.now(), 1)))
		return
	}
	s.partitionFailures.record(string(scope))
}

func (s *Store) markAvailable(scope scope) {
	s.unavailableSince.Store(0)
	if scope != wholeStore {
		s.partitionFailures.clear(string(scope))
	}
}

// PartitionDown reports whether a call for a partition recently failed on all routes
// or stayed without an answer, even if the rest of the store works.
func (s *Store) PartitionDown(partition string) bool {
	_, down := s.partitionFailures.failedWithin(partition, partitionRetryDelay)
	return down
}

// UnavailableFor returns how long calls that aren't limited to one partition have
// failed on all routes or stayed without an answer, 0 once any call is answered.
func (s *Store) UnavailableFor() time.Duration {
	return s.elapsedSince(&s.unavailableSince)
}

// recordResult records whether a route worked.
func (s *Store) recordResult(route port.RowStore, err error) {
	failed := retryable(err)
	switch {
	case route == s.direct:
		s.setDirectFailing(failed)
	case failed:
		s.peerFailures.record(route)
	default:
		s.peerFailures.clear(route)
	}
}

func (s *Store) setDirectFailing(failing bool) {
	if !failing {
		s.directFailingSince.Store(0)
		return
	}
	s.directFailingSince.CompareAndSwap(0, int64(max(s.now(), 1)))
}

// DirectFailingFor returns how long the direct route has failed or taken longer than
// the hedge delay, 0 if its last call was answered.
func (s *Store) DirectFailingFor() time.Duration { return s.elapsedSince(&s.directFailingSince) }

// elapsedSince returns the time since start, which is in nanoseconds by now. It returns 0
// if start isn't set, and at least 1 ns otherwise.
func (s *Store) elapsedSince(start *atomic.Int64) time.Duration {
	at := start.Load()
	if at == 0 {
		return 0
	}
	return max(s.now()-time.Duration(at), 1)
}

// Commit implements port.RowStore. A conflict with rows that already hold the
// values to be written means that an earlier attempt was applied.
func (s *Store) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	version, err := timed(s, ctx, operation{"commit", tableOf(txn), partitionOf(txn)}, func(ctx context.Context, route port.RowStore) (int64, error) {
		return route.Commit(ctx, txn)
	})
	var conflict *port.RowConflictError
	if errors.As(err, &conflict) {
		if version, ok := alreadyApplied(txn, conflict); ok {
			return version, nil
		}
	}
	return version, err
}

func alreadyApplied(txn port.RowTxn, conflict *port.RowConflictError) (int64, bool) {
	version := int64(0)
	for key, value := range txn.Puts {
		if _, expected := txn.ExpectedVersions[key]; !expected {
			continue
		}
		row, ok := conflict.Row(key)
		if !ok || row.Deleted || !bytes.Equal(row.Value, value) {
			return 0, false
		}
		version = row.Version
	}
	return version, version > 0
}

// partitionOf returns the partition that a transaction writes to, wholeStore if it
// writes nothing.
func partitionOf(txn port.RowTxn) scope {
	for key := range txn.Puts {
		return scope(key.Partition)
	}
	for _, key := range txn.Deletes {
		return scope(key.Partition)
	}
	return wholeStore
}

// tableOf returns the table of one of a transaction's rows, empty if it writes nothing.
func tableOf(txn port.RowTxn) string {
	for key := range txn.Puts {
		return key.Table
	}
	for _, key := range txn.Deletes {
		return key.Table
	}
	return ""
}

// timed runs a read or commit and records its latency if it was answered.
func timed[T any](s *Store, ctx context.Context, call operation, op func(context.Context, port.RowStore) (T, error)) (T, error) {
	began := time.Now()
	v, err := hedgedCall(ctx, s, hedge[T]{operation: call, delay: s.HedgeDelay(), run: op})
	if !retryable(err) {
		old := s.latency.Load()
		s.latency.Store(old + int64(time.Since(began)-time.Duration(old))/latencySmoothing)
	}
	return v, err
}

// Latency returns the moving mean of the duration of reads and commits, 0 before
// the first one.
func (s *Store) Latency() time.Duration { return time.Duration(s.latency.Load()) }

// HedgeDelay returns how long a call may take before it is also sent through a
// peer. It grows with the latency from minHedgeDelay to maxHedgeDelay, to put no
// extra load on a slow store.
func (s *Store) HedgeDelay() time.Duration {
	return min(max(minHedgeDelay, hedgeLatencyFactor*s.Latency()), maxHedgeDelay)
}

type rowsResult struct {
	rows    []port.VersionedRow
	version int64
}

// Scan implements port.RowStore.
func (s *Store) Scan(ctx context.Context, table, partition, from, to string) ([]port.VersionedRow, int64, error) {
	r, err := timed(s, ctx, operation{"scan", table, scope(partition)}, func(ctx context.Context, route port.RowStore) (rowsResult, error) {
		list, version, err := route.Scan(ctx, table, partition, from, to)
		return rowsResult{list, version}, err
	})
	return r.rows, r.version, err
}

// Partitions implements port.RowStore.
func (s *Store) Partitions(ctx context.Context, table string) ([]string, error) {
	return timed(s, ctx, operation{"partitions", table, wholeStore}, func(ctx context.Context, route port.RowStore) ([]string, error) {
		return route.Partitions(ctx, table)
	})
}

// Watch implements port.RowStore.
func (s *Store) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]port.VersionedRow, int64, error) {
	r, err := hedgedCall(ctx, s, hedge[rowsResult]{
		operation: operation{"watch", table, wholeStore}, delay: wait + s.HedgeDelay(),
		run: func(ctx context.Context, route port.RowStore) (rowsResult, error) {
			list, version, err := route.Watch(ctx, table, after, wait)
			return rowsResult{list, version}, err
		},
	})
	return r.rows, r.version, err
}

// ReadConfig reads the operator's configuration from the store with read or, if that fails
// or takes longer than the hedge delay, from a peer that shares it. inForce, after and wait
// are those of port.ConfigSource.WatchConfig.
func (s *Store) ReadConfig(ctx context.Context, inForce *work.Config, after int64, wait time.Duration, read func(context.Context, port.RowStore) (port.ConfigReading, error)) (port.ConfigReading, error) {
	return hedgedCall(ctx, s, hedge[port.ConfigReading]{
		operation: operation{"configuration", "", wholeStore}, delay: wait + s.HedgeDelay(),
		run: func(ctx context.Context, route port.RowStore) (port.ConfigReading, error) {
			if sharer, ok := route.(port.ConfigSharer); ok {
				return sharer.SharedConfig(ctx, inForce, after, wait)
			}
			return read(ctx, route)
		},
		peersHaveAnswers: true,
		isNews:           func(r port.ConfigReading) bool { return r.Config != nil },
	})
}
