package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

func TestStepsRunInOrderAndGangsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.launch()
		second := single(4, 1)
		second.After = []int{0}
		c.setDuration("plain", 1, 0)
		c.submit("plain", single(3, 1), second)
		c.setDuration("gang", 2, 4)
		c.submit("gang", gang(4, 8, 2))
		c.await(15 * time.Second)
		must.EqOp(t, work.Completed, c.state("plain"))
		must.EqOp(t, work.Completed, c.state("gang"))
		c.checkInvariants()
	})
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		c.launch()
		c.pool.SetProfile("bad", fake.Profile{RunTime: 200 * time.Millisecond, Fails: true})
		c.submit("bad", single(1, 0.2))
		c.await(20 * time.Second)
		must.EqOp(t, work.Failed, c.state("bad"))
		must.EqOp(t, 4, c.pool.StartCount())
	})
}

func TestTakeoverKeepsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		first := c.launch()
		time.Sleep(time.Second)
		c.launch()
		c.setDuration("long", 8, 4)
		c.submit("long", gang(4, 2, 8))
		time.Sleep(2 * time.Second)
		must.EqOp(t, 4, c.pool.Running())
		first.kill()
		c.await(15 * time.Second)
		must.EqOp(t, 4, c.pool.StartCount())
		c.checkInvariants()
	})
}

func TestStoreOutageKeepsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.launch()
		c.setDuration("a", 3, 0)
		c.submit("a", single(4, 3))
		time.Sleep(time.Second)
		c.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(8 * time.Second)
		c.store.SetFaults(fake.Faults{})
		c.await(5 * time.Second)
		must.EqOp(t, 4, c.pool.StartCount())
		c.checkInvariants()
	})
}

func TestEndedJobsAreRemovedAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.launch()
		c.setDuration("a", 1, 0)
		c.submit("a", single(1, 1))
		time.Sleep(2*time.Minute + retentionSlack/2)
		must.EqOp(t, work.Completed, c.state("a"))
		time.Sleep(retentionSlack)
		must.EqOp(t, "", c.state("a"))
	})
}

// lateFirstStart carries out a job's first start late and rejects the second.
type lateFirstStart struct {
	*fake.Pool
	calls atomic.Int64
}

func (l *lateFirstStart) Start(ctx context.Context, target port.WorkerTarget, o port.StartOrder) (port.WorkerClock, port.StartRejection, error) {
	switch l.calls.Add(1) {
	case 1:
		go func() {
			time.Sleep(2 * time.Second)
			// The caller has given up on this answer.
			_, _, _ = l.Pool.Start(context.Background(), target, o)
		}()
		<-ctx.Done()
		return port.WorkerClock{}, port.NotRejected, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	case 2:
		return port.WorkerClock{}, port.RejectedCapacity, nil
	}
	return l.Pool.Start(ctx, target, o)
}

// An unanswered start may take effect later, even if a second attempt is rejected.
func TestRejectionAfterUnansweredStartDoesNotFreeTheTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.workers = &lateFirstStart{Pool: c.pool}
		c.launch()
		c.setDuration("a", 4, 0)
		c.submit("a", single(1, 4))
		c.await(20 * time.Second)
		c.checkInvariants()
	})
}

// hidingRegistry omits a worker from the registry for a while, as the platform
// does after an outage of its store.
type hidingRegistry struct {
	*fake.Pool
	id    string
	until time.Time
}

func (h *hidingRegistry) Workers(ctx context.Context) ([]work.Worker, int64, error) {
	list, version, err := h.Pool.Workers(ctx)
	if time.Now().After(h.until) {
		return list, version, err
	}
	kept := list[:0]
	for _, w := range list {
		if w.ID != h.id {
			kept = append(kept, w)
		}
	}
	return kept, version, err
}

func (h *hidingRegistry) WatchWorkers(ctx context.Context, after int64, wait time.Duration) ([]port.WorkerChange, int64, error) {
	_, next, err := h.Pool.WatchWorkers(ctx, after, wait)
	if err != nil || time.Now().Before(h.until) {
		return nil, next, err
	}
	list, _, err := h.Pool.Workers(ctx)
	var out []port.WorkerChange
	for i := range list {
		out = append(out, port.WorkerChange{ID: list[i].ID, Worker: &list[i]})
	}
	return out, next, err
}

// Registry entries that expired during a store outage reappear within two seconds.
// The tasks of such a worker keep running and must not be placed again.
func TestTakeoverAfterOutageWaitsForMissingWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		reg := &hidingRegistry{Pool: c.pool, id: "none"}
		c.registry = reg
		first := c.launch()
		time.Sleep(time.Second)
		c.setDuration("a", 12, 0)
		c.submit("a", single(2, 12))
		time.Sleep(2 * time.Second)
		c.launch()
		time.Sleep(time.Second)
		c.store.SetFaults(fake.Faults{Down: true})
		first.kill()
		time.Sleep(2 * time.Second)
		for _, id := range []string{"w00", "w01"} {
			reg.id, reg.until = id, time.Now().Add(2300*time.Millisecond)
			if c.runsOn(id) {
				break
			}
		}
		c.store.SetFaults(fake.Faults{})
		c.await(40 * time.Second)
		c.checkInvariants()
	})
}

// A previous owner that has not noticed the takeover still starts new jobs on
// workers that the new owner has not contacted.
func TestNewJobsWaitUntilWorkersAreContacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		first := c.launch()
		time.Sleep(time.Second)
		c.launchWith(func(in *instance) { in.slowHold, in.slowAt = 600*time.Millisecond, "w00" })
		time.Sleep(time.Second)
		first.dropCommits.Store(true)
		for k := range 40 {
			id := fmt.Sprintf("job-%02d", k)
			c.setDuration(id, 0.3, 0)
			c.submit(id, single(2, 0.3))
			time.Sleep(100 * time.Millisecond)
		}
		c.await(20 * time.Second)
		c.checkInvariants()
	})
}

// A running previous owner renews leases until a worker rejects it, also at a
// worker that the new owner can't reach.
func TestTakeoverWaitsForLeasesOfPreviousOwner(t *testing.T) {
	for phase := range 10 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2)
				first := c.launch()
				time.Sleep(time.Second)
				c.launchWith(func(in *instance) { in.slowHold, in.slowAt = time.Hour, "w00" })
				time.Sleep(storeStableAfter + time.Second)
				c.setDuration("wide", 20, 0)
				c.submit("wide", single(9, 20)) // eight on w00, one on w01
				time.Sleep(time.Second + time.Duration(phase)*100*time.Millisecond)
				first.dropCommits.Store(true)
				time.Sleep(12 * time.Second)
				c.checkInvariants()
			})
		})
	}
}

// A worker that doesn't answer the new owner delays only the tasks that the
// previous owner placed there.
func TestTakeoverWithSilentWorkerStartsWaitingJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		first := c.launch()
		time.Sleep(time.Second)
		c.launch()
		time.Sleep(storeStableAfter + time.Second)
		c.setDuration("wide", 4, 0)
		c.submit("wide", single(16, 4)) // occupies two workers
		time.Sleep(200 * time.Millisecond)
		c.pool.SetFaults("10.0.0.0:1", fake.PoolFaults{DropCalls: true})
		c.setDuration("next", 0.5, 0)
		c.submit("next", single(24, 0.5)) // the free worker runs eight at a time
		first.kill()
		began := time.Now()
		for c.state("next") != work.Completed {
			time.Sleep(50 * time.Millisecond)
			must.Less(t, 5*time.Second, time.Since(began))
		}
		c.await(20 * time.Second)
		c.checkInvariants()
	})
}

func (c *cluster) runsOn(id string) bool {
	reply, err := c.pool.Hold(context.Background(), port.WorkerTarget{ID: id, Address: "10.0.0." + id[2:] + ":1"}, port.HoldRequest{FencingToken: 1})
	return err == nil && len(reply.Running) > 0
}

// The workers, the store and the owners have random faults, from fixed seeds.
func TestNoTaskRunsTwiceUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWithFaults(t, seed) })
		})
	}
}

func runWithFaults(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, 6)
	c.slowClocks()
	for range 3 {
		c.launch()
	}
	time.Sleep(time.Second)
	for k := range 40 {
		id := fmt.Sprintf("job-%02d", k)
		healthy := c.store.Healthy()
		seconds := 0.5 + 3*rng.Float64()
		if rng.IntN(2) == 0 {
			n := 1 + rng.IntN(4)
			c.setDuration(id, seconds, n)
			if healthy {
				c.submitAt(id, rng.IntN(3), gang(n, int64(1+rng.IntN(8)), seconds))
			}
		} else if healthy {
			c.setDuration(id, seconds, 0)
			c.submitAt(id, rng.IntN(3), single(1+rng.IntN(6), seconds))
		}
		if rng.IntN(8) == 0 && healthy {
			c.cancelJob(id)
		}
		address := fmt.Sprintf("10.0.0.%d:1", rng.IntN(6))
		switch rng.IntN(10) {
		case 0:
			c.pool.SetFaults(address, fake.PoolFaults{DropCalls: true})
		case 1:
			c.pool.SetFaults(address, fake.PoolFaults{DropReplies: true})
		case 2:
			c.pool.SetFaults(address, fake.PoolFaults{StartDelay: 3 * time.Second})
		case 3:
			c.pool.Restart(address)
		case 4:
			c.instances[len(c.instances)-3+rng.IntN(3)].kill()
			c.launch()
		case 5:
			c.store.SetFaults([]fake.Faults{{Down: true}, {Hang: true}, {LoseReplies: true}, {Delay: 400 * time.Millisecond}}[rng.IntN(4)])
		case 6, 7:
			c.store.SetFaults(fake.Faults{})
		default:
			c.pool.SetFaults(address, fake.PoolFaults{})
		}
		time.Sleep(time.Duration(rng.IntN(1200)) * time.Millisecond)
	}
	for i := range 6 {
		c.pool.SetFaults(fmt.Sprintf("10.0.0.%d:1", i), fake.PoolFaults{})
	}
	c.store.SetFaults(fake.Faults{})
	time.Sleep(40 * time.Second)
	c.checkInvariants()
	for _, id := range c.jobIDs {
		if s := c.state(id); !s.Ended() && !c.cancelled(id) {
			t.Errorf("%s is %s at the end", id, s)
		}
	}
	must.EqOp(t, 0, c.pool.Running())
}

func (c *cluster) cancelled(id string) bool {
	key := replica.CancelKeys(testPool, id)[0]
	rows, _, err := c.store.Scan(context.Background(), key.Table, key.Partition, key.Key, key.Key+"\x00")
	return err == nil && len(rows) > 0
}

// One hold of a busy worker gets no answer, as of a few percent of all calls while
// the platform leaves orders unanswered. The result is noticed in time for an urgent
// job, and the worker goes on getting starts.
func TestLostHoldDelaysResultBriefly(t *testing.T) {
	for phase := range 10 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1)
				in := c.launch()
				time.Sleep(time.Second)
				c.setDuration("a", 2, 0)
				c.submit("a", single(1, 2))
				time.Sleep(1200*time.Millisecond + time.Duration(phase)*100*time.Millisecond)
				in.holdsToLose.Store(1)
				time.Sleep(800*time.Millisecond - time.Duration(phase)*100*time.Millisecond)
				ended := time.Now()
				for c.state("a") != work.Completed {
					time.Sleep(20 * time.Millisecond)
				}
				must.Less(t, unreachableAfter, time.Since(ended))
				c.checkInvariants()
			})
		})
	}
}
