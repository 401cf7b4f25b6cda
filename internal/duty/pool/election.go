package pool

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// heartbeatTimeout is how long an owner's heartbeat may be unchanged in an
	// up-to-date replica before another instance takes the pool over.
	heartbeatTimeout = 800 * time.Millisecond
	// slowHeartbeatTimeout replaces heartbeatTimeout while the store is slow, as
	// heartbeats are delayed too.
	slowHeartbeatTimeout = 3 * time.Second
	// slowReadThreshold is the duration of a read above which the store counts as
	// slow. A read normally takes at most 4 ms.
	slowReadThreshold = 60 * time.Millisecond
	// electionInterval is how often the owner's heartbeat is checked.
	electionInterval = 100 * time.Millisecond
	// maxReplicaAge is the age above which the replica is too old to show whether
	// the owner has stopped.
	maxReplicaAge = 1500 * time.Millisecond
	// claimStagger is the delay between the claims of successive instances, so that
	// later ones see the pool taken instead of all writing at once.
	// slowClaimStagger replaces it while the store is slow.
	claimStagger     = 60 * time.Millisecond
	slowClaimStagger = 1200 * time.Millisecond
	// indirectClaimDelay orders instances that reach the store only through peers
	// after all others. The others see a vacant pool within 0.3 s and claim it in
	// turn.
	indirectClaimDelay = 700 * time.Millisecond
	// handoverTimeout bounds the write of a planned handover.
	handoverTimeout = 800 * time.Millisecond
)

// Election ensures that a pool has an owner: it monitors the owner's heartbeat and
// takes the pool over when the owner has stopped.
type Election struct {
	deps  Deps
	pool  string
	log   *zap.Logger
	owner atomic.Pointer[Owner] // nil while this instance doesn't own the pool
}

// NewElection returns the election of a pool.
func NewElection(deps Deps, pool string) *Election {
	return &Election{deps: deps, pool: pool, log: deps.Log.With(zap.String("pool", pool))}
}

// claimDelay returns how long this instance waits before it claims a vacant pool.
// Instances with more cores go first, as ownership is CPU-intensive, and those
// without a direct route to the store last.
func (e *Election) claimDelay() time.Duration {
	ownRank := e.rank(e.deps.Name)
	earlierClaimants := 0
	for _, instance := range e.deps.Replica.Instances(e.deps.Name) {
		if instance.Cores > e.deps.Cores || (instance.Cores == e.deps.Cores && e.rank(instance.Name) < ownRank) {
			earlierClaimants++
		}
	}
	stagger := claimStagger
	if e.deps.StoreHealth.Latency() > slowReadThreshold {
		stagger = slowClaimStagger
	}
	delay := time.Duration(earlierClaimants) * stagger
	if e.deps.StoreHealth.DirectFailingFor() > 0 {
		delay += indirectClaimDelay
	}
	return delay
}

// rank orders instances with equally many cores. The order differs between pools,
// so that one instance doesn't claim all of them.
func (e *Election) rank(name string) uint64 { return xxhash.Sum64String(name + "/" + e.pool) }

// Run alternates between monitoring and owning the pool until ctx ends. An owner
// whose ctx ends, or that yields, hands the pool over.
func (e *Election) Run(ctx context.Context) {
	var seen replica.PoolView
	var heartbeat heartbeatTimes
	changedAt := e.deps.Now()
	for ctx.Err() == nil {
		_ = wait.For(ctx, electionInterval) // ends early only with ctx, which the loop checks
		now := e.deps.Now()
		age := e.deps.Replica.Age()
		if !e.deps.Replica.Ready() || e.deps.Replica.IsUnread(e.pool) || age > maxReplicaAge {
			changedAt = now
			continue
		}
		view := e.deps.Replica.Pool(e.pool)
		if view.HeartbeatVersion != seen.HeartbeatVersion || view.EpochVersion != seen.EpochVersion {
			seen, changedAt = view, now
			heartbeat.changed(now)
		}
		heartbeat.checkedAt = now - age
		if e.mayClaim(ctx, &seen, now-changedAt) {
			e.takeOver(ctx, view, heartbeat)
			changedAt = e.deps.Now()
		}
	}
}

// heartbeatTimes tells when the owner's last heartbeat, or its claim, was stored. The zero
// value knows of none.
type heartbeatTimes struct {
	after, by time.Duration
	checkedAt time.Duration // up to when the replica has shown no later one
}

// changed records that a new heartbeat is seen at now.
func (h *heartbeatTimes) changed(now time.Duration) { h.after, h.by = h.checkedAt, now }

// mayClaim reports whether this instance should take the pool over: it is vacant, its
// owner's heartbeat has stopped, or its owner is a previous incarnation of this
// instance. unchangedFor is the time since seen last changed.
func (e *Election) mayClaim(ctx context.Context, seen *replica.PoolView, unchangedFor time.Duration) bool {
	switch {
	case seen.Epoch.Owner == e.deps.Name && seen.Epoch.Incarnation != e.deps.Incarnation:
		return true
	case seen.Epoch.Owner == "":
		return unchangedFor >= e.claimDelay()
	case unchangedFor <= heartbeatTimeout:
		return false // claimDelay looks at every instance
	}
	return unchangedFor > heartbeatTimeout+e.claimDelay() && e.confirmStale(ctx, seen, unchangedFor)
}

// confirmStale reads the heartbeat from the store itself. It reports false if the
// read fails, if the heartbeat has advanced, or if the store is slow and
// slowHeartbeatTimeout hasn't passed.
func (e *Election) confirmStale(ctx context.Context, seen *replica.PoolView, unchangedFor time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	sentAt := e.deps.Now()
	rows, _, err := e.deps.Store.Scan(ctx, replica.Table, e.pool, replica.HeartbeatKey, replica.HeartbeatKey+"\x00")
	took := e.deps.Now() - sentAt
	if err != nil {
		e.log.Info("owner's heartbeat could not be read from the store", zap.Error(err))
		return false
	}
	if len(rows) > 0 && rows[0].Version != seen.HeartbeatVersion {
		return false // the replica lags; it will receive the heartbeat
	}
	return took < slowReadThreshold || unchangedFor > slowHeartbeatTimeout
}

func (e *Election) epochKey() port.RowKey { return replica.PoolKey(e.pool, replica.EpochKey) }

// takeOver claims the pool and runs it. heartbeat is the last one of its owner.
func (e *Election) takeOver(ctx context.Context, view replica.PoolView, heartbeat heartbeatTimes) {
	epoch := replica.Epoch{Number: view.Epoch.Number + 1, Owner: e.deps.Name, Incarnation: e.deps.Incarnation}
	version, err := e.writeEpoch(ctx, view.EpochVersion, epoch)
	if err != nil {
		e.log.Info("pool not taken", zap.Int64("epoch", epoch.Number), zap.Error(err))
		return
	}
	e.log.Info("ownership gained", zap.Int64("epoch", epoch.Number), zap.String("former", view.Epoch.Owner), zap.Int64("version", version))
	o := newOwner(e.deps, e.pool, epoch.Number, version)
	o.previous.silentAfter, o.previous.heardBy = heartbeat.after, heartbeat.by
	o.previous.stopped, o.previous.settled = e.hasStopped(&view), settled(&view)
	o.previous.state = view.Owner
	e.owner.Store(o)
	if err := o.run(ctx); err != nil {
		e.log.Warn("takeover failed", zap.Error(err))
	}
	e.owner.Store(nil)
	if ctx.Err() != nil || o.yielded {
		e.handOver(epoch, version)
	}
}

// hasStopped reports whether no owner up to the view's epoch can act any more. That
// the owner of this epoch was another run of this instance, or handed the pool over,
// says nothing of the owners before it: it may have ended before it had called the
// workers, or never known that its claim was performed.
func (e *Election) hasStopped(view *replica.PoolView) bool {
	lastStopped := view.Epoch.Owner == "" || view.Epoch.Owner == e.deps.Name
	return lastStopped && settled(view)
}

// settled reports whether the owners before the view's epoch have stopped.
func settled(view *replica.PoolView) bool { return view.SettledEpoch == view.Epoch.Number }

func (e *Election) writeEpoch(ctx context.Context, expectedVersion int64, epoch replica.Epoch) (int64, error) {
	value, err := work.Encode(epoch)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return e.deps.Store.Commit(ctx, port.RowTxn{
		ExpectedVersions: map[port.RowKey]int64{e.epochKey(): expectedVersion},
		Puts:             map[port.RowKey][]byte{e.epochKey(): value},
	})
}

// handOver marks the pool as vacant, so that the next owner need not wait for the
// heartbeat to time out.
func (e *Election) handOver(epoch replica.Epoch, version int64) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	epoch.Owner, epoch.Incarnation = "", ""
	if _, err := e.writeEpoch(ctx, version, epoch); err != nil {
		e.log.Warn("pool not handed over; the next owner waits for the heartbeat timeout", zap.Error(err))
		return
	}
	e.log.Info("pool handed over", zap.Int64("epoch", epoch.Number))
}
