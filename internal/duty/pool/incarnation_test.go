package pool

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

func ownerOfOneWorker() (*Owner, *session) { return ownerOfOneWorkerCalledBy(&suspendingWorkers{}) }

func ownerOfOneWorkerCalledBy(w *suspendingWorkers) (*Owner, *session) {
	o := suspendableOwner(w)
	o.planner.PutWorker(work.Worker{ID: "w", Capacity: work.Resources{CPU: 1000}})
	s := newSession(o, port.WorkerTarget{ID: "w"})
	o.sessions["w"] = s
	return o, s
}

// ownerOfStart returns an owner of two workers that has ordered a start, and the session
// of the start's worker.
func ownerOfStart(t *testing.T, w *suspendingWorkers) (*Owner, *session, planner.Order) {
	t.Helper()
	o, s := ownerOfOneWorkerCalledBy(w)
	o.writer.workers.reset(1, []string{"w", "other"})
	o.planner.PutWorker(work.Worker{ID: "other", Capacity: work.Resources{CPU: 1000}})
	for _, id := range []string{"w", "other"} {
		o.planner.HandleReport(o.now(), o.now(), id, port.HoldReply{})
	}
	steps := []work.Step{{Count: 1, Need: work.Resources{CPU: 1000}, Estimate: time.Second}}
	o.planner.AddJob(o.now(), 0, work.Record{State: work.Queued, Job: work.Job{ID: "a", MaxAttempts: 4, Steps: steps}}, false)
	start := o.planner.Plan(o.now())[0]
	if start.Worker != "w" {
		s = newSession(o, port.WorkerTarget{ID: start.Worker})
		o.sessions[start.Worker] = s
	}
	return o, s, start
}

// report returns a worker's report of one result with the given sequence.
func report(s *session, incarnation int, sequence int64) event {
	result := port.RunResult{Sequence: sequence, Task: work.TaskID{Job: "gone"}, Run: 1, Kind: port.ResultSucceeded}
	return event{kind: evReport, session: s, incarnation: incarnation, reply: port.HoldReply{Results: []port.RunResult{result}}}
}

func TestOverdueAnswerOfPreviousIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOneWorker()
		contact := func(incarnation int64, sentAt time.Duration) (int, bool) {
			return s.recordContact(port.WorkerClock{Now: time.Second, Incarnation: incarnation}, sentAt)
		}
		early := o.now()
		incarnation, ok := contact(7, early)
		must.True(t, ok)
		must.EqOp(t, 0, incarnation)
		time.Sleep(time.Second)
		incarnation, ok = contact(9, early)
		must.True(t, ok)
		must.EqOp(t, 1, incarnation)
		_, ok = contact(7, early)
		must.False(t, ok)
		time.Sleep(time.Second)
		incarnation, ok = contact(8, o.now()) // the wall clock was set back before this restart
		must.True(t, ok)
		must.EqOp(t, 2, incarnation)
	})
}

// dropUnknownJobs drops the jobs of the reported results, which then may be acknowledged.
func dropUnknownJobs(o *Owner) {
	for id := range o.planner.UnknownJobs() {
		o.planner.DropUnknownJob(id)
	}
	o.acknowledgeResults()
}

// A restarted worker numbers its results from 1. If a report of the previous
// incarnation is applied after the restart, results of the new one are taken for
// known ones and acknowledged without being counted (seed 5 of the fault tests).
func TestIncarnationsAreAppliedInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOneWorker()
		s.incarnation = 1
		o.apply(t.Context(), event{kind: evRestarted, session: s, incarnation: 1})
		o.apply(t.Context(), report(s, 0, 23))
		dropUnknownJobs(o)
		must.EqOp(t, 0, o.planner.AcknowledgeableResult("w"))
		must.EqOp(t, 0, s.acknowledged)

		s.incarnation = 2 // its report arrives before the restart event
		o.apply(t.Context(), report(s, 2, 1))
		o.apply(t.Context(), event{kind: evRestarted, session: s, incarnation: 2})
		dropUnknownJobs(o)
		must.EqOp(t, 1, o.planner.AcknowledgeableResult("w"))
		must.EqOp(t, 1, s.acknowledged)

		s.incarnation = 3 // results stored for the previous incarnation acknowledge nothing here
		s.acknowledged = 0
		s.acknowledge(s.appliedIncarnation, 5)
		must.EqOp(t, 0, s.acknowledged)
	})
}

// A start may be confirmed by a new incarnation before the restart event arrives.
// The run then belongs to the new incarnation, and its task must not run elsewhere
// until its stop is confirmed (seed 5 of the fault tests).
func TestStartConfirmedByNewIncarnationIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s, start := ownerOfStart(t, &suspendingWorkers{})
		s.incarnation = 1
		o.apply(t.Context(), event{kind: evStartAnswered, session: s, incarnation: 1, order: start})
		o.apply(t.Context(), event{kind: evRestarted, session: s, incarnation: 1})
		time.Sleep(time.Second)
		orders := o.planner.Plan(o.now())
		must.Len(t, 1, orders)
		must.EqOp(t, planner.OrderStop, orders[0].Kind)
		must.EqOp(t, start.Worker, orders[0].Worker)
	})
}

// A worker repeats a result until it is acknowledged. The result is counted once.
func TestRepeatedResultIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOneWorker()
		results := &resultCounter{}
		o.deps.Observer = results
		for range 3 {
			o.apply(t.Context(), report(s, 0, 1))
		}
		must.EqOp(t, 1, results.n)
	})
}

type resultCounter struct {
	NoObserver
	n int
}

func (c *resultCounter) RunEnded(string) { c.n++ }

// The answer to a start doesn't identify the worker's incarnation. If it came from one
// that isn't known yet, the restart must not free the task at once (issue 31).
func TestStartConfirmedBeforeRestartIsNoticedIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s, start := ownerOfStart(t, &suspendingWorkers{})
		o.apply(t.Context(), event{kind: evStartAnswered, session: s, order: start})
		s.incarnation = 1
		o.apply(t.Context(), event{kind: evRestarted, session: s, incarnation: 1})
		time.Sleep(time.Second)
		orders := o.planner.Plan(o.now())
		must.Len(t, 1, orders)
		must.EqOp(t, planner.OrderStop, orders[0].Kind)
		must.EqOp(t, start.Worker, orders[0].Worker)
	})
}

// The stop of an unanswered start was confirmed by the previous incarnation. The new
// one doesn't know of it and may still carry out the start (issue 31).
func TestStopIsRepeatedAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s, start := ownerOfStart(t, &suspendingWorkers{})
		o.apply(t.Context(), event{kind: evStartUnanswered, session: s, order: start})
		stop := o.planner.Plan(o.now())[0]
		must.EqOp(t, planner.OrderStop, stop.Kind)
		time.Sleep(time.Millisecond)
		o.apply(t.Context(), event{kind: evStopConfirmed, session: s, order: stop})
		time.Sleep(time.Millisecond)
		s.incarnation = 1
		o.apply(t.Context(), event{kind: evRestarted, session: s, incarnation: 1})
		o.apply(t.Context(), event{kind: evReport, session: s, incarnation: 1, sentAt: o.now()})
		time.Sleep(time.Second)
		orders := o.planner.Plan(o.now())
		must.Len(t, 1, orders)
		must.EqOp(t, planner.OrderStop, orders[0].Kind)
		must.EqOp(t, start.Worker, orders[0].Worker)
	})
}

// An answer that doesn't identify its incarnation arrives after a restart was noticed.
// Taken for the new incarnation's, its clock would hide how long the lease is there.
func TestUnidentifiedAnswerOfPreviousIncarnationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOneWorker()
		s.recordContact(port.WorkerClock{Now: time.Hour, Incarnation: 7}, o.now())
		early := o.now()
		time.Sleep(time.Second)
		s.recordContact(port.WorkerClock{Now: time.Second, Incarnation: 8}, o.now())
		_, ok := s.recordContact(port.WorkerClock{Now: time.Hour}, early)
		must.False(t, ok)
		must.EqOp(t, time.Second, s.clock.workerNow)
	})
}

// A new incarnation answers a start before its first hold. Its clock reads less than the
// previous one's can, and the lease that the start asked for by that clock lasts for
// MaxLease.
func TestAnswerByRestartedClockCountsAsUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOneWorker()
		o.deps.MaxLease = testMaxLease
		s.recordContact(port.WorkerClock{Now: time.Hour, Incarnation: 7}, o.now())
		time.Sleep(time.Second)
		s.clock.extend(o.now(), leaseDuration)
		_, ok := s.recordContact(port.WorkerClock{Now: time.Hour + 981*time.Millisecond}, o.now()) // 2% slow
		must.True(t, ok)
		_, ok = s.recordContact(port.WorkerClock{Now: time.Second}, o.now())
		must.False(t, ok)
		must.GreaterEq(t, o.now()+testMaxLease, s.clock.localExpiry)
		_, ok = s.recordContact(port.WorkerClock{Now: time.Hour}, o.now()-time.Second) // overtaken
		must.True(t, ok)
	})
}

// A rejection by status alone has no clock, which isn't that of a restarted worker.
func TestRejectionWithoutClockIsAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOneWorker()
		s.recordContact(port.WorkerClock{Now: time.Hour, Incarnation: 7}, o.now())
		expiry := s.clock.localExpiry
		_, ok := s.recordContact(port.WorkerClock{}, o.now())
		must.True(t, ok)
		must.EqOp(t, expiry, s.clock.localExpiry)
	})
}

// The first of two copies of a start got no answer, the second was confirmed. After a
// restart of the worker the first one may still arrive (issue 31).
func TestRestartedWorkerIsToldToStopRepeatedStarts(t *testing.T) {
	for name, ended := range map[string]bool{"running": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o, s, start := ownerOfStart(t, &suspendingWorkers{})
				w := &restartingWorkers{loseStarts: 1}
				o.deps.Workers = w
				s.recordContact(port.WorkerClock{Now: time.Second, Incarnation: 7}, o.now())
				s.start(t.Context(), start, 0, o.now())
				o.apply(t.Context(), <-o.events)
				state := []port.RunState{{Task: start.Task, Run: start.Run}}
				o.apply(t.Context(), event{kind: evReport, session: s, sentAt: o.now(), reply: port.HoldReply{Running: state}})
				if ended {
					result := port.RunResult{Sequence: 1, Task: start.Task, Run: start.Run, Kind: port.ResultSucceeded}
					o.apply(t.Context(), event{kind: evReport, session: s, sentAt: o.now(), reply: port.HoldReply{Results: []port.RunResult{result}}})
				}
				s.incarnation = 1
				o.apply(t.Context(), event{kind: evRestarted, session: s, incarnation: 1})
				for _, order := range o.planner.Plan(o.now()) {
					must.EqOp(t, planner.OrderStop, order.Kind)
					o.dispatch(t.Context(), order)
				}
				o.wg.Wait()
				must.Positive(t, w.stops.Load())
			})
		})
	}
}

// restartingWorkers doesn't answer its first loseStarts starts. It counts stops.
type restartingWorkers struct {
	port.WorkerClient
	loseStarts int
	stops      atomic.Int64
}

func (w *restartingWorkers) Start(ctx context.Context, _ port.WorkerTarget, _ port.StartOrder) (port.WorkerClock, port.StartRejection, error) {
	if w.loseStarts--; w.loseStarts >= 0 {
		<-ctx.Done()
		return port.WorkerClock{}, port.NotRejected, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
	return port.WorkerClock{Now: 2 * time.Second}, port.NotRejected, nil
}

func (w *restartingWorkers) Stop(context.Context, port.WorkerTarget, work.TaskID, int64, int64) (port.WorkerClock, error) {
	w.stops.Add(1)
	return port.WorkerClock{Now: 3 * time.Second}, nil
}
