package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// The store rejects the owner, which goes on through its peers, at a higher
// latency. An instance with a direct route takes over while all tasks keep running.
func TestOwnerRejectedByStoreHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		first := c.launch()
		time.Sleep(time.Second)
		second := c.launch()
		for _, in := range c.instances {
			in.register()
		}
		c.setDuration("long", 14, 4)
		c.submit("long", gang(4, 2, 14))
		time.Sleep(6 * time.Second)
		must.EqOp(t, first.name, c.owner())
		first.storeRejects.Store(true)
		time.Sleep(3 * time.Second)
		must.EqOp(t, second.name, c.owner())
		must.EqOp(t, 4, c.pool.Running())
		c.await(15 * time.Second)
		must.EqOp(t, 4, c.pool.StartCount())
		c.checkInvariants()
	})
}

// When the store rejects every instance, the pool must not be handed over again
// and again.
func TestHandoversAreBoundedWhenStoreRejectsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		for range 3 {
			c.launch()
		}
		time.Sleep(7 * time.Second)
		for _, in := range c.instances {
			in.register()
		}
		time.Sleep(time.Second)
		for _, in := range c.instances {
			in.storeRejects.Store(true)
		}
		before := c.instances[0].replica.Pool(testPool).Epoch.Number
		time.Sleep(12 * time.Second)
		must.LessEq(t, before+2*3, c.instances[0].replica.Pool(testPool).Epoch.Number)
	})
}

// The owner's wall clock is an hour ahead, and the owner is killed between two
// occurrences. No occurrence starts early or twice.
func TestOccurrencesAreNotEarlyWhenOneClockJumps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		first := c.launchWith(func(in *instance) { in.wallAhead = time.Hour })
		time.Sleep(time.Second)
		c.launch()
		c.launch()
		time.Sleep(time.Second)
		for _, in := range c.instances {
			in.register()
		}
		time.Sleep(time.Second)
		must.EqOp(t, first.name, c.owner())
		c.setDuration("timed", 1, 0)
		start := c.instances[1].wallClock() + 5*time.Second
		c.submitJob("timed", 0, work.Schedule{Count: 3, First: start, Every: 4 * time.Second}, []work.Step{single(1, 1)})
		time.Sleep(4900 * time.Millisecond)
		must.EqOp(t, 0, c.pool.StartCount())
		time.Sleep(time.Second)
		must.EqOp(t, 1, c.pool.StartCount())
		first.kill()
		time.Sleep(3 * time.Second)
		must.EqOp(t, 1, c.pool.StartCount())
		time.Sleep(time.Second)
		must.EqOp(t, 2, c.pool.StartCount())
		c.await(10 * time.Second)
		must.EqOp(t, 3, c.pool.StartCount())
		must.EqOp(t, work.Completed, c.state("timed"))
		c.checkInvariants()
	})
}

// After a store outage the stored placements may be incomplete, and the owner is
// killed right after it. Jobs start once the next owner has contacted all workers
// and its replica holds what the store held then.
func TestRecoveryAfterOutageEndsOnceAllWorkersAreContacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		first := c.launch()
		time.Sleep(time.Second)
		c.launch()
		time.Sleep(3 * time.Second)
		// The second instance may take over before the first is killed, and then starts
		// the job at once. The job must still run when the running tasks are counted.
		c.setDuration("inherited", 8, 0)
		c.setDuration("new", 8, 0)
		c.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(time.Second)
		c.store.SetFaults(fake.Faults{})
		time.Sleep(400 * time.Millisecond)
		first.kill()
		c.submit("inherited", single(1, 8))
		time.Sleep(1500 * time.Millisecond)
		c.submit("new", single(1, 8))
		time.Sleep(500 * time.Millisecond)
		must.EqOp(t, 2, c.pool.Running())
		c.await(20 * time.Second)
		c.checkInvariants()
	})
}

// startUnstoredAndKill makes the owner start a task whose placement it can't store,
// and kills the owner. By then the other instances' reads have succeeded for longer
// than storeStableAfter, so they would take the stored placements for complete.
func (c *cluster) startUnstoredAndKill(owner *instance) {
	c.t.Helper()
	time.Sleep(storeStableAfter + 2*time.Second)
	c.setDuration("job", 8, 0)
	owner.dropJobCommits.Store(true)
	c.submit("job", single(1, 8))
	time.Sleep(time.Second)
	must.EqOp(c.t, 1, c.pool.Running())
	owner.kill()
}

// The owner's job commits are lost, so it starts a task before its placement is
// stored. The next owner, whose own reads never failed, can't reach the worker that
// runs the task.
func TestNextOwnerDetectsEarlyStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		first := c.launch()
		time.Sleep(time.Second)
		second := c.launchWith(func(in *instance) { in.slowAt, in.slowHold = "w00", 20*time.Second })
		c.startUnstoredAndKill(first)
		time.Sleep(4 * time.Second)
		must.EqOp(t, second.name, c.owner())
		c.checkInvariants()
		c.await(40 * time.Second)
		c.checkInvariants()
	})
}

// The next owner is also killed, before it has contacted all workers. The owner
// after it must detect the early starts as well.
func TestSecondNextOwnerDetectsEarlyStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		first := c.launch()
		time.Sleep(time.Second)
		slowHolds := func(in *instance) { in.slowAt, in.slowHold = "w00", 20*time.Second }
		second, third := c.launchWith(slowHolds), c.launchWith(slowHolds)
		c.startUnstoredAndKill(first)
		time.Sleep(1500 * time.Millisecond)
		for _, in := range []*instance{second, third} {
			if in.name == c.owner() {
				in.kill()
			}
		}
		time.Sleep(2 * time.Second)
		c.checkInvariants()
		c.await(40 * time.Second)
		c.checkInvariants()
	})
}

// slowRegistry delays its lists of workers, as during an outage of its store.
type slowRegistry struct {
	port.WorkerRegistry
	delay time.Duration
}

func (r *slowRegistry) Workers(ctx context.Context) ([]work.Worker, int64, error) {
	time.Sleep(r.delay)
	return r.WorkerRegistry.Workers(ctx)
}

// Seven seconds pass between the takeover and the new owner's first hold, as the
// registry is unavailable. The previous owner keeps renewing and starting, since
// no worker has received the new fencing token (seed 31 of the fault tests).
func TestLeaseWaitBeginsAtFirstHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		first := c.launch()
		time.Sleep(time.Second)
		c.registry = &slowRegistry{c.pool, 7 * time.Second}
		second := c.launchWith(func(in *instance) { in.slowAt, in.slowHold = "w00", 100*time.Millisecond })
		time.Sleep(time.Second)
		c.setDuration("long", 30, 0)
		c.submit("long", single(20, 30))
		time.Sleep(time.Second)
		must.EqOp(t, 20, c.pool.Running())
		first.dropCommits.Store(true)
		time.Sleep(12 * time.Second)
		must.EqOp(t, second.name, c.owner())
		c.checkInvariants()
		must.EqOp(t, 20, c.pool.StartCount())
	})
}
