package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
)

// doubtCluster returns a cluster whose workers' clocks read enough that a lease end by the
// clock of a previous incarnation is more than the longest lease away for the next one.
func doubtCluster(t *testing.T, instances int) *cluster {
	c := newCluster(t, 3)
	for range instances {
		c.launch()
	}
	time.Sleep(storeStableAfter + 5*time.Second)
	return c
}

// fill submits a job that takes all capacity but one worker's, so that its tasks run on
// worker 0 too, and that can run elsewhere.
func (c *cluster) fill(id string) {
	c.setDuration(id, 60, 0)
	c.submit(id, single(8*(c.size-1), 60))
}

// restartUnseen restarts worker 0, which doesn't write its entry in time, and loses its
// replies until starts have reached the new incarnation. From then on the worker is cut off.
func (c *cluster) restartUnseen() {
	c.t.Helper()
	c.pool.SetFaults(address(0), fake.PoolFaults{DropReplies: true})
	c.pool.SetEntryDelay(time.Minute)
	c.pool.Restart(address(0))
	c.fill("unseen")
	time.Sleep(100 * time.Millisecond)
	must.Positive(c.t, c.pool.RunningOn(address(0)))
	c.pool.SetFaults(address(0), fake.PoolFaults{DropCalls: true})
}

func (c *cluster) running(name string) *instance {
	for _, in := range c.instances {
		if in.name == name {
			return in
		}
	}
	return nil
}

// A worker restarts behind a cut and carries out a start whose lease end is by the clock of
// its previous incarnation. Its lease is then the longest that a worker grants, and no
// owner may start its tasks elsewhere before that has expired (issue 37, review/6).
func TestStartBehindUnseenRestartHoldsTheLongestLease(t *testing.T) {
	for name, change := range map[string]func(c *cluster){
		"same owner":  func(*cluster) {},
		"handed over": func(c *cluster) { c.running(c.owner()).stop() },
		"killed":      func(c *cluster) { c.running(c.owner()).kill() },
		"killed twice": func(c *cluster) {
			c.running(c.owner()).kill()
			time.Sleep(3 * time.Second)
			c.running(c.owner()).kill()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := doubtCluster(t, 3)
				c.restartUnseen()
				change(c)
				time.Sleep(14 * time.Second)
				c.checkInvariants()
				must.EqOp(t, 16, c.pool.Running())
			})
		})
	}
}

// A worker's restart is known to its owner, and its lease is the longest that a worker
// grants, by a renewal that was meant for its previous incarnation. The owner hands over
// before that lease has expired, and the worker is cut off before or after the next owner
// has called it (issue 37, day recut-kill).
func TestLeaseAfterKnownRestartOutlivesItsOwner(t *testing.T) {
	for name, called := range map[string]bool{"cut off first": false, "cut off later": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := doubtCluster(t, 3)
				c.pool.SetFaults(address(0), fake.PoolFaults{DropCalls: true})
				time.Sleep(300 * time.Millisecond)
				c.pool.Restart(address(0))
				c.pool.SetFaults(address(0), fake.PoolFaults{})
				time.Sleep(2 * time.Second)
				c.fill("job")
				time.Sleep(300 * time.Millisecond)
				must.Positive(t, c.pool.RunningOn(address(0)))
				owner := c.running(c.owner())
				if !called {
					c.pool.SetFaults(address(0), fake.PoolFaults{DropCalls: true})
				}
				owner.stop()
				time.Sleep(time.Second)
				c.pool.SetFaults(address(0), fake.PoolFaults{DropCalls: true})
				time.Sleep(14 * time.Second)
				c.checkInvariants()
				must.EqOp(t, 16, c.pool.Running())
			})
		})
	}
}

// A start that is sent before its placement is stored doesn't go to a worker that has
// restarted lately: the next owner, which finds no placement, counts the usual lease.
func TestEarlyStartsAvoidWorkersWithLongLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := doubtCluster(t, 1)
		c.pool.Restart(address(0))
		time.Sleep(2 * time.Second)
		c.instances[0].dropJobCommits.Store(true)
		c.setDuration("job", 60, 0)
		c.submit("job", single(8*c.size, 60))
		time.Sleep(2 * time.Second)
		must.EqOp(t, 8*(c.size-1), c.pool.Running())
		must.EqOp(t, 0, c.pool.RunningOn(address(0)))
		time.Sleep(maxOrderDelay + testMaxLease)
		must.EqOp(t, 8*c.size, c.pool.Running())
	})
}
