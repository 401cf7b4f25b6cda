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
			s.start(t.Context(), planner.Order{Task: work.TaskID{Job: "a"}, Run: 1}, o.now())
			must.EqOp(t, want, w.starts)
			must.EqOp(t, evStartUnanswered, (<-o.events).kind)
		})
	}
}

// holdStart has the planner place the only task of a job on a worker, and holds its start.
func holdStart(t *testing.T, o *Owner) {
	t.Helper()
	o.sessions["w"] = newSession(o, port.WorkerTarget{ID: "w"})
	o.writer.workers.reset(1, []string{"w"})
	o.planner.PutWorker(work.Worker{ID: "w", Capacity: work.Resources{CPU: 8000, MemMB: 8000, Accel: 8}})
	o.planner.HandleReport(o.now(), o.now(), "w", port.HoldReply{})
	o.planner.AddJob(o.now(), 0, work.Record{Job: work.Job{ID: "a", MaxAttempts: 4, Stretch: 3, Steps: []work.Step{single(1, 1)}}, State: work.Queued}, false)
	o.handleOrders(t.Context(), o.planner.Plan(o.now()))
	must.Len(t, 1, o.held)
}

// Starts that are held while the process is suspended also wait until ownership is
// confirmed.
func TestHeldStartsWaitForConfirmationAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &suspendingWorkers{}
		o := suspendableOwner(w)
		holdStart(t, o)
		w.skipped.Add(int64(5 * time.Second))
		o.detectSuspension(o.now())
		o.releaseOverdue(t.Context(), o.now())
		o.releaseStored(t.Context(), []work.Record{{Job: work.Job{ID: "a"}}}, o.planSequence)
		o.wg.Wait()
		must.EqOp(t, 0, w.starts)
		o.heartbeatAt.Store(int64(o.now()))
		o.releaseOverdue(t.Context(), o.now())
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
		o := suspendableOwner(w)
		holdStart(t, o)
		o.planner.Merge(o.now(), work.Record{Job: work.Job{ID: "a"}, Steps: []work.StepProgress{{Done: []int{0}}}, State: work.Completed})
		time.Sleep(placementCommitWait)
		o.releaseOverdue(t.Context(), o.now())
		o.wg.Wait()
		must.EqOp(t, 0, w.starts)
	})
}
