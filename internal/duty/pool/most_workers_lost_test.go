package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// The owner is killed together with more than half of its workers. Its successor can't
// tell that from a split network, and counts on its end only after unconfirmedLimit. A
// long-lived task may be missing for 6 s, and 7 s more until the rule counts.
func TestInheritedTasksWaitAfterLossOfMostWorkers(t *testing.T) {
	for _, lostWorkers := range []int{2, 3} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 4)
			registry := newEditableRegistry(c.pool)
			c.registry = registry
			first := c.launch()
			time.Sleep(time.Second)
			c.launch()
			time.Sleep(storeStableAfter + time.Second)
			step := single(4, 1)
			step.LongLived = true
			step.Need.Accel = 2
			c.setDuration("long", 400, 0)
			c.submit("long", step)
			time.Sleep(2 * time.Second)
			must.EqOp(t, 4, c.pool.Running())
			for i := range lostWorkers {
				c.pool.Remove(address(i))
				registry.remove([]string{"w00", "w01", "w02", "w03"}[i])
			}
			first.kill()
			at := time.Now()
			for c.pool.Running() < 4 {
				time.Sleep(100 * time.Millisecond)
				must.Less(t, 13*time.Second, time.Since(at), must.Sprintf("%d of 4 workers lost", lostWorkers))
			}
			t.Logf("%d of 4 workers lost: all tasks run again after %v", lostWorkers, time.Since(at))
		})
	}
}
