package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const testEvacuateWithin = 5 * time.Second

// evacuations are the evacuated failure domains as an instance knows them.
type evacuations struct {
	current atomic.Pointer[work.Evacuation]
}

func (e *evacuations) set(readAt time.Duration, domains ...string) {
	next := work.Evacuation{Domains: map[string]int64{}, Version: 1, ReadAt: readAt}
	for _, domain := range domains {
		next.Domains[domain] = 1
	}
	e.current.Store(&next)
}

// read returns the domains as read just now.
func (e *evacuations) read(now func() time.Duration) func() work.Evacuation {
	return func() work.Evacuation {
		out := work.Evacuation{}
		if current := e.current.Load(); current != nil {
			out = *current
		}
		out.ReadAt = now()
		return out
	}
}

// newZonedCluster returns a cluster whose first workers are in the failure domain near, the
// others in far, and the evacuated domains that all of its instances know at once.
func newZonedCluster(t *testing.T, near, far int) (*cluster, *evacuations) {
	c, e := newCluster(t, 0), &evacuations{}
	for i := range near + far {
		domain := "near"
		if i >= near {
			domain = "far"
		}
		c.pool.Add(work.Worker{ID: address(i), Address: address(i), Pool: testPool, Rack: domain, Zone: domain, Capacity: work.Resources{CPU: 8000, MemMB: 8000, Accel: 8}})
	}
	c.evacuation = e.read(c.now)
	return c, e
}

func (c *cluster) runningIn(first, count int) int {
	n := 0
	for i := first; i < first+count; i++ {
		n += c.pool.RunningOn(address(i))
	}
	return n
}

// Guards against starts in an evacuated failure domain, by the owner that has seen the
// evacuation begin and by the next one; against the end of runs there; and against an
// evacuation that outlasts its restoration.
func TestNothingStartsInAnEvacuatedDomainAcrossATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, e := newZonedCluster(t, 2, 2)
		first := c.launch()
		time.Sleep(time.Second)
		c.launch()
		c.setDuration("before", 12, 0)
		c.submit("before", single(16, 12))
		time.Sleep(time.Second)
		running := c.runningIn(0, 2)
		must.EqOp(t, 16, running+c.runningIn(2, 2))
		must.Positive(t, running)
		e.set(0, "near")
		c.pool.ForbidStarts(func(w work.Worker) bool { return w.Zone == "near" })
		c.setDuration("during", 1, 0)
		c.submit("during", single(8, 1))
		time.Sleep(time.Second)
		first.kill()
		time.Sleep(7 * time.Second)
		must.EqOp(t, running, c.runningIn(0, 2), must.Sprint("runs in progress continue"))
		c.await(20 * time.Second)
		c.checkInvariants()
		e.set(0)
		c.pool.ForbidStarts(nil)
		c.setDuration("after", 5, 0)
		c.submit("after", single(32, 5))
		time.Sleep(time.Second)
		must.EqOp(t, 16, c.runningIn(0, 2))
		c.await(20 * time.Second)
		c.checkInvariants()
	})
}

// Guards against starts that were decided before an evacuation and wait for their record:
// once the store is back they would be sent to the evacuated failure domain. They must run
// elsewhere instead, without a lost attempt.
func TestHeldStartsAreWithdrawnByAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, e := newZonedCluster(t, 1, 1)
		in := c.launch()
		time.Sleep(2 * time.Second)
		in.dropCommits.Store(true)
		c.setDuration("single", 1, 0)
		c.submit("single", single(8, 1))
		c.setDuration("gang", 1, 8)
		c.submit("gang", gang(8, 1, 1))
		time.Sleep(50 * time.Millisecond)
		e.set(0, "near")
		c.pool.ForbidStarts(func(w work.Worker) bool { return w.Zone == "near" })
		time.Sleep(100 * time.Millisecond)
		in.dropCommits.Store(false)
		c.await(20 * time.Second)
		c.checkInvariants()
		must.EqOp(t, 16, c.pool.StartCount())
	})
}

// evacuatedStart returns an owner that has decided a start in the failure domain near, of
// which evacuations are read within a bound.
func evacuatedStart(t *testing.T, w *suspendingWorkers) (*Owner, *session, planner.Order, *evacuations) {
	t.Helper()
	o, e := suspendableOwner(w), &evacuations{}
	e.set(o.now())
	o.deps.Evacuation, o.deps.EvacuateWithin = func() work.Evacuation { return *e.current.Load() }, testEvacuateWithin
	o.deps.Replica = replica.New(fake.NewRows(), zap.NewNop(), o.now)
	o.writer.workers.reset(1, []string{"w"})
	o.planner.PutWorker(work.Worker{ID: "w", Zone: "near", Capacity: work.Resources{CPU: 1000}})
	s := newSession(o, port.WorkerTarget{ID: "w", Domain: "near"})
	o.sessions["w"] = s
	o.planner.HandleReport(o.now(), o.now(), "w", port.HoldReply{})
	steps := []work.Step{{Count: 1, Need: work.Resources{CPU: 1000}, Estimate: time.Second}}
	o.planner.AddJob(o.now(), 0, work.Record{State: work.Queued, Job: work.Job{ID: "a", MaxAttempts: 4, Steps: steps}}, false)
	return o, s, o.planner.Plan(o.now())[0], e
}

// Guards against held starts that stay with their runs until they could be sent: an
// evacuation must free the tasks at once, also those of a gang whose other members may go
// elsewhere. Tasks outside of the evacuated failure domain stay held.
func TestEvacuationWithdrawsHeldStartsWithTheirGangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &suspendingWorkers{}
		o, _, order, e := evacuatedStart(t, w)
		o.planner.PutWorker(work.Worker{ID: "far", Zone: "far", Capacity: work.Resources{CPU: 2000, Accel: 1}})
		o.planner.PutWorker(work.Worker{ID: "near", Zone: "near", Capacity: work.Resources{CPU: 2000, Accel: 1}})
		for _, id := range []string{"far", "near"} {
			o.planner.HandleReport(o.now(), o.now(), id, port.HoldReply{})
		}
		add := func(id string, gang bool, need work.Resources, count int) {
			steps := []work.Step{{Count: count, Gang: gang, Need: need, Estimate: time.Second}}
			o.planner.AddJob(o.now(), 0, work.Record{State: work.Queued, Job: work.Job{ID: id, MaxAttempts: 4, Steps: steps}}, false)
		}
		add("gang", true, work.Resources{CPU: 1000, Accel: 1}, 2)
		orders := append(o.planner.Plan(o.now()), order)
		must.Len(t, 3, orders)
		o.handleOrders(t.Context(), orders)
		e.set(o.now(), "near")
		o.releaseReady(t.Context())
		must.SliceEmpty(t, o.held)
		must.EqOp(t, 0, w.starts)
		must.EqOp(t, 0, len(o.events), must.Sprint("no start has reached its goroutine"))
		orders = o.planner.Plan(o.now())
		must.Len(t, 1, orders)
		must.EqOp(t, "far", orders[0].Worker)
		o.handleOrders(t.Context(), orders)
		o.releaseReady(t.Context())
		must.Len(t, 1, o.held)
	})
}

// Guards against a start that its goroutine sends although the failure domain was evacuated
// after the release, which the owner's loop hasn't noticed. As it wasn't sent, its run
// needs no stop.
func TestStartIsWithdrawnBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &suspendingWorkers{}
		o, s, order, e := evacuatedStart(t, w)
		e.set(o.now(), "near")
		s.start(t.Context(), order, 0, o.now())
		must.EqOp(t, 0, w.starts)
		ev := <-o.events
		must.EqOp(t, evStartWithdrawn, ev.kind)
		o.apply(t.Context(), ev)
		must.False(t, o.planner.IsStarting(order.Worker, order.Task, order.Run))
		o.applyEvacuation(o.now())
		must.SliceEmpty(t, o.planner.Plan(o.now()))
	})
}

// Guards against a start without a reply that is sent again into a failure domain that was
// evacuated meanwhile. Its run must be stopped, as it may have been carried out.
func TestStartIsNotResentIntoAnEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &suspendingWorkers{}
		o, s, order, e := evacuatedStart(t, w)
		time.AfterFunc(orderTimeout/2, func() { e.set(o.now(), "near") })
		s.start(t.Context(), order, 0, o.now())
		must.EqOp(t, 1, w.starts)
		ev := <-o.events
		must.EqOp(t, evStartUnanswered, ev.kind)
		o.apply(t.Context(), ev)
		orders := o.planner.Plan(o.now())
		must.Len(t, 1, orders)
		must.EqOp(t, planner.OrderStop, orders[0].Kind)
	})
}

// Guards against starts by a reading that is too old: an owner that was suspended, or that
// has just taken over with an old reading, may have missed an evacuation. They are sent
// once the reading is confirmed, or while the store can't be read.
func TestStartsWaitForAReadingOfTheEvacuations(t *testing.T) {
	const old = testEvacuateWithin - lateStartTime + 10*time.Millisecond
	for name, c := range map[string]struct {
		readAgo, failedAgo, failingFor time.Duration // failedAgo is 0 if the last reading succeeded
		starts                         int
	}{
		"recent":              {old / 2, 0, 0, 1},
		"old":                 {old, 0, 0, 0},
		"store can't be read": {old, 100 * time.Millisecond, time.Second, 1},
		"one call failed":     {old, 100 * time.Millisecond, 200 * time.Millisecond, 0},
		"failed long ago":     {3 * old, 2 * old, 2 * old, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &suspendingWorkers{}
				o, _, order, e := evacuatedStart(t, w)
				current := work.Evacuation{ReadAt: o.now() - c.readAgo}
				if c.failedAgo > 0 {
					current.FailedAt, current.FailingSince = o.now()-c.failedAgo, o.now()-c.failingFor
				}
				e.current.Store(&current)
				release := func() {
					ctx, cancel := context.WithTimeout(t.Context(), orderTimeout/2)
					defer cancel()
					o.releaseStored(ctx, []work.Record{{Job: work.Job{ID: "a"}}}, o.planSequence)
					o.wg.Wait()
				}
				o.handleOrders(t.Context(), []planner.Order{order})
				release()
				must.EqOp(t, c.starts, w.starts)
				e.set(o.now())
				release()
				must.EqOp(t, 1, w.starts)
			})
		})
	}
}

// Guards against a deployment without evacuations that waits for readings of them.
func TestStartsDontWaitForReadingsWithoutABound(t *testing.T) {
	o := suspendableOwner(&suspendingWorkers{})
	must.True(t, o.mayStart())
}

// Guards against a takeover whose owner starts in an evacuated failure domain because its
// own reading is old: its reads of the operator's rows hang while those of the pool work.
func TestTakeoverWithAnOldReadingStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newZonedCluster(t, 2, 0)
		first := c.launch()
		time.Sleep(time.Second)
		stale := &evacuations{}
		stale.set(c.now())
		c.launchWith(func(in *instance) {
			in.evacuation = func() work.Evacuation { return *stale.current.Load() }
			in.evacuateWithin = testEvacuateWithin
		})
		time.Sleep(testEvacuateWithin)
		first.kill()
		c.setDuration("a", 1, 0)
		c.submit("a", single(4, 1))
		time.Sleep(8 * time.Second)
		must.EqOp(t, 0, c.pool.StartCount())
		stale.set(c.now())
		time.Sleep(time.Second)
		must.EqOp(t, 4, c.pool.StartCount())
		stale.set(c.now())
		c.await(10 * time.Second)
		c.checkInvariants()
	})
}

// Guards against an evacuation that ends with the store: the last known one stays in force
// in an outage, in which starts go on elsewhere.
func TestEvacuationStaysInForceWhileTheStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, e := newZonedCluster(t, 2, 2)
		c.launch()
		time.Sleep(time.Second)
		e.set(0, "near")
		c.pool.ForbidStarts(func(w work.Worker) bool { return w.Zone == "near" })
		c.setDuration("a", 1, 0)
		c.submit("a", single(40, 1))
		time.Sleep(200 * time.Millisecond)
		c.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(6 * time.Second)
		c.store.SetFaults(fake.Faults{})
		c.await(20 * time.Second)
		c.checkInvariants()
		must.Between(t, 40, c.pool.StartCount(), 42)
	})
}
