package pool

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// newLabelledCluster returns a cluster of 8 workers, all of them labelled fast, in which a
// start on a worker without that label is a violation.
func newLabelledCluster(t *testing.T) *cluster {
	c := newCluster(t, 0)
	for i := range 8 {
		c.pool.Add(work.Worker{
			ID: fmt.Sprintf("w%02d", i), Address: address(i), Pool: testPool, Rack: "r", Labels: []string{"fast", "r"},
			Capacity: work.Resources{CPU: 8000, MemMB: 8000, Accel: 8},
		})
	}
	c.pool.ForbidStarts(func(w work.Worker) bool { return !w.HasLabel("fast") })
	return c
}

// submitFast submits a job of more tasks than the workers hold, which require the label.
func (c *cluster) submitFast(id string) {
	c.setDuration(id, 0.5, 0)
	s := single(960, 0.5)
	s.RequiredLabel = "fast"
	c.submit(id, s)
}

func asSlow(w *work.Worker) { w.Labels = []string{"slow", "r"} }

// Guards against work that requires a label and is started on a worker that has restarted
// without it: what the registry told of its previous incarnation is believed.
func TestRestartedWorkerGetsNoWorkByItsFormerDescription(t *testing.T) {
	for name, restart := range map[string]func(c *cluster, owner *instance, worker string){
		"entry follows the answers": func(c *cluster, _ *instance, worker string) {
			c.pool.SetEntryDelay(3 * time.Second)
			c.pool.RestartAs(worker, asSlow)
		},
		"entry goes before the answers": func(c *cluster, _ *instance, worker string) {
			release := c.pool.HoldFaults(worker, fake.PoolFaults{DropReplies: true})
			c.pool.RestartAs(worker, asSlow)
			time.Sleep(2 * time.Second)
			release()
		},
		"calls don't arrive meanwhile": func(c *cluster, _ *instance, worker string) {
			release := c.pool.HoldFaults(worker, fake.PoolFaults{DropCalls: true})
			time.Sleep(2 * time.Second)
			c.pool.SetEntryDelay(3 * time.Second)
			c.pool.RestartAs(worker, asSlow)
			release()
		},
		"owner changes": func(c *cluster, owner *instance, worker string) {
			c.launch()
			time.Sleep(100 * time.Millisecond)
			c.pool.SetEntryDelay(4 * time.Second)
			owner.kill()
			c.pool.RestartAs(worker, asSlow)
		},
		"registry lags far behind": func(c *cluster, _ *instance, worker string) {
			c.pool.SetEntryDelay(10 * time.Second)
			c.pool.RestartAs(worker, asSlow)
		},
		"twice": func(c *cluster, _ *instance, worker string) {
			c.pool.SetEntryDelay(3 * time.Second)
			c.pool.Restart(worker)
			time.Sleep(2900 * time.Millisecond)
			c.pool.RestartAs(worker, asSlow)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newLabelledCluster(t)
				owner := c.launch()
				time.Sleep(time.Second)
				c.submitFast("job")
				time.Sleep(time.Second)
				restart(c, owner, address(3))
				c.await(40 * time.Second)
				c.checkInvariants()
			})
		})
	}
}

// Guards against a worker that stays without work after a restart.
func TestRestartedWorkerGetsWorkOnceItIsDescribed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLabelledCluster(t)
		c.launch()
		time.Sleep(time.Second)
		c.submitFast("job")
		time.Sleep(500 * time.Millisecond)
		c.pool.SetEntryDelay(3 * time.Second)
		c.pool.Restart(address(3))
		time.Sleep(2900 * time.Millisecond)
		must.EqOp(t, 0, c.pool.RunningOn(address(3)))
		time.Sleep(500 * time.Millisecond)
		must.Positive(t, c.pool.RunningOn(address(3)))
		c.await(20 * time.Second)
		c.checkInvariants()
	})
}

// Guards against work that is started on a worker of which nobody knows what it has become:
// its connection has broken, and its new incarnation isn't asked until the next long poll ends.
func TestWorkerGetsNoWorkBetweenABrokenCallAndItsNextReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLabelledCluster(t)
		c.pool.SetEntryDelay(3 * time.Second)
		c.launch()
		time.Sleep(2300 * time.Millisecond) // early in a long poll
		for i := range 6 {
			c.pool.RestartAs(address(i), asSlow)
		}
		time.Sleep(50 * time.Millisecond) // the broken calls are noticed
		for range 10 {
			id := fmt.Sprintf("job-%d", len(c.jobIDs))
			c.setDuration(id, 1, 0)
			s := single(4, 1)
			s.RequiredLabel = "fast"
			c.submit(id, s)
			time.Sleep(100 * time.Millisecond)
		}
		c.await(20 * time.Second)
		c.checkInvariants()
	})
}

// Guards against a worker that counts as restarted because one of its answers was lost.
func TestWorkerGetsWorkSoonAfterALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newLabelledCluster(t)
		owner := c.launch()
		time.Sleep(2 * time.Second)
		owner.holdsToLose.Store(8) // one of each worker
		time.Sleep(2 * time.Second)
		must.LessEq(t, 0, owner.holdsToLose.Load())
		c.submitFast("job")
		time.Sleep(300 * time.Millisecond)
		must.EqOp(t, 64, c.pool.Running())
	})
}
