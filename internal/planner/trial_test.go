package planner

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

func (h *harness) try(rec work.Record) dryrun.Answer {
	h.t.Helper()
	answer, err := h.p.Try(h.now, rec)
	must.NoError(h.t, err)
	return answer
}

// sorted returns the texts of a list in order, since the runs of a gang have none.
func sorted[T any](list []T) []string {
	out := make([]string, len(list))
	for i, e := range list {
		out[i] = fmt.Sprintf("%+v", e)
	}
	slices.Sort(out)
	return out
}

// Guards against a query that changes anything: a planner that is asked all the time must
// give the same orders, records and log entries as one that isn't.
func TestQueriesChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawJob := func(id string) work.Record {
			s := step(rapid.IntRange(1, 6).Draw(rt, "tasks"), rapid.SampledFrom([]int64{0, 1, 4, 8}).Draw(rt, "accelerators"), rapid.Float64Range(0.1, 20).Draw(rt, "seconds"))
			s.Gang, s.SameRack = rapid.Bool().Draw(rt, "gang"), rapid.Bool().Draw(rt, "rack")
			s.MaxPerWorker = rapid.IntRange(0, 2).Draw(rt, "limit")
			s.BestEffort = rapid.IntRange(0, 9).Draw(rt, "best effort") == 0
			follows := step(1, 1, 1)
			follows.After = []int{0}
			rec := (&harness{}).job(id, rapid.IntRange(0, 2).Draw(rt, "priority"), s, follows)
			rec.Job.PolicyControlled = rapid.IntRange(0, 9).Draw(rt, "policy") == 0
			return rec
		}
		asked, alone := newZonedHarness(t, 2, 3), newZonedHarness(t, 2, 3)
		for i := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			rec, query := drawJob(fmt.Sprint("j", i)), drawJob("query")
			evacuate := rapid.IntRange(0, 7).Draw(rt, "evacuate") == 0
			pause := time.Duration(rapid.IntRange(10, 3000).Draw(rt, "pause ms")) * time.Millisecond
			ends := rapid.Bool().Draw(rt, "ends")
			var results [2]string
			for k, h := range []*harness{asked, alone} {
				h.add(rec)
				if evacuate {
					h.p.SetEvacuated([]string{"z0"})
				}
				if h == asked {
					h.try(query)
				}
				orders := h.plan()
				if h == asked {
					h.try(query)
				}
				for _, o := range orders {
					if _, running := h.runs[o.Task]; running && ends && o.Kind == OrderStart {
						h.endRun(o.Task, port.ResultSucceeded)
					}
				}
				h.endStopping()
				h.now += pause
				results[k] = fmt.Sprintf("%v %+v %v %v %v", sorted(orders), h.p.TakeChanged(), sorted(h.p.TakeLogEntries()), h.p.nextRank, h.p.urgentDemand)
			}
			must.EqOp(rt, results[1], results[0])
		}
	})
}

// Guards against an answer that differs from what a pass does with the job, for jobs that
// start and jobs that start in part.
func TestAnswerIsThePlacementOfTheNextPass(t *testing.T) {
	h := newZonedHarness(t, 2, 2)
	h.add(h.job("before", 1, step(3, 4, 60)))
	h.plan()
	for _, rec := range []work.Record{h.job("gang", 1, gangOf(2, 4, 5)), h.job("singles", 1, step(9, 4, 5))} {
		answer := h.try(rec)
		h.add(rec)
		placed := map[string]int{}
		for _, o := range h.plan() {
			placed[o.Worker]++
		}
		tasks := map[string]int{}
		for _, w := range answer.Workers {
			tasks[w.ID] = w.Tasks
			must.EqOp(t, h.p.workers[w.ID].info.Rack, w.Rack)
			must.EqOp(t, h.p.workers[w.ID].info.Zone, w.Domain)
			must.EqOp(t, 1, w.TimeFactor)
		}
		must.MapEq(t, placed, tasks, must.Sprint(rec.Job.ID))
		if rec.Job.ID == "gang" {
			must.EqOp(t, dryrun.Start, answer.Verdict)
			must.EqOp(t, 5300, answer.ExpectedEndMs)
			must.EqOp(t, 16000, answer.ObjectiveMs)
			continue
		}
		must.EqOp(t, dryrun.Wait, answer.Verdict)
		must.EqOp(t, 3, answer.Placed)
		must.EqOp(t, 9, answer.Tasks)
		must.EqOp(t, "no room", answer.Cause)
		must.EqOp(t, 0, answer.ExpectedEndMs)
	}
}

// Guards against an answer that names other victims than those that are stopped.
func TestAnswerNamesTheVictims(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.add(h.job("cheap", 2, step(2, 8, 60)))
	h.plan()
	h.now += time.Second
	urgent := h.job("urgent", 0, step(1, 8, 30))
	answer := h.try(urgent)
	must.EqOp(t, dryrun.Preempt, answer.Verdict)
	must.Len(t, 1, answer.Victims)
	must.Greater(t, 0, answer.Cost)
	must.EqOp(t, "cheap", answer.Victims[0].Job)
	must.EqOp(t, 2, answer.Victims[0].Priority)
	h.add(urgent)
	orders := h.plan()
	must.Len(t, 1, orders)
	must.EqOp(t, OrderStop, orders[0].Kind)
	must.Eq(t, []string{orders[0].Worker}, answer.Victims[0].Workers)
	must.EqOp(t, orders[0].Worker, answer.Workers[0].ID)
}

// Guards against an answer without the reason of the wait.
func TestAnswerTellsWhyTheJobWaits(t *testing.T) {
	h := newZonedHarness(t, 2, 1)
	h.p.SetEvacuated([]string{"z1"})
	answer := h.try(h.job("gang", 1, gangOf(2, 8, 5)))
	must.EqOp(t, dryrun.Wait, answer.Verdict)
	must.EqOp(t, CauseEvacuated, answer.Cause)
	must.Eq(t, []string{"z1"}, answer.EvacuatedDomains)

	scheduled := h.job("scheduled", 1, step(1, 1, 1))
	scheduled.Job.Schedule = work.Schedule{Count: 1, First: time.Hour}
	must.EqOp(t, "not due", h.try(scheduled).Cause)
	h.p.SetWallClock(h.now, 0)
	must.EqOp(t, "not due", h.try(scheduled).Cause)

	controlled := h.job("controlled", 1, step(1, 1, 1))
	controlled.Job.PolicyControlled = true
	answer = h.try(controlled)
	must.EqOp(t, "no policy decision", answer.Cause)
	must.True(t, strings.HasSuffix(answer.Detail, "1 no ticket"), must.Sprint(answer.Detail))

	h.p.Recover(h.now+time.Second, false)
	must.EqOp(t, "recovery", h.try(h.job("new", 1, step(1, 1, 1))).Cause)
}

// Guards against a query that exhausts the owner's memory or panics.
func TestUnplannableQueryFails(t *testing.T) {
	_, err := newHarness(t, 1, 1).p.Try(time.Second, work.Record{Job: work.Job{Steps: []work.Step{{Count: work.MaxTasks + 1}}}})
	must.True(t, fault.Is(err, fault.Invalid))
}
