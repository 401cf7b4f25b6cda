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
		w := newCluster(t, 4)
		w.launch()
		second := single(4, 1)
		second.After = []int{0}
		w.setDuration("plain", 1, 0)
		w.submit("plain", single(3, 1), second)
		w.setDuration("gang", 2, 4)
		w.submit("gang", gang(4, 8, 2))
		w.await(15 * time.Second)
		must.EqOp(t, work.Completed, w.state("plain"))
		must.EqOp(t, work.Completed, w.state("gang"))
		w.checkInvariants()
	})
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 4)
		w.launch()
		w.pool.SetProfile("bad", fake.Profile{RunTime: 200 * time.Millisecond, Fails: true})
		w.submit("bad", single(1, 0.2))
		w.await(20 * time.Second)
		must.EqOp(t, work.Failed, w.state("bad"))
		must.EqOp(t, 4, w.pool.StartCount())
	})
}

func TestTakeoverKeepsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 4)
		first := w.launch()
		time.Sleep(time.Second)
		w.launch()
		w.setDuration("long", 8, 4)
		w.submit("long", gang(4, 2, 8))
		time.Sleep(2 * time.Second)
		must.EqOp(t, 4, w.pool.Running())
		first.kill()
		w.await(15 * time.Second)
		must.EqOp(t, 4, w.pool.StartCount())
		w.checkInvariants()
	})
}

func TestStoreOutageKeepsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 2)
		w.launch()
		w.setDuration("a", 3, 0)
		w.submit("a", single(4, 3))
		time.Sleep(time.Second)
		w.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(8 * time.Second)
		w.store.SetFaults(fake.Faults{})
		w.await(5 * time.Second)
		must.EqOp(t, 4, w.pool.StartCount())
		w.checkInvariants()
	})
}

func TestEndedJobsAreRemovedAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 2)
		w.launch()
		w.setDuration("a", 1, 0)
		w.submit("a", single(1, 1))
		time.Sleep(2*time.Minute + retentionSlack/2)
		must.EqOp(t, work.Completed, w.state("a"))
		time.Sleep(retentionSlack)
		must.EqOp(t, "", w.state("a"))
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
		w := newCluster(t, 2)
		w.workers = &lateFirstStart{Pool: w.pool}
		w.launch()
		w.setDuration("a", 4, 0)
		w.submit("a", single(1, 4))
		w.await(20 * time.Second)
		w.checkInvariants()
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
		w := newCluster(t, 2)
		reg := &hidingRegistry{Pool: w.pool, id: "none"}
		w.registry = reg
		first := w.launch()
		time.Sleep(time.Second)
		w.setDuration("a", 12, 0)
		w.submit("a", single(2, 12))
		time.Sleep(2 * time.Second)
		w.launch()
		time.Sleep(time.Second)
		w.store.SetFaults(fake.Faults{Down: true})
		first.kill()
		time.Sleep(2 * time.Second)
		for _, id := range []string{"w00", "w01"} {
			reg.id, reg.until = id, time.Now().Add(2300*time.Millisecond)
			if w.runsOn(id) {
				break
			}
		}
		w.store.SetFaults(fake.Faults{})
		w.await(40 * time.Second)
		w.checkInvariants()
	})
}

// A previous owner that has not noticed the takeover still starts new jobs on
// workers that the new owner has not contacted.
func TestNewJobsWaitUntilWorkersAreContacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 2)
		first := w.launch()
		time.Sleep(time.Second)
		w.launchWith(func(in *instance) { in.slowHold, in.slowAt = 600*time.Millisecond, "w00" })
		time.Sleep(time.Second)
		first.dropCommits.Store(true)
		for k := range 40 {
			id := fmt.Sprintf("job-%02d", k)
			w.setDuration(id, 0.3, 0)
			w.submit(id, single(2, 0.3))
			time.Sleep(100 * time.Millisecond)
		}
		w.await(20 * time.Second)
		w.checkInvariants()
	})
}

// A running previous owner renews leases until a worker rejects it, also at a
// worker that the new owner can't reach.
func TestTakeoverWaitsForLeasesOfPreviousOwner(t *testing.T) {
	for phase := range 10 {
		t.Run(fmt.Sprint(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, 2)
				first := w.launch()
				time.Sleep(time.Second)
				w.launchWith(func(in *instance) { in.slowHold, in.slowAt = time.Hour, "w00" })
				time.Sleep(storeStableAfter + time.Second)
				w.setDuration("wide", 20, 0)
				w.submit("wide", single(9, 20)) // eight on w00, one on w01
				time.Sleep(time.Second + time.Duration(phase)*100*time.Millisecond)
				first.dropCommits.Store(true)
				time.Sleep(12 * time.Second)
				w.checkInvariants()
			})
		})
	}
}

// A worker that doesn't answer the new owner delays only the tasks that the
// previous owner placed there.
func TestTakeoverWithSilentWorkerStartsWaitingJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 3)
		first := w.launch()
		time.Sleep(time.Second)
		w.launch()
		time.Sleep(storeStableAfter + time.Second)
		w.setDuration("wide", 4, 0)
		w.submit("wide", single(16, 4)) // occupies two workers
		time.Sleep(200 * time.Millisecond)
		w.pool.SetFaults("10.0.0.0:1", fake.PoolFaults{DropCalls: true})
		w.setDuration("next", 0.5, 0)
		w.submit("next", single(24, 0.5)) // the free worker runs eight at a time
		first.kill()
		began := time.Now()
		for w.state("next") != work.Completed {
			time.Sleep(50 * time.Millisecond)
			must.Less(t, 5*time.Second, time.Since(began))
		}
		w.await(20 * time.Second)
		w.checkInvariants()
	})
}

func (w *cluster) runsOn(id string) bool {
	reply, err := w.pool.Hold(context.Background(), port.WorkerTarget{ID: id, Address: "10.0.0." + id[2:] + ":1"}, port.HoldRequest{Fence: 1})
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
	w := newCluster(t, 6)
	for range 3 {
		w.launch()
	}
	time.Sleep(time.Second)
	for k := range 40 {
		id := fmt.Sprintf("job-%02d", k)
		healthy := w.store.Healthy()
		seconds := 0.5 + 3*rng.Float64()
		if rng.IntN(2) == 0 {
			n := 1 + rng.IntN(4)
			w.setDuration(id, seconds, n)
			if healthy {
				w.submitAt(id, rng.IntN(3), gang(n, int64(1+rng.IntN(8)), seconds))
			}
		} else if healthy {
			w.setDuration(id, seconds, 0)
			w.submitAt(id, rng.IntN(3), single(1+rng.IntN(6), seconds))
		}
		if rng.IntN(8) == 0 && healthy {
			w.cancelJob(id)
		}
		address := fmt.Sprintf("10.0.0.%d:1", rng.IntN(6))
		switch rng.IntN(10) {
		case 0:
			w.pool.SetFaults(address, fake.PoolFaults{DropCalls: true})
		case 1:
			w.pool.SetFaults(address, fake.PoolFaults{DropReplies: true})
		case 2:
			w.pool.SetFaults(address, fake.PoolFaults{StartDelay: 3 * time.Second})
		case 3:
			w.pool.Restart(address)
		case 4:
			w.instances[len(w.instances)-3+rng.IntN(3)].kill()
			w.launch()
		case 5:
			w.store.SetFaults([]fake.Faults{{Down: true}, {Hang: true}, {LoseReplies: true}, {Delay: 400 * time.Millisecond}}[rng.IntN(4)])
		case 6, 7:
			w.store.SetFaults(fake.Faults{})
		default:
			w.pool.SetFaults(address, fake.PoolFaults{})
		}
		time.Sleep(time.Duration(rng.IntN(1200)) * time.Millisecond)
	}
	for i := range 6 {
		w.pool.SetFaults(fmt.Sprintf("10.0.0.%d:1", i), fake.PoolFaults{})
	}
	w.store.SetFaults(fake.Faults{})
	time.Sleep(40 * time.Second)
	w.checkInvariants()
	for _, id := range w.ids {
		if s := w.state(id); !s.Ended() && !w.cancelled(id) {
			t.Errorf("%s is %s at the end", id, s)
		}
	}
	must.EqOp(t, 0, w.pool.Running())
}

func (w *cluster) cancelled(id string) bool {
	key := replica.CancelKeys(testPool, id)[0]
	rows, _, err := w.store.Scan(context.Background(), key.Table, key.Partition, key.Key, key.Key+"\x00")
	return err == nil && len(rows) > 0
}
