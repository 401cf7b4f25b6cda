package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// epoch is the time of day at which the rig's clock reads 0.
const epoch = 1000 * time.Hour

// pass lets time go by, with plans each 100 ms, and returns the starts.
func (r *rig) pass(span time.Duration) []Order {
	var starts []Order
	for until := r.now + span; r.now < until; r.now += 100 * time.Millisecond {
		for _, o := range r.plan() {
			if o.Kind == OrderStart {
				starts = append(starts, o)
			}
		}
	}
	return starts
}

func (r *rig) scheduled(id string, count int, first, every time.Duration, steps ...work.Step) {
	rec := r.job(id, 0, steps...)
	rec.Job.Schedule = work.Schedule{Count: count, First: epoch + first, Every: every}
	r.add(rec)
}

func TestOccurrencesStartWhenDueAndMayOverlap(t *testing.T) {
	r := newRig(t, 1, 4)
	r.p.SetWallClock(0, epoch)
	r.scheduled("a", 3, 5*time.Second, 2*time.Second, step(1, 1, 10))
	must.SliceLen(t, 0, r.pass(3900*time.Millisecond)) // from 1 s on
	for k := range 3 {
		starts := r.pass(time.Second)
		must.SliceLen(t, 1, starts)
		must.EqOp(t, k, starts[0].Task.Occurrence)
		must.SliceLen(t, 0, r.pass(time.Second))
	}
	must.EqOp(t, 3, len(r.run))
}

func TestOccurrencesWaitUntilTheTimeOfDayIsKnown(t *testing.T) {
	r := newRig(t, 1, 4)
	r.scheduled("a", 1, 0, 0, step(1, 1, 1))
	must.SliceLen(t, 0, r.pass(2*time.Second))
	r.p.SetWallClock(r.now, epoch+r.now)
	must.SliceLen(t, 1, r.pass(200*time.Millisecond))
}

func TestStepsDependWithinTheirOccurrence(t *testing.T) {
	r := newRig(t, 1, 4)
	r.p.SetWallClock(0, epoch)
	second := step(1, 1, 1)
	second.After = []int{0}
	r.scheduled("a", 2, time.Second, time.Second, step(1, 1, 1), second)
	must.SliceLen(t, 2, r.pass(2*time.Second))
	r.end(work.TaskID{Job: "a", Occurrence: 1}, port.EndSucceeded)
	starts := r.pass(100 * time.Millisecond)
	must.SliceLen(t, 1, starts)
	must.Eq(t, work.TaskID{Job: "a", Occurrence: 1, Step: 1}, starts[0].Task)
}

func TestProgressOfOccurrencesIsTakenOver(t *testing.T) {
	r := newRig(t, 1, 4)
	r.p.SetWallClock(0, epoch)
	r.scheduled("a", 2, time.Second, time.Second, step(1, 1, 1))
	r.pass(2 * time.Second)
	r.end(work.TaskID{Job: "a", Occurrence: 1}, port.EndSucceeded)
	r.pass(100 * time.Millisecond)
	changed := r.p.TakeChanged()
	rec := changed[len(changed)-1]
	must.SliceLen(t, 2, rec.Steps)
	next := newRig(t, 1, 4)
	next.now = r.now
	next.p.SetWallClock(0, epoch)
	next.add(rec)
	starts := next.pass(time.Second)
	must.SliceLen(t, 1, starts)
	must.EqOp(t, 0, starts[0].Task.Occurrence)
}

func longLived(count, mayMiss int) work.Step {
	s := step(count, 8, 1)
	s.LongLived, s.MayMiss = true, mayMiss
	return s
}

func TestLongLivedTasksAreRestartedHoweverTheyEnd(t *testing.T) {
	for _, kind := range []port.EndKind{port.EndSucceeded, port.EndFailed, port.EndStopped, port.EndLeaseExpired} {
		t.Run(kind.String(), func(t *testing.T) {
			r := newRig(t, 1, 2)
			r.add(r.job("a", 0, longLived(1, 0)))
			must.SliceLen(t, 1, r.pass(100*time.Millisecond))
			for range 12 { // more often than the queue's attempts
				r.end(work.TaskID{Job: "a"}, kind)
				must.SliceLen(t, 1, r.pass(2500*time.Millisecond))
			}
			must.SliceLen(t, 1, r.p.open)
		})
	}
}

// Urgent work within its guarantee may stop as many long-lived tasks as their
// step may miss, and no more.
func TestReclaimKeepsWhatLongLivedStepsMayMiss(t *testing.T) {
	r := newRig(t, 1, 4)
	r.p.SetGuarantees([]work.Workspace{{Name: "ws", Guaranteed: 32}})
	rec := r.job("low", 2, longLived(4, 1))
	rec.Job.Workspace = "other"
	r.add(rec)
	must.SliceLen(t, 4, r.pass(100*time.Millisecond))
	for _, o := range r.run {
		r.p.Observe(r.now, r.now, o.Worker, port.HoldReply{Running: []port.RunState{{Task: o.Task, Run: o.Run, Percent: 100}}})
	}
	r.add(r.job("urgent-1", 0, step(1, 8, 1)))
	r.add(r.job("urgent-2", 0, step(1, 8, 1)))
	stops := 0
	for range 20 {
		for _, o := range r.plan() {
			if o.Kind == OrderStop {
				stops++
			}
		}
		r.now += 100 * time.Millisecond
	}
	must.EqOp(t, 1, stops)
}

func TestFillersAndServingTasksAreKeptApart(t *testing.T) {
	filler := step(1, 0, 60)
	filler.Fills, filler.Need.CPU = true, 0
	serving := longLived(1, 0)
	serving.Need.Accel, serving.TailTarget = 1, 100*time.Millisecond
	r := newRig(t, 1, 1)
	r.add(r.job("serve", 0, serving))
	must.SliceLen(t, 1, r.pass(100*time.Millisecond))
	r.add(r.job("fill", 2, filler))
	must.SliceLen(t, 0, r.pass(time.Second))

	r = newRig(t, 1, 1)
	r.add(r.job("fill", 2, filler))
	must.SliceLen(t, 1, r.pass(100*time.Millisecond))
	r.add(r.job("serve", 0, serving))
	orders := r.plan()
	must.SliceLen(t, 2, orders)
	must.EqOp(t, OrderStop, orders[0].Kind)
	must.EqOp(t, "serve", orders[1].Task.Job)
}

func TestServingTaskAndFillerOfOnePassAreKeptApart(t *testing.T) {
	filler := step(1, 0, 60)
	filler.Fills, filler.Need.CPU = true, 0
	serving := longLived(1, 0)
	serving.Need.Accel, serving.TailTarget = 1, 100*time.Millisecond
	r := newRig(t, 1, 1)
	r.add(r.job("fill", 2, filler))
	r.add(r.job("serve", 0, serving))
	must.SliceLen(t, 1, r.pass(100*time.Millisecond))
}

// ask answers the planner's next question: workers whose number is divisible by
// nth may run the step. It returns how many it was asked about.
func (r *rig) ask(validFor time.Duration) int { return r.askNth(validFor, 2) }

func (r *rig) askNth(validFor time.Duration, nth byte) int {
	q, ok := r.p.Question(r.now)
	if !ok {
		return 0
	}
	answer := port.Advice{Tickets: map[string]string{}, ValidFor: validFor}
	for _, id := range q.Workers {
		if (id[len(id)-1]-'0')%nth == 0 {
			answer.Tickets[id] = "t-" + id
		}
	}
	r.p.Advised(r.now, q, answer)
	return len(q.Workers)
}

func (r *rig) advised(id string, steps ...work.Step) {
	rec := r.job(id, 0, steps...)
	rec.Job.Advised = true
	r.add(rec)
}

func TestAdvisedStepStartsOnlyWhereItHasATicket(t *testing.T) {
	r := newRig(t, 2, 10)
	r.advised("a", gangOf(4, 8, 5))
	must.SliceLen(t, 0, r.pass(100*time.Millisecond))
	must.EqOp(t, fewestAsked, r.ask(time.Minute))
	starts := r.pass(100 * time.Millisecond)
	must.SliceLen(t, 4, starts)
	for _, o := range starts {
		must.EqOp(t, "t-"+o.Worker, o.Ticket)
	}
	r.pass(100 * time.Millisecond)
	must.EqOp(t, 0, r.ask(time.Minute))
}

func TestMoreWorkersAreAskedAboutWhileTooFewMayRunTheStep(t *testing.T) {
	r := newRig(t, 2, 10)
	r.advised("a", gangOf(4, 8, 5)) // four of twenty may run it
	asked := 0
	for range 5 {
		if len(r.pass(100*time.Millisecond)) > 0 {
			break
		}
		asked += r.askNth(time.Minute, 5)
	}
	must.EqOp(t, 4, len(r.run))
	must.EqOp(t, 2*fewestAsked, asked)
}

func TestTicketsEndWithTheirTimeAndWithTheWorkersLife(t *testing.T) {
	r := newRig(t, 1, 2)
	r.advised("a", step(1, 8, 5))
	r.pass(100 * time.Millisecond)
	must.EqOp(t, 2, r.ask(time.Second))
	r.now += time.Second
	must.SliceLen(t, 0, r.pass(100*time.Millisecond))
	must.EqOp(t, 1, r.ask(time.Minute)) // not the one that may not run it
	r.p.Reborn(r.now, "w00")
	r.p.Observe(r.now, r.now, "w00", port.HoldReply{})
	must.SliceLen(t, 0, r.pass(100*time.Millisecond))
	must.EqOp(t, 1, r.ask(time.Minute))
	must.SliceLen(t, 1, r.pass(100*time.Millisecond))
}

func TestRejectedTicketIsAskedForAnew(t *testing.T) {
	r := newRig(t, 1, 1)
	r.add(r.job("a", 0, step(1, 8, 5))) // its queue has gained a policy since
	o := r.p.Plan(r.now)[0]
	r.p.Started(r.now, o.Worker, o.Task, o.Run, port.RejectedTicket)
	r.now += time.Second
	must.SliceLen(t, 0, r.pass(100*time.Millisecond))
	must.EqOp(t, 1, r.ask(time.Minute))
	starts := r.pass(100 * time.Millisecond)
	must.SliceLen(t, 1, starts)
	must.EqOp(t, "t-w00", starts[0].Ticket)
}

func TestWorkerIsTrustedAgainWithItsFirstSuccess(t *testing.T) {
	r := newRig(t, 1, 1)
	for _, id := range []string{"a", "b", "c"} {
		r.add(r.job(id, 0, step(1, 8, 1)))
		kind := port.EndFailed
		if id == "c" {
			kind = port.EndSucceeded
			r.now += firstQuarantine
		}
		r.pass(100 * time.Millisecond)
		r.end(work.TaskID{Job: id}, kind)
		r.p.Cancel(id, r.now)
	}
	var told []string
	for _, n := range r.p.TakeNotes() {
		if n.Event == EventWorkerQuarantined || n.Event == EventWorkerTrusted {
			told = append(told, n.Event)
		}
	}
	must.Eq(t, []string{EventWorkerQuarantined, EventWorkerTrusted}, told)
}
