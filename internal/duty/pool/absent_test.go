package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Guards against running tasks that are started again because their worker can't
// renew its registry entry, while the new owner is well served by the store.
func TestTakeoverAdoptsRunsOfLiveWorkerWithoutEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, registry, owner := runLongJob(t, 30)
		registry.remove("w00", "w01")
		owner.kill()
		time.Sleep(15 * time.Second)
		c.checkInvariants()
		must.EqOp(t, 24, c.pool.StartCount())
		must.EqOp(t, 24, c.pool.Running())
		c.setDuration("next", 1, 0)
		c.submit("next", single(20, 1))
		time.Sleep(3 * time.Second)
		must.EqOp(t, 16, c.pool.RunningOn("10.0.0.0:1")+c.pool.RunningOn("10.0.0.1:1")) // nothing new without an entry
		c.await(30 * time.Second)
		c.checkInvariants()
	})
}

// Guards against running tasks that are started again before the lease of a worker
// ends that the registry doesn't list and that the new owner can't reach. The owner
// killed last stored targets, or only IDs as an earlier build does.
func TestTakeoverAwaitsLeasesOfSilentWorkerWithoutEntry(t *testing.T) {
	for name, idsOnly := range map[string]bool{"targets": false, "ids": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 4)
				registry := newEditableRegistry(c.pool)
				c.registry = registry
				first := c.launch()
				time.Sleep(time.Second)
				c.launchWith(func(in *instance) { in.slowAt, in.slowHold = "w00", time.Hour })
				time.Sleep(time.Second)
				c.setDuration("long", 30, 0)
				c.submit("long", single(24, 30))
				time.Sleep(2 * time.Second)
				must.EqOp(t, 24, c.pool.Running())
				onSilent := c.pool.RunningOn("10.0.0.0:1")
				must.Positive(t, onSilent)
				if idsOnly {
					c.dropStoredTargets()
				}
				registry.remove("w00")
				first.kill()
				killedAt := time.Now()
				for c.pool.StartCount() < 24+onSilent {
					time.Sleep(50 * time.Millisecond)
					must.Less(t, 12*time.Second, time.Since(killedAt), must.Sprint("the tasks of the silent worker aren't started again"))
				}
				t.Logf("started again %v after the owner was killed", time.Since(killedAt))
				c.checkInvariants()
			})
		})
	}
}

// dropStoredTargets replaces the stored capacity by one of an earlier build, without the
// workers' targets.
func (c *cluster) dropStoredTargets() {
	c.t.Helper()
	value, err := work.Encode(struct {
		MaxCapacity work.Resources `cbor:"2,keyasint"`
	}{work.Resources{CPU: 8000, MemMB: 8000, Accel: 8}})
	must.NoError(c.t, err)
	_, err = c.store.Commit(context.Background(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.PoolKey(testPool, replica.CapacityKey): value}})
	must.NoError(c.t, err)
	time.Sleep(500 * time.Millisecond) // until the replicas hold it
}

// Guards against running tasks that are started again because their worker was dropped
// from the stored list while its leases ran on: it was draining, without an entry and
// silent, as if it had left.
func TestTakeoverAwaitsSilentDrainingWorkerWithRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, registry, owner := runLongJob(t, 30)
		registry.drain("w00")
		time.Sleep(time.Second)
		c.pool.SetFaults("10.0.0.0:1", fake.PoolFaults{DropCalls: true})
		registry.remove("w00")
		time.Sleep(1800 * time.Millisecond)
		owner.kill()
		time.Sleep(15 * time.Second)
		c.checkInvariants()
		must.EqOp(t, 32, c.pool.StartCount())
	})
}
