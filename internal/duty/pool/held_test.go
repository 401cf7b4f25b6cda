package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
)

// Guards against held starts that are sent although their runs were given up with their
// worker, beside the starts that replace them (seed 2079 of the fault tests).
func TestHeldStartsOfALostWorkerAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		in := c.launch()
		time.Sleep(2 * time.Second)
		in.dropCommits.Store(true)
		c.setDuration("job", 3, 0)
		c.submit("job", single(8, 3))
		time.Sleep(50 * time.Millisecond)
		c.pool.SetFaults("10.0.0.0:1", fake.PoolFaults{DropCalls: true})
		time.Sleep(8 * time.Second)
		c.pool.SetFaults("10.0.0.0:1", fake.PoolFaults{})
		time.Sleep(time.Second)
		must.EqOp(t, 0, c.pool.StartCount())
		in.dropCommits.Store(false)
		c.await(20 * time.Second)
		c.checkInvariants()
		must.EqOp(t, 8, c.pool.StartCount())
	})
}
