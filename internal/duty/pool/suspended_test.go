package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// suspendingWorkers never answers a start. It simulates that this process is
// suspended for suspendFor while it waits for the answer.
type suspendingWorkers struct {
	port.WorkerClient
	starts     int
	skipped    atomic.Int64 // time during which the process was suspended
	suspendFor time.Duration
}

func (w *suspendingWorkers) Start(ctx context.Context, _ port.WorkerTarget, _ port.StartOrder) (port.WorkerClock, port.StartRejection, error) {
	w.starts++
	<-ctx.Done()
	w.skipped.Add(int64(w.suspendFor))
	return port.WorkerClock{}, port.NotRejected, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
}

func suspendableOwner(w *suspendingWorkers) *Owner {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) + time.Duration(w.skipped.Load()) + time.Minute }
	o := newOwner(Deps{Workers: w, Log: zap.NewNop(), Observer: NoObserver{}, Now: now}, testPool, 1, 1)
	o.lastActiveAt, o.previous.merged, o.announcement.stored = now(), true, true
	return o
}

// A worker that restarted while the owner was suspended has not received the
// higher fencing token. It would run a task again that has succeeded (soak seed
// 217).
func TestStartIsNotResentAfterSuspension(t *testing.T) {
	for skipped, want := range map[time.Duration]int{0: maxStartTries, 5 * time.Second: 1} {
		synctest.Test(t, func(t *testing.T) {
			w := &suspendingWorkers{suspendFor: skipped}
			o := suspendableOwner(w)
			s := newSession(o, port.WorkerTarget{ID: "w"})
			s.start(t.Context(), planner.Order{Task: work.TaskID{Job: "a"}, Run: 1}, 0, o.now())
			must.EqOp(t, want, w.starts)
			must.EqOp(t, evStartUnanswered, (<-o.events).kind)
		})
	}
}

// Starts that are held while the process is suspended also wait until ownership is
// confirmed.
func TestHeldStartsWaitForConfirmationAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &suspendingWorkers{}
		o, _, order := ownerOfStart(t, w)
		o.handleOrders(t.Context(), []planner.Order{order})
		w.skipped.Add(int64(5 * time.Second))
		o.detectSuspension(o.now())
		o.releaseOverdue(t.Context(), o.now())
		o.releaseStored(t.Context(), []work.Record{{Job: work.Job{ID: "a"}}}, o.planSequence)
		o.releaseReady(t.Context())
		o.wg.Wait()
		must.EqOp(t, 0, w.starts)
		o.heartbeatAt.Store(int64(o.now()))
		o.releaseReady(t.Context()) // as the owner's loop does with each step
		o.wg.Wait()
		must.Greater(t, 0, w.starts)
	})
}

// Guards against a start of a task that has succeeded: the previous owner's record was
// merged while the start was held, and the next planning pass, which drops it, is due
// later.
func TestHeldStartOfMergedTaskIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &suspendingWorkers{}
		o, _, order := ownerOfStart(t, w)
		o.handleOrders(t.Context(), []planner.Order{order})
		job := order.Task.Job
		o.planner.Merge(o.now(), work.Record{Job: work.Job{ID: job}, Steps: []work.StepProgress{{Done: []int{0}}}, State: work.Completed})
		time.Sleep(placementCommitWait)
		o.releaseOverdue(t.Context(), o.now())
		o.wg.Wait()
		must.EqOp(t, 0, w.starts)
	})
}

// A start waits for its placement to be stored while its worker is silent. Once the
// worker's leases have expired, its task may run elsewhere (issue 31).
func TestHeldStartOfLostRunIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &suspendingWorkers{}
		o, _, order := ownerOfStart(t, w)
		o.handleOrders(t.Context(), []planner.Order{order})
		o.planner.WorkerLost(o.now(), order.Worker, false, "lease expired")
		o.heartbeatAt.Store(int64(o.now()))
		o.releaseStored(t.Context(), []work.Record{{Job: work.Job{ID: order.Task.Job}}}, o.planSequence)
		o.wg.Wait()
		must.EqOp(t, 0, w.starts)
	})
}

// Guards against a lease that is renewed by a process that was suspended for less than a
// lease's length, when its next owner no longer counts on that.
func TestLeasesAreNotRenewedAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &suspendingWorkers{}
		o := suspendableOwner(w)
		must.True(t, o.mayAct())
		w.skipped.Add(int64(leaseDuration - time.Second))
		must.False(t, o.mayAct())
		o.heartbeatAt.Store(int64(o.now()))
		must.True(t, o.mayAct())
	})
}

// A hold reports a run, or its result, while its start still waits for the answer. The
// start must not be resent: after a restart of the worker it would run again (issue 31).
func TestStartIsNotResentOnceItsRunIsReported(t *testing.T) {
	for _, ended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			w := &suspendingWorkers{}
			o, s, order := ownerOfStart(t, w)
			o.dispatch(t.Context(), order)
			time.Sleep(100 * time.Millisecond)
			reply := port.HoldReply{Running: []port.RunState{{Task: order.Task, Run: order.Run}}}
			if ended {
				reply = port.HoldReply{Results: []port.RunResult{{Sequence: 1, Task: order.Task, Run: order.Run, Kind: port.ResultSucceeded}}}
			}
			o.apply(t.Context(), event{kind: evReport, session: s, sentAt: o.now(), reply: reply})
			o.wg.Wait()
			must.EqOp(t, 1, w.starts)
		})
	}
}
