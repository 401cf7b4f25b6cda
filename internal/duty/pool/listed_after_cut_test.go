package pool

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// cutRegistry is the isolated instance's route to the registry, which is in the store.
type cutRegistry struct {
	port.WorkerRegistry
	network *network
}

func (r *cutRegistry) Workers(ctx context.Context) ([]work.Worker, int64, error) {
	if r.network.cut.Load() {
		return nil, 0, lost(ctx)
	}
	return r.WorkerRegistry.Workers(ctx)
}

func (r *cutRegistry) WatchWorkers(ctx context.Context, after int64, wait time.Duration) ([]port.WorkerChange, int64, error) {
	if r.network.cut.Load() {
		return nil, 0, lost(ctx)
	}
	return r.WorkerRegistry.WatchWorkers(ctx, after, wait)
}

// The owner is cut off from the store, with all workers that it knows. The new owner
// reaches only workers that have joined since: their answers say nothing of the previous
// owner, which never called them.
func TestWorkersThatJoinAfterTheCutDoNotFenceThePreviousOwner(t *testing.T) {
	for _, joined := range []int{0, 4} {
		t.Run(fmt.Sprint(joined, " joined"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 4)
				n := &network{near: map[string]bool{}}
				for i := range 4 {
					n.near[address(i)] = true
				}
				c.drops = n.drops
				c.registry = &cutRegistry{c.pool, n}
				n.isolated = c.launchWith(func(in *instance) { in.wrapStore = n.store })
				time.Sleep(time.Second)
				c.registry = c.pool
				c.launch()
				time.Sleep(storeStableAfter + time.Second)
				c.setDuration("long", 40, 0)
				c.submit("long", single(24, 40))
				time.Sleep(time.Second)
				must.EqOp(t, 24, c.pool.Running())
				n.cut.Store(true)
				for i := range joined {
					c.pool.Add(work.Worker{
						ID: fmt.Sprintf("w%02d", 4+i), Address: address(4 + i), Pool: testPool, Rack: "r9",
						Capacity: work.Resources{CPU: 8000, MemMB: 8000, Accel: 8},
					})
				}
				time.Sleep(16 * time.Second)
				n.cut.Store(false)
				time.Sleep(60 * time.Second)
				c.checkInvariants()
			})
		})
	}
}
