package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// A start whose placement is stored may wait for a confirmed heartbeat. Nothing goes before
// its placement is stored then, and the next owner must not be told that it may have.
func TestStoredStartThatWaitsForHeartbeatIsNotAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		in := c.launch()
		time.Sleep(time.Second)
		c.setDuration("job", 20, 0)
		c.submit("job", single(32, 20))
		for range 8 {
			time.Sleep(2*time.Second + 30*time.Millisecond)
			c.pool.Restart(address(0))
		}
		must.EqOp(t, 0, in.replica.Pool(testPool).EarlyStartEpoch)
		c.await(90 * time.Second)
		c.checkInvariants()
	})
}
