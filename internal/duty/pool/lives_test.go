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

func ownerOfOne() (*Owner, *session) {
	o := suspendedOwner(&suspending{})
	o.planner.PutWorker(work.Worker{ID: "w", Room: work.Resources{CPU: 1000}})
	s := newSession(o, port.WorkerTarget{ID: "w"})
	o.sessions["w"] = s
	return o, s
}

// report is what a life of the worker says of its ends, up to sequence.
func report(s *session, life int, sequence int64) event {
	end := port.RunEnd{Sequence: sequence, Task: work.TaskID{Job: "gone"}, Run: 1, Kind: port.EndSucceeded}
	return event{kind: evReport, session: s, life: life, reply: port.HoldReply{Ended: []port.RunEnd{end}}}
}

func TestAnswerOfFormerLifeThatComesLateIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOne()
		hear := func(born int64, sentAt time.Duration) (int, bool) {
			return s.heard(port.WorkerClock{Now: time.Second, Born: born}, sentAt)
		}
		early := o.now()
		life, ok := hear(7, early)
		must.True(t, ok)
		must.EqOp(t, 0, life)
		time.Sleep(time.Second)
		life, ok = hear(9, early)
		must.True(t, ok)
		must.EqOp(t, 1, life)
		_, ok = hear(7, early)
		must.False(t, ok)
		time.Sleep(time.Second)
		life, ok = hear(8, o.now()) // the time of day went back before it was born
		must.True(t, ok)
		must.EqOp(t, 2, life)
	})
}

// A worker's new life numbers its ends from 1. If a report of the former one is
// taken in after the news of the next, the next one's ends pass for known, and
// are acknowledged without having counted (seed 5 of the fault tests).
func TestLivesAreTakenInInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOne()
		s.life = 1
		o.apply(t.Context(), event{kind: evReborn, session: s, life: 1})
		o.apply(t.Context(), report(s, 0, 23))
		must.EqOp(t, 0, o.planner.Acknowledgeable("w"))
		must.EqOp(t, 0, s.acknowledged)

		s.life = 2 // its report comes before the news of it
		o.apply(t.Context(), report(s, 2, 1))
		o.apply(t.Context(), event{kind: evReborn, session: s, life: 2})
		must.EqOp(t, 1, o.planner.Acknowledgeable("w"))
		must.EqOp(t, 1, s.acknowledged)

		s.life = 3 // what was stored of the former life acknowledges nothing here
		s.acknowledged = 0
		s.acknowledge(s.taken, 5)
		must.EqOp(t, 0, s.acknowledged)
	})
}

// A start is confirmed by a life of which the news comes later: the run is that
// life's, and its task runs nowhere else until its stop is confirmed (seed 5 of
// the fault tests).
func TestStartConfirmedByANewLifeIsNotLostWithTheFormerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOne()
		o.planner.PutWorker(work.Worker{ID: "other", Room: work.Resources{CPU: 1000}})
		for _, id := range []string{"w", "other"} {
			o.planner.Observe(o.now(), o.now(), id, port.HoldReply{})
		}
		steps := []work.Step{{Count: 1, Need: work.Resources{CPU: 1000}, Estimate: time.Second}}
		o.planner.AddJob(o.now(), 0, work.Record{State: work.Queued, Job: work.Job{ID: "a", MaxAttempts: 4, Steps: steps}}, false)
		start := o.planner.Plan(o.now())[0]
		if start.Worker != "w" {
			s = newSession(o, port.WorkerTarget{ID: start.Worker})
			o.sessions[start.Worker] = s
		}
		s.life = 1
		o.apply(t.Context(), event{kind: evStarted, session: s, life: 1, order: start})
		o.apply(t.Context(), event{kind: evReborn, session: s, life: 1})
		time.Sleep(time.Second)
		orders := o.planner.Plan(o.now())
		must.Len(t, 1, orders)
		must.EqOp(t, planner.OrderStop, orders[0].Kind)
		must.EqOp(t, start.Worker, orders[0].Worker)
	})
}

// A worker lists an end until it is acknowledged; it is counted once.
func TestEndListedAgainIsTakenInOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, s := ownerOfOne()
		ends := &endCounter{}
		o.deps.Observer = ends
		for range 3 {
			o.apply(t.Context(), report(s, 0, 1))
		}
		must.EqOp(t, 1, ends.n)
	})
}

type endCounter struct {
	NoObserver
	n int
}

func (c *endCounter) RunEnded(string) { c.n++ }
