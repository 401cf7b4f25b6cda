package pool

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// The owner is cut off with half of its workers and stops. Then it reaches one of the
// others, which has restarted and so forgotten its successor's fencing token.
func TestRestartedWorkerDoesNotReviveReplacedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		n := &network{near: map[string]bool{address(0): true, address(1): true}}
		var healed, firstHeld atomic.Bool
		c.drops = func(in *instance, target port.WorkerTarget) bool {
			if healed.Load() && target.Address == address(2) {
				return in != n.isolated && !firstHeld.Load() // reaches the isolated one a moment earlier
			}
			return n.drops(in, target)
		}
		n.isolated = c.launchWith(func(in *instance) { in.wrapStore = n.store })
		time.Sleep(time.Second)
		c.launch()
		time.Sleep(storeStableAfter + time.Second)
		c.setDuration("long", 40, 0)
		c.submit("long", single(16, 40))
		time.Sleep(time.Second)
		must.EqOp(t, 16, c.pool.Running())
		n.cut.Store(true)
		time.Sleep(5 * time.Second)
		c.pool.Restart(address(2))
		healed.Store(true)
		time.Sleep(500 * time.Millisecond)
		firstHeld.Store(true)
		time.Sleep(15 * time.Second)
		n.cut.Store(false)
		time.Sleep(60 * time.Second)
		c.checkInvariants()
	})
}
