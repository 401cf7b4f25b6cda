package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// claimRejectingStore rejects calls while its fields say so.
type claimRejectingStore struct {
	port.RowStore
	all, claims *atomic.Bool
}

func (s *claimRejectingStore) Scan(ctx context.Context, table, partition, from, to string) ([]port.VersionedRow, int64, error) {
	if s.all.Load() {
		return nil, 0, errCutOff
	}
	return s.RowStore.Scan(ctx, table, partition, from, to)
}

func (s *claimRejectingStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]port.VersionedRow, int64, error) {
	if s.all.Load() {
		return nil, 0, errCutOff
	}
	return s.RowStore.Watch(ctx, table, after, wait)
}

func (s *claimRejectingStore) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	if s.all.Load() {
		return 0, errCutOff
	}
	if _, claim := txn.Puts[replica.PoolKey(testPool, replica.EpochKey)]; claim && s.claims.Load() {
		return 0, errStoreRejects
	}
	return s.RowStore.Commit(ctx, txn)
}

var errCutOff = fault.New(fault.Unavailable, "connection refused")

// The owner is cut off from the store and takes that for a global outage after 3 s, as the
// first claims of its only successor are rejected. What it starts then isn't in the stored
// placements. The successor counts the silence from its last failed claim.
func TestPlacementsAreIncompleteAfterLateClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		var cut, reject, never atomic.Bool
		var successor *instance
		var silent atomic.Value // the address of a worker that the successor doesn't reach
		c.drops = func(in *instance, target port.WorkerTarget) bool {
			return cut.Load() && in == successor && target.Address == silent.Load()
		}
		c.launchWith(func(in *instance) {
			in.wrapStore = func(next port.RowStore) port.RowStore { return &claimRejectingStore{next, &cut, &never} }
		})
		time.Sleep(time.Second)
		successor = c.launchWith(func(in *instance) {
			in.wrapStore = func(next port.RowStore) port.RowStore { return &claimRejectingStore{next, &never, &reject} }
		})
		time.Sleep(storeStableAfter + time.Second)
		c.setDuration("first", 4, 0)
		c.submit("first", single(32, 4))
		c.setDuration("second", 8, 0)
		c.submit("second", single(24, 8))
		time.Sleep(900 * time.Millisecond)
		must.EqOp(t, 32, c.pool.Running())
		cut.Store(true)
		reject.Store(true)
		for !c.pool.HasStarted("second") { // without a stored placement
			time.Sleep(50 * time.Millisecond)
			must.Less(t, 10*time.Second, c.now()-storeStableAfter)
		}
		for i := range c.size {
			if c.pool.RunningOn(address(i)) > 0 {
				silent.Store(address(i))
			}
		}
		reject.Store(false)
		time.Sleep(10 * time.Second)
		cut.Store(false)
		time.Sleep(30 * time.Second)
		c.checkInvariants()
	})
}
