package pool

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against tasks that are started again because their starts were neither stored
// nor announced: only the previous owner was cut off from the store, for longer than an
// owner waits until it takes that for an outage, as the next one was slow to call the
// workers. It doesn't reach the worker that runs them.
func TestNextOwnerCountsOnEarlyStartsOfOwnerThatWasCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		var cut atomic.Bool
		c.launchCut(&cut, true)
		time.Sleep(time.Second)
		c.registry = &slowRegistry{c.pool, 10 * time.Second}
		second := c.launchWith(func(in *instance) { in.slowAt, in.slowHold = "w00", time.Hour })
		time.Sleep(storeStableAfter + 2*time.Second)
		for _, job := range []struct {
			id      string
			tasks   int
			seconds float64
		}{{"first", 8, 8}, {"rest", 24, 9}, {"next", 8, 8}} {
			c.setDuration(job.id, job.seconds, 0)
			c.submit(job.id, single(job.tasks, job.seconds))
			time.Sleep(200 * time.Millisecond)
		}
		must.EqOp(t, 32, c.pool.Running())
		must.EqOp(t, 8, c.pool.RunningOn("10.0.0.0:1"))
		cut.Store(true)
		time.Sleep(9 * time.Second)
		must.EqOp(t, 40, c.pool.StartCount()) // of the job "next", as in an outage
		must.EqOp(t, 8, c.pool.RunningOn("10.0.0.0:1"))
		time.Sleep(6 * time.Second)
		must.EqOp(t, second.name, c.owner())
		c.checkInvariants()
		c.await(90 * time.Second)
		c.checkInvariants()
	})
}
