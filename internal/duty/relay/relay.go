// Package relay reaches the store through a peer when the store turns this
// instance away, and settles commits whose answer was lost.
package relay

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

const (
	// hedgeAfter is how long the store may take before a peer is asked too. The
	// store answers within 12 ms at its usual speed.
	hedgeAfter = 350 * time.Millisecond
	// hedgeFactor times the present latency is as much patience as a slow store
	// gets, up to hedgeMost.
	hedgeFactor = 3
	hedgeMost   = 2 * time.Second
	// latencyWeight is the inverse weight of one call in the moving mean.
	latencyWeight = 3
	// silentAfter is how much longer than its patience a call waits before the
	// store counts as away; at its slowest it answers in 1.2 s.
	silentAfter = 1500 * time.Millisecond
	// peersAsked bounds the peers tried for one call.
	peersAsked = 3
	// headStart is how much earlier the direct way is asked than a peer after it
	// failed, so that it shows when it works again; it takes 12 ms at its usual
	// speed.
	headStart = 30 * time.Millisecond
	// partRetry is how long a failed part is passed over before it is tried again.
	partRetry = 700 * time.Millisecond
	// wayRetry is how long a peer that failed to reach the store is asked only
	// after the others. The partitions that make peers necessary last 2 to 12 s.
	wayRetry = 5 * time.Second
)

// Store is a RowStore that falls back to peers. It is safe for concurrent use.
type Store struct {
	direct port.RowStore
	peers  func() []port.RowStore
	// distrustedAt is when the direct way began to fail, 0 while it succeeds;
	// meanwhile a peer is asked at the same time.
	distrustedAt atomic.Int64
	// downSince is when calls began to fail on every way, 0 while they succeed.
	downSince atomic.Int64
	// latency is a moving mean of what reads and commits take, in nanoseconds.
	latency atomic.Int64
	parts   failures[string]
	ways    failures[port.RowStore]
	turn    atomic.Uint64
}

// New returns a store over direct. peers lists the ways through other
// instances at present.
func New(direct port.RowStore, peers func() []port.RowStore) *Store {
	return &Store{direct: direct, peers: peers}
}

// Now implements port.RowStore.
func (s *Store) Now() time.Duration { return s.direct.Now() }

// outage reports whether another way to the store may fare better.
func outage(err error) bool {
	switch fault.CodeOf(err) {
	case fault.Unavailable, fault.Overloaded, fault.Uncertain, fault.Timeout, fault.Internal:
		return true
	}
	return false
}

type answer[T any] struct {
	value T
	err   error
	way   int // its index among the ways asked
}

// call runs op on the direct way and, if that fails or takes longer than
// patience, through peers; the first answer of the store counts.
func call[T any](ctx context.Context, s *Store, scope scope, patience time.Duration, op func(context.Context, port.RowStore) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ways := []port.RowStore{s.direct}
	ways = append(ways, s.choose(s.peers(), int(s.turn.Add(1)), peersAsked)...)
	answers := make(chan answer[T], len(ways))
	launched, pending := 0, 0
	askedAt := make([]time.Time, len(ways)) // zero once answered
	launch := func() {
		k := launched
		launched++
		pending++
		askedAt[k] = time.Now()
		go func() {
			v, err := op(ctx, ways[k])
			answers <- answer[T]{v, err, k}
		}()
	}
	defer func() {
		for k := 1; k < launched; k++ {
			if !askedAt[k].IsZero() && time.Since(askedAt[k]) >= patience {
				s.ways.fail(ways[k]) // overtaken by another way
			}
		}
	}()
	launch()
	first := patience
	if s.DirectDown() > 0 {
		first = headStart
	}
	hedge := time.NewTimer(first)
	defer hedge.Stop()
	silent := time.NewTimer(patience + silentAfter)
	defer silent.Stop()
	var zero T
	var last error
	uncertain := false
	for {
		select {
		case a := <-answers:
			pending--
			askedAt[a.way] = time.Time{}
			s.judge(ways[a.way], a.err)
			if !outage(a.err) {
				s.up(scope)
				return a.value, a.err
			}
			uncertain = uncertain || !fault.NoEffect(a.err)
			last = a.err
			if launched < len(ways) {
				launch()
			} else if pending == 0 {
				s.down(scope)
				if uncertain && !fault.Is(last, fault.Uncertain) {
					last = fault.Wrap(fault.Uncertain, "an earlier try may have been carried out", last)
				}
				return zero, last
			}
		case <-hedge.C:
			if time.Since(askedAt[0]) >= patience {
				s.distrust(true)
			}
			if launched < len(ways) {
				launch()
				hedge.Reset(patience)
			}
		case <-silent.C:
			s.down(scope)
		case <-ctx.Done():
			return zero, fault.Wrap(fault.Uncertain, "the store did not answer in time", ctx.Err())
		}
	}
}

// scope is what a call's failure says something about: one part of a table, or
// with an empty name the store as a whole.
type scope string

// whole is the scope of calls that concern no single part.
const whole = scope("")

func (s *Store) down(what scope) {
	if what == whole {
		s.downSince.CompareAndSwap(0, time.Now().UnixNano())
		return
	}
	s.parts.fail(string(what))
}

func (s *Store) up(what scope) {
	s.downSince.Store(0)
	if what != whole {
		s.parts.clear(string(what))
	}
}

// PartDown reports whether a part failed lately while the store as a whole may
// serve.
func (s *Store) PartDown(part string) bool {
	_, down := s.parts.within(part, partRetry)
	return down
}

// Outage returns for how long calls have failed on every way, 0 where the last
// one was answered.
func (s *Store) Outage() time.Duration {
	return since(&s.downSince)
}

// judge remembers how a way fared.
func (s *Store) judge(way port.RowStore, err error) {
	failed := outage(err)
	switch {
	case way == s.direct:
		s.distrust(failed)
	case failed:
		s.ways.fail(way)
	default:
		s.ways.clear(way)
	}
}

func (s *Store) distrust(failed bool) {
	if !failed {
		s.distrustedAt.Store(0)
		return
	}
	s.distrustedAt.CompareAndSwap(0, time.Now().UnixNano())
}

// DirectDown returns for how long the direct way has failed, 0 where its last
// call was answered.
func (s *Store) DirectDown() time.Duration { return since(&s.distrustedAt) }

// since returns the time from a stored moment, at least 1 ns, or 0 where none
// is stored.
func since(moment *atomic.Int64) time.Duration {
	at := moment.Load()
	if at == 0 {
		return 0
	}
	return max(time.Since(time.Unix(0, at)), 1)
}

// Commit implements port.RowStore. A conflict with rows that hold just what
// was to be written means that an earlier sending was carried out.
func (s *Store) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	version, err := timed(s, ctx, partOf(txn), func(ctx context.Context, way port.RowStore) (int64, error) {
		return way.Commit(ctx, txn)
	})
	var conflict *port.RowConflict
	if errors.As(err, &conflict) {
		if version, ok := applied(txn, conflict); ok {
			return version, nil
		}
	}
	return version, err
}

func applied(txn port.RowTxn, conflict *port.RowConflict) (int64, bool) {
	version := int64(0)
	for key, value := range txn.Puts {
		if _, expected := txn.Expect[key]; !expected {
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

// partOf names the part that a transaction writes to.
func partOf(txn port.RowTxn) scope {
	for key := range txn.Puts {
		return scope(key.Part)
	}
	for _, key := range txn.Removes {
		return scope(key.Part)
	}
	return whole
}

// timed measures a read or commit that was answered.
func timed[T any](s *Store, ctx context.Context, what scope, op func(context.Context, port.RowStore) (T, error)) (T, error) {
	began := time.Now()
	v, err := call(ctx, s, what, s.Patience(), op)
	if !outage(err) {
		old := s.latency.Load()
		s.latency.Store(old + int64(time.Since(began)-time.Duration(old))/latencyWeight)
	}
	return v, err
}

// Latency returns what reads and commits take at present.
func (s *Store) Latency() time.Duration { return time.Duration(s.latency.Load()) }

// Patience is when a call is sent through a peer, too. A slow store is not made
// slower by it.
func (s *Store) Patience() time.Duration {
	return min(max(hedgeAfter, hedgeFactor*s.Latency()), hedgeMost)
}

type rows struct {
	rows    []port.VersionedRow
	version int64
}

// Scan implements port.RowStore.
func (s *Store) Scan(ctx context.Context, table, part, from, to string) ([]port.VersionedRow, int64, error) {
	r, err := timed(s, ctx, scope(part), func(ctx context.Context, way port.RowStore) (rows, error) {
		list, version, err := way.Scan(ctx, table, part, from, to)
		return rows{list, version}, err
	})
	return r.rows, r.version, err
}

// Parts implements port.RowStore.
func (s *Store) Parts(ctx context.Context, table string) ([]string, error) {
	return timed(s, ctx, whole, func(ctx context.Context, way port.RowStore) ([]string, error) {
		return way.Parts(ctx, table)
	})
}

// Feed implements port.RowStore.
func (s *Store) Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]port.VersionedRow, int64, error) {
	r, err := call(ctx, s, whole, wait+s.Patience(), func(ctx context.Context, way port.RowStore) (rows, error) {
		list, version, err := way.Feed(ctx, table, after, wait)
		return rows{list, version}, err
	})
	return r.rows, r.version, err
}
