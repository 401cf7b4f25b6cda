package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// wallOffset is the wall clock minus the harness's clock.
const wallOffset = 1000 * time.Hour

// advance runs a pass every 100 ms for the given time and returns the starts.
func (h *harness) advance(span time.Duration) []Order {
	var starts []Order
	for until := h.now + span; h.now < until; h.now += 100 * time.Millisecond {
		for _, o := range h.plan() {
			if o.Kind == OrderStart {
				starts = append(starts, o)
			}
		}
	}
	return starts
}

func (h *harness) addScheduled(id string, count int, first, every time.Duration, steps ...work.Step) {
	rec := h.job(id, 0, steps...)
	rec.Job.Schedule = work.Schedule{Count: count, First: wallOffset + first, Every: every}
	h.add(rec)
}

func TestOccurrencesStartWhenDueAndMayOverlap(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.p.SetWallClock(0, wallOffset)
	r.addScheduled("a", 3, 5*time.Second, 2*time.Second, step(1, 1, 10))
	must.SliceLen(t, 0, r.advance(3900*time.Millisecond)) // from 1 s to 4.9 s on the harness's clock
	for k := range 3 {
		starts := r.advance(time.Second)
		must.SliceLen(t, 1, starts)
		must.EqOp(t, k, starts[0].Task.Occurrence)
		must.SliceLen(t, 0, r.advance(time.Second))
	}
	must.EqOp(t, 3, len(r.runs))
}

func TestOccurrencesWaitForTheWallClock(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.addScheduled("a", 1, 0, 0, step(1, 1, 1))
	must.SliceLen(t, 0, r.advance(2*time.Second))
	r.p.SetWallClock(r.now, wallOffset+r.now)
	must.SliceLen(t, 1, r.advance(200*time.Millisecond))
}

func TestStepDependenciesStayWithinAnOccurrence(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.p.SetWallClock(0, wallOffset)
	second := step(1, 1, 1)
	second.After = []int{0}
	r.addScheduled("a", 2, time.Second, time.Second, step(1, 1, 1), second)
	must.SliceLen(t, 2, r.advance(2*time.Second))
	r.endRun(work.TaskID{Job: "a", Occurrence: 1}, port.ResultSucceeded)
	starts := r.advance(100 * time.Millisecond)
	must.SliceLen(t, 1, starts)
	must.Eq(t, work.TaskID{Job: "a", Occurrence: 1, Step: 1}, starts[0].Task)
}

func TestNewOwnerKeepsProgressOfOccurrences(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.p.SetWallClock(0, wallOffset)
	r.addScheduled("a", 2, time.Second, time.Second, step(1, 1, 1))
	r.advance(2 * time.Second)
	r.endRun(work.TaskID{Job: "a", Occurrence: 1}, port.ResultSucceeded)
	r.advance(100 * time.Millisecond)
	changed := r.p.TakeChanged()
	rec := changed[len(changed)-1]
	must.SliceLen(t, 2, rec.Steps)
	next := newHarness(t, 1, 4)
	next.now = r.now
	next.p.SetWallClock(0, wallOffset)
	next.add(rec)
	starts := next.advance(time.Second)
	must.SliceLen(t, 1, starts)
	must.EqOp(t, 0, starts[0].Task.Occurrence)
}

func longLived(count, maxUnavailable int) work.Step {
	s := step(count, 8, 1)
	s.LongLived, s.MaxUnavailable = true, maxUnavailable
	return s
}

func TestLongLivedTasksRestartAfterAnyResult(t *testing.T) {
	for _, kind := range []port.ResultKind{port.ResultSucceeded, port.ResultFailed, port.ResultStopped, port.ResultLeaseExpired} {
		t.Run(kind.String(), func(t *testing.T) {
			r := newHarness(t, 1, 2)
			r.add(r.job("a", 0, longLived(1, 0)))
			must.SliceLen(t, 1, r.advance(100*time.Millisecond))
			for range 12 { // more often than MaxAttempts
				r.endRun(work.TaskID{Job: "a"}, kind)
				must.SliceLen(t, 1, r.advance(2500*time.Millisecond))
			}
			must.SliceLen(t, 1, r.p.jobsByArrival)
		})
	}
}

// Guards against a reclaim that stops more long-lived tasks than their step
// allows. Two urgent jobs within their guarantee each need a worker, and one task
// of the step may be stopped.
func TestReclaimRespectsDisruptionLimitOfLongLivedStep(t *testing.T) {
	r := newHarness(t, 1, 4)
	r.p.SetGuarantees([]work.Workspace{{Name: "ws", GuaranteedAccelerators: 32}})
	rec := r.job("low", 2, longLived(4, 1))
	rec.Job.Workspace = "other"
	r.add(rec)
	must.SliceLen(t, 4, r.advance(100*time.Millisecond))
	for _, o := range r.runs {
		r.p.HandleReport(r.now, r.now, o.Worker, port.HoldReply{Running: []port.RunState{{Task: o.Task, Run: o.Run, ProgressPercent: 100}}})
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

func TestBestEffortAndServingTasksDoNotShareAWorker(t *testing.T) {
	bestEffort := step(1, 0, 60)
	bestEffort.BestEffort, bestEffort.Need.CPU = true, 0
	serving := longLived(1, 0)
	serving.Need.Accel, serving.TailLatencyTarget = 1, 100*time.Millisecond
	r := newHarness(t, 1, 1)
	r.add(r.job("serve", 0, serving))
	must.SliceLen(t, 1, r.advance(100*time.Millisecond))
	r.add(r.job("best-effort", 2, bestEffort))
	must.SliceLen(t, 0, r.advance(time.Second))

	r = newHarness(t, 1, 1)
	r.add(r.job("best-effort", 2, bestEffort))
	must.SliceLen(t, 1, r.advance(100*time.Millisecond))
	r.add(r.job("serve", 0, serving))
	orders := r.plan()
	must.SliceLen(t, 2, orders)
	must.EqOp(t, OrderStop, orders[0].Kind)
	must.EqOp(t, "serve", orders[1].Task.Job)
}

func TestBestEffortAndServingTasksOfOnePassDoNotShareAWorker(t *testing.T) {
	bestEffort := step(1, 0, 60)
	bestEffort.BestEffort, bestEffort.Need.CPU = true, 0
	serving := longLived(1, 0)
	serving.Need.Accel, serving.TailLatencyTarget = 1, 100*time.Millisecond
	r := newHarness(t, 1, 1)
	r.add(r.job("best-effort", 2, bestEffort))
	r.add(r.job("serve", 0, serving))
	must.SliceLen(t, 1, r.advance(100*time.Millisecond))
}

// answerQuery answers the planner's next policy query: workers with even numbers
// may run the step. It returns the number of workers in the query.
func (h *harness) answerQuery(validFor time.Duration) int { return h.answerQueryFor(validFor, 2) }

// answerQueryFor answers the planner's next policy query: workers whose last digit
// is divisible by divisor may run the step. It returns the number of workers in
// the query.
func (h *harness) answerQueryFor(validFor time.Duration, divisor byte) int {
	q, ok := h.p.NextPolicyQuery(h.now)
	if !ok {
		return 0
	}
	decision := port.PolicyDecision{Tickets: map[string]string{}, ValidFor: validFor}
	for _, id := range q.Workers {
		if (id[len(id)-1]-'0')%divisor == 0 {
			decision.Tickets[id] = "t-" + id
		}
	}
	h.p.HandlePolicyDecision(h.now, q, decision)
	return len(q.Workers)
}

func (h *harness) addPolicyJob(id string, steps ...work.Step) {
	rec := h.job(id, 0, steps...)
	rec.Job.PolicyControlled = true
	h.add(rec)
}

func TestPolicyControlledStepStartsOnlyOnWorkersWithTickets(t *testing.T) {
	r := newHarness(t, 2, 10)
	r.addPolicyJob("a", gangOf(4, 8, 5))
	must.SliceLen(t, 0, r.advance(100*time.Millisecond))
	must.EqOp(t, minQueryWorkers, r.answerQuery(time.Minute))
	starts := r.advance(100 * time.Millisecond)
	must.SliceLen(t, 4, starts)
	for _, o := range starts {
		must.EqOp(t, "t-"+o.Worker, o.Ticket)
	}
	r.advance(100 * time.Millisecond)
	must.EqOp(t, 0, r.answerQuery(time.Minute))
}

func TestQueriesContinueUntilEnoughWorkersMayRunTheStep(t *testing.T) {
	r := newHarness(t, 2, 10)
	r.addPolicyJob("a", gangOf(4, 8, 5)) // four of twenty workers may run it
	asked := 0
	for range 5 {
		if len(r.advance(100*time.Millisecond)) > 0 {
			break
		}
		asked += r.answerQueryFor(time.Minute, 5)
	}
	must.EqOp(t, 4, len(r.runs))
	must.EqOp(t, 2*minQueryWorkers, asked)
}

func TestTicketsExpireAndDoNotOutliveAWorkerRestart(t *testing.T) {
	r := newHarness(t, 1, 2)
	r.addPolicyJob("a", step(1, 8, 5))
	r.advance(100 * time.Millisecond)
	must.EqOp(t, 2, r.answerQuery(time.Second))
	r.now += time.Second
	must.SliceLen(t, 0, r.advance(100*time.Millisecond))
	must.EqOp(t, 1, r.answerQuery(time.Minute)) // only the worker with the expired ticket; the other may not run the step
	r.p.WorkerRestarted(r.now, "w00")
	r.p.HandleReport(r.now, r.now, "w00", port.HoldReply{})
	described, _ := r.p.Worker("w00")
	r.p.PutWorker(described)
	must.SliceLen(t, 0, r.advance(100*time.Millisecond))
	must.EqOp(t, 1, r.answerQuery(time.Minute))
	must.SliceLen(t, 1, r.advance(100*time.Millisecond))
}

func TestRejectedTicketIsRequestedAgain(t *testing.T) {
	r := newHarness(t, 1, 1)
	r.add(r.job("a", 0, step(1, 8, 5))) // the queue becomes policy-controlled later
	o := r.p.Plan(r.now)[0]
	r.p.StartAnswered(r.now, o.Worker, o.Task, o.Run, port.RejectedTicket)
	r.now += time.Second
	must.SliceLen(t, 0, r.advance(100*time.Millisecond))
	must.EqOp(t, 1, r.answerQuery(time.Minute))
	starts := r.advance(100 * time.Millisecond)
	must.SliceLen(t, 1, starts)
	must.EqOp(t, "t-w00", starts[0].Ticket)
}

func TestFirstSuccessAfterQuarantineRestoresTrust(t *testing.T) {
	r := newHarness(t, 1, 1)
	for _, id := range []string{"a", "b", "c"} {
		r.add(r.job(id, 0, step(1, 8, 1)))
		kind := port.ResultFailed
		if id == "c" {
			kind = port.ResultSucceeded
			r.now += firstQuarantine
		}
		r.advance(100 * time.Millisecond)
		r.endRun(work.TaskID{Job: id}, kind)
		r.p.Cancel(id, r.now)
	}
	var events []string
	for _, entry := range r.p.TakeLogEntries() {
		if entry.Event == EventWorkerQuarantined || entry.Event == EventWorkerTrusted {
			events = append(events, entry.Event)
		}
	}
	must.Eq(t, []string{EventWorkerQuarantined, EventWorkerTrusted}, events)
}
