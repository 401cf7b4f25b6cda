package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// unreadPartStore fails the reads of a partition while it is set.
type unreadPartStore struct {
	port.RowStore
	partition  string
	unreadable *atomic.Bool
}

func (s *unreadPartStore) Scan(ctx context.Context, table, partition, from, to string) ([]port.VersionedRow, int64, error) {
	if partition == s.partition && s.unreadable.Load() {
		return nil, 0, errStoreRejects
	}
	return s.RowStore.Scan(ctx, table, partition, from, to)
}

// A new owner can't read a job's partition for a moment, and a worker that runs tasks of
// the job doesn't answer it. The row that it reads later names the worker.
func TestJobReadLateAwaitsItsSilentWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		var unreadable atomic.Bool
		var successor atomic.Pointer[instance]
		c.drops = func(in *instance, target port.WorkerTarget) bool { return in == successor.Load() && target.ID == "w00" }
		first := c.launch()
		time.Sleep(time.Second)
		c.setDuration("long", 30, 0)
		c.submit("long", single(16, 30))
		time.Sleep(time.Second)
		must.EqOp(t, 16, c.pool.Running())
		must.Positive(t, c.pool.RunningOn(address(0)))
		unreadable.Store(true)
		partition := replica.JobKeys(testPool, "long")[0].Partition
		successor.Store(c.launchWith(func(in *instance) {
			in.wrapStore = func(next port.RowStore) port.RowStore { return &unreadPartStore{next, partition, &unreadable} }
		}))
		time.Sleep(2 * time.Second)
		first.kill()
		time.Sleep(1500 * time.Millisecond)
		unreadable.Store(false)
		time.Sleep(40 * time.Second)
		c.checkInvariants()
	})
}

// The pool's own partition can't be read at the start of an instance, which then sees the
// heartbeats and a handover in the feed, but no list of workers.
func TestPoolIsNotTakenOverBeforeItsOwnRowsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		registry := newEditableRegistry(c.pool)
		c.registry = registry
		first := c.launch()
		time.Sleep(time.Second)
		c.setDuration("long", 30, 0)
		c.submit("long", single(16, 30))
		time.Sleep(time.Second)
		must.EqOp(t, 16, c.pool.Running())
		var unreadable atomic.Bool
		unreadable.Store(true)
		c.launchWith(func(in *instance) {
			in.wrapStore = func(next port.RowStore) port.RowStore { return &unreadPartStore{next, testPool, &unreadable} }
		})
		time.Sleep(storeStableAfter + 2*time.Second)
		registry.remove("w00")
		first.stop()
		time.Sleep(time.Second)
		unreadable.Store(false)
		time.Sleep(10 * time.Second)
		c.checkInvariants()
		must.EqOp(t, 16, c.pool.StartCount())
	})
}
