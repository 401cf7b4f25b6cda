package pool

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/speed"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// speedStoreInterval is the least time between two writes of the learned speeds. All
// instances read each of them. An owner that takes over learns what the last interval
// brought anew.
const speedStoreInterval = 5 * time.Second

// speedStore keeps the learned speeds in the store for the next owner. Without them it
// takes all workers for equally fast until it has seen a few runs on each.
type speedStore struct {
	restorer *speed.Restorer
	stored   speed.Stored // as last written
	nextAt   time.Duration
	writing  atomic.Bool
	failed   atomic.Bool // the last write
}

// restoreSpeed takes over what the previous owner learned of a worker, once its
// incarnation is known.
func (o *Owner) restoreSpeed(s *session) {
	if incarnation := s.identityApplied(); incarnation != 0 && !s.speedRestored {
		s.speedRestored = true
		o.planner.RestoreSpeed(o.speeds.restorer, speed.Identity{ID: s.target.ID, Incarnation: incarnation})
	}
}

// identityApplied returns the worker's incarnation, 0 if it isn't known or the owner's loop
// hasn't applied the restart that began it: what the planner knows is of the previous one.
func (s *session) identityApplied() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != s.appliedIncarnation {
		return 0
	}
	return s.incarnationID
}

// speedIdentities returns the workers whose speeds may be stored, sorted by ID.
func (o *Owner) speedIdentities() []speed.Identity {
	var workers []speed.Identity
	for _, id := range slices.Sorted(maps.Keys(o.sessions)) {
		if incarnation := o.sessions[id].identityApplied(); incarnation != 0 {
			workers = append(workers, speed.Identity{ID: id, Incarnation: incarnation})
		}
	}
	return workers
}

// storeSpeeds stores the learned speeds if they have changed noticeably. A write that fails
// is replaced by the next one. A new owner doesn't write at first: the row holds the speeds
// of workers that haven't answered it yet.
func (o *Owner) storeSpeeds(ctx context.Context, now time.Duration) {
	k := &o.speeds
	if now < max(k.nextAt, o.startedAt+speedStoreInterval) || k.writing.Load() || !o.mayStart() {
		return
	}
	k.nextAt = now + speedStoreInterval
	stored := o.planner.StoredSpeeds(o.speedIdentities())
	if !k.failed.Load() && !stored.DiffersFrom(&k.stored) {
		return
	}
	value, err := work.Encode(stored)
	if err != nil || len(value) > o.deps.Store.Limits().ValueBytes {
		o.log.Error("learned speeds can't be stored", zap.Int("bytes", len(value)), zap.Error(err))
		return
	}
	k.stored = stored
	k.writing.Store(true)
	txn := o.epochTxn(map[port.RowKey][]byte{replica.PoolKey(o.pool, replica.SpeedsKey): value})
	o.wg.Go(func() {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		_, err := o.deps.Store.Commit(call, txn)
		k.failed.Store(err != nil)
		k.writing.Store(false)
	})
	o.log.Info("learned speeds stored", zap.Int("workers", len(stored.Workers)), zap.Int("bytes", len(value)),
		zap.Float64("spread", o.planner.SpeedSpread()))
}
