package pool

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// takeoverAfter is how long an owner's beat may stand still, seen through a
	// feed that works, before another instance takes the pool over.
	takeoverAfter = 800 * time.Millisecond
	// slowTakeoverAfter is the same while the store answers slowly: then the
	// beats come late, too.
	slowTakeoverAfter = 3 * time.Second
	// slowStore is the time of a read from which the store counts as slow; it
	// reads within 4 ms at its usual speed.
	slowStore = 60 * time.Millisecond
	// watchEvery is how often the beat is looked at.
	watchEvery = 100 * time.Millisecond
	// feedGap is the age of the copy from which nothing follows about the owner.
	feedGap = 1500 * time.Millisecond
	// turn is how much later each further instance tries, so that one of them
	// finds the pool taken instead of all writing at once; slowTurn is the same
	// while the store is slow.
	turn     = 60 * time.Millisecond
	slowTurn = 1200 * time.Millisecond
	// indirectDelay puts instances that reach the store through peers only behind
	// the others: these hear of a vacant pool within 0.3 s and take it in turns.
	indirectDelay = 700 * time.Millisecond
	// handoverTimeout bounds the writes of a planned handover.
	handoverTimeout = 800 * time.Millisecond
)

// Election keeps one pool owned: it watches the owner and becomes it when the
// owner is gone.
type Election struct {
	deps Deps
	pool string
	log  *zap.Logger
}

// NewElection returns the election of a pool.
func NewElection(deps Deps, pool string) *Election {
	return &Election{deps: deps, pool: pool, log: deps.Log.With(zap.String("pool", pool))}
}

// delay is this instance's turn among those that are known. Instances with more
// processor go first, as owning takes most of it, and those that the store turns
// away last.
func (e *Election) delay() time.Duration {
	mine := e.rank(e.deps.Name)
	before := 0
	for _, n := range e.deps.Replica.Nodes(e.deps.Name) {
		if n.Cores > e.deps.Cores || (n.Cores == e.deps.Cores && e.rank(n.Name) < mine) {
			before++
		}
	}
	each := turn
	if e.deps.Health.Latency() > slowStore {
		each = slowTurn
	}
	delay := time.Duration(before) * each
	if e.deps.Health.DirectDown() > 0 {
		delay += indirectDelay
	}
	return delay
}

func (e *Election) rank(name string) uint64 { return xxhash.Sum64String(name + "/" + e.pool) }

// Run watches and owns the pool by turns until ctx ends. When it ends as the
// owner, it hands the pool over.
func (e *Election) Run(ctx context.Context) {
	var seen replica.PoolView
	changedAt := e.deps.Now()
	for ctx.Err() == nil {
		_ = wait.For(ctx, watchEvery) // ends early only with ctx, which the loop checks
		now := e.deps.Now()
		if !e.deps.Replica.Ready() || e.deps.Replica.Age() > feedGap {
			changedAt = now
			continue
		}
		view := e.deps.Replica.Pool(e.pool)
		if view.BeatVersion != seen.BeatVersion || view.EpochVersion != seen.EpochVersion {
			seen, changedAt = view, now
		}
		vacant := view.Epoch.Owner == ""
		delay := e.delay()
		stale := now-changedAt > takeoverAfter+delay && e.confirmStale(ctx, &seen, now-changedAt)
		if view.Epoch.Owner == e.deps.Name && view.Epoch.Incarnation != e.deps.Incarnation {
			stale = true // a former life of this process
		}
		if (vacant && now-changedAt >= delay) || stale {
			e.tryOwn(ctx, view)
			changedAt = e.deps.Now()
		}
	}
}

// confirmStale reads the beat from the store itself. It reports false when the
// beat went on, or when the store is slow and the silence may be its own.
func (e *Election) confirmStale(ctx context.Context, seen *replica.PoolView, silence time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	asked := e.deps.Now()
	rows, _, err := e.deps.Store.Scan(ctx, replica.Table, e.pool, replica.BeatKey, replica.BeatKey+"\x00")
	took := e.deps.Now() - asked
	if err != nil {
		e.log.Info("owner's beat not confirmed as silent", zap.Error(err))
		return false
	}
	if len(rows) > 0 && rows[0].Version != seen.BeatVersion {
		return false // the copy is behind; it will show the beat
	}
	return took < slowStore || silence > slowTakeoverAfter
}

func (e *Election) epochKey() port.RowKey { return replica.PoolKey(e.pool, replica.EpochKey) }

func (e *Election) tryOwn(ctx context.Context, view replica.PoolView) {
	epoch := replica.Epoch{Number: view.Epoch.Number + 1, Owner: e.deps.Name, Incarnation: e.deps.Incarnation}
	version, err := e.claim(ctx, view.EpochVersion, epoch)
	if err != nil {
		e.log.Info("pool not taken", zap.Int64("epoch", epoch.Number), zap.Error(err))
		return
	}
	e.log.Info("ownership gained", zap.Int64("epoch", epoch.Number), zap.String("former", view.Epoch.Owner), zap.Int64("version", version))
	o := newOwner(e.deps, e.pool, epoch.Number, version)
	o.former.gone = view.Epoch.Owner == "" || view.Epoch.Owner == e.deps.Name
	if err := o.run(ctx); err != nil {
		e.log.Warn("takeover failed", zap.Error(err))
	}
	if ctx.Err() != nil || o.yielded {
		e.handOver(epoch, version)
	}
}

func (e *Election) claim(ctx context.Context, expect int64, epoch replica.Epoch) (int64, error) {
	value, err := work.Encode(epoch)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return e.deps.Store.Commit(ctx, port.RowTxn{
		Expect: map[port.RowKey]int64{e.epochKey(): expect},
		Puts:   map[port.RowKey][]byte{e.epochKey(): value},
	})
}

// handOver leaves the pool vacant, so that the next owner need not wait.
func (e *Election) handOver(epoch replica.Epoch, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	epoch.Owner, epoch.Incarnation = "", ""
	if _, err := e.claim(ctx, version, epoch); err != nil {
		e.log.Warn("pool not handed over; the next owner waits for the beat to stop", zap.Error(err))
		return
	}
	e.log.Info("pool handed over", zap.Int64("epoch", epoch.Number))
}
