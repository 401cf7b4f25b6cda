package pool

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// A submission arrives again and is stored in another partition while the job runs, and
// once more after it has completed. It stays one job, also for later owners: one that
// can't read the partition in which the job has completed at first, and one whose
// replica loses its history.
func TestDuplicateInAnotherPartitionStaysOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		first := c.launch()
		time.Sleep(time.Second)
		c.setDuration("job", 2, 0)
		c.submit("job", single(4, 2))
		time.Sleep(time.Second)
		c.storeIn(testPool, 1, "job", single(4, 2))
		c.await(5 * time.Second)
		time.Sleep(time.Second)
		c.storeIn(testPool, 2, "job", single(4, 2))
		time.Sleep(time.Second)
		c.store.Compact()
		time.Sleep(2 * time.Second)
		must.EqOp(t, 4, c.pool.StartCount())
		first.kill()

		var down atomic.Bool
		down.Store(true)
		second := c.launchWith(func(in *instance) {
			in.wrapStore = func(direct port.RowStore) port.RowStore {
				return &unreadableStore{direct, map[string]bool{replica.JobKeys(testPool, "job")[0].Partition: true}, &down}
			}
		})
		time.Sleep(6 * time.Second)
		must.EqOp(t, second.name, c.owner())
		must.False(t, second.replica.Complete())
		down.Store(false)
		time.Sleep(3 * time.Second)
		must.True(t, second.replica.Complete())
		c.store.Compact()
		time.Sleep(3 * time.Second)
		must.EqOp(t, 4, c.pool.StartCount())
		must.EqOp(t, work.Completed, c.state("job"))
		c.checkInvariants()
	})
}
