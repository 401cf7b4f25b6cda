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

// suspending workers answer no start, and the process is suspended for a while
// as it waits.
type suspending struct {
	port.WorkerCaller
	starts  int
	skipped atomic.Int64 // time that the process didn't run
	next    time.Duration
}

func (w *suspending) Start(ctx context.Context, _ port.WorkerTarget, _ port.StartOrder) (port.WorkerClock, port.Rejection, error) {
	w.starts++
	<-ctx.Done()
	w.skipped.Add(int64(w.next))
	return port.WorkerClock{}, port.NotRejected, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
}

func suspendedOwner(w *suspending) *Owner {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) + time.Duration(w.skipped.Load()) + time.Minute }
	o := newOwner(Deps{Workers: w, Log: zap.NewNop(), Observer: NoObserver{}, Now: now}, testPool, 1, 1)
	o.lastLoop, o.former.over, o.bypass.announced = now(), true, true
	return o
}

// A worker that was restarted while the owner was suspended knows of no higher
// fencing token: it would run a task again that has succeeded (soak seed 217).
func TestStartIsNotSentAgainAfterASuspension(t *testing.T) {
	for skipped, want := range map[time.Duration]int{0: orderTries, 5 * time.Second: 1} {
		synctest.Test(t, func(t *testing.T) {
			w := &suspending{next: skipped}
			o := suspendedOwner(w)
			s := newSession(o, port.WorkerTarget{ID: "w"})
			s.start(t.Context(), planner.Order{Task: work.TaskID{Job: "a"}, Run: 1}, o.now())
			must.EqOp(t, want, w.starts)
			must.EqOp(t, evUnanswered, (<-o.events).kind)
		})
	}
}

// Starts that wait for their records when the process is suspended wait for the
// ownership to be confirmed, too.
func TestHeldStartsWaitForConfirmationAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &suspending{}
		o := suspendedOwner(w)
		o.sessions["w"] = newSession(o, port.WorkerTarget{ID: "w"})
		order := planner.Order{Kind: planner.OrderStart, Worker: "w", Task: work.TaskID{Job: "a"}, Run: 1}
		o.takeOrders(t.Context(), []planner.Order{order})
		w.skipped.Add(int64(5 * time.Second))
		o.noticeSuspension(o.now())
		o.releaseOverdue(t.Context(), o.now())
		o.release(t.Context(), []work.Record{{Job: work.Job{ID: "a"}}}, o.plans)
		o.tasks.Wait()
		must.EqOp(t, 0, w.starts)
		o.beatAt.Store(int64(o.now()))
		o.releaseOverdue(t.Context(), o.now())
		o.tasks.Wait()
		must.Greater(t, 0, w.starts)
	})
}
