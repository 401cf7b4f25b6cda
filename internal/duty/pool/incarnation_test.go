package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

func ownerOfOneWorker() (*Owner, *session) {
	o := suspendableOwner(&suspendingWorkers{})
	o.planner.PutWorker(work.Worker{ID: "w", Capacity: work.Resources{CPU: 1000}})
	s := newSession(o, port.WorkerTarget{ID: "w"})
	o.sessions["w"] = s
	return o, s
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
		o, s := ownerOfOneWorker()
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
