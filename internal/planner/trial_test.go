package planner

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

func (h *harness) try(rec work.Record) dryrun.Answer {
	answer, err := h.p.Try(h.now, rec)
	must.NoError(h.t, err)
	return answer
}

// dumper writes a value with all that it refers to. Equal texts mean equal states.
type dumper struct {
	strings.Builder
	seen map[unsafe.Pointer]int // number of each pointer that is written
}

func (d *dumper) dump(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		number, seen := d.seen[v.UnsafePointer()]
		if !seen && !v.IsNil() {
			number = len(d.seen)
			d.seen[v.UnsafePointer()] = number
			d.dump(v.Elem())
		}
		fmt.Fprintf(d, "&%d %t ", number, v.IsNil())
	case reflect.Struct:
		for i := range v.NumField() {
			d.dump(v.Field(i))
		}
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, k := range keys {
			fmt.Fprintf(d, "[%v] ", k)
			d.dump(v.MapIndex(k))
		}
	case reflect.Slice:
		fmt.Fprintf(d, "%d ", v.Len())
		for i := range v.Len() {
			d.dump(v.Index(i))
		}
	default:
		fmt.Fprintf(d, "%v ", v)
	}
}

// Guards against a query that changes anything: the planner's whole state, on which alone
// its next plans depend, must be the same after it, whether a pass is due or has just run.
// Plans of two planners can't be compared, as the choice among equals is arbitrary.
func TestQueriesChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawJob := func(id string) work.Record {
			s := step(rapid.IntRange(1, 6).Draw(rt, "tasks"), rapid.SampledFrom([]int64{0, 1, 4, 8}).Draw(rt, "accelerators"), rapid.Float64Range(0.1, 20).Draw(rt, "seconds"))
			s.Gang, s.SameRack = rapid.Bool().Draw(rt, "gang"), rapid.Bool().Draw(rt, "rack")
			s.MaxPerWorker, s.BestEffort = rapid.IntRange(0, 2).Draw(rt, "limit"), rapid.IntRange(0, 9).Draw(rt, "best effort") == 0
			follows := step(1, 1, 1)
			follows.After = []int{0}
			rec := (&harness{}).job(id, rapid.IntRange(0, 2).Draw(rt, "priority"), s, follows)
			rec.Job.PolicyControlled = rapid.IntRange(0, 9).Draw(rt, "policy") == 0
			return rec
		}
		h := newZonedHarness(t, 2, 3)
		unchanged := func(query work.Record) {
			before, after := dumper{seen: map[unsafe.Pointer]int{}}, dumper{seen: map[unsafe.Pointer]int{}}
			before.dump(reflect.ValueOf(h.p))
			h.try(query)
			after.dump(reflect.ValueOf(h.p))
			must.EqOp(rt, before.String(), after.String())
		}
		for i := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			h.add(drawJob(fmt.Sprint("j", i)))
			query := drawJob("query")
			if rapid.IntRange(0, 7).Draw(rt, "evacuate") == 0 {
				h.p.SetEvacuated([]string{"z0"})
			}
			unchanged(query)
			orders := h.plan()
			unchanged(query)
			if rapid.Bool().Draw(rt, "ends") {
				for _, o := range orders {
					if _, running := h.runs[o.Task]; running && o.Kind == OrderStart {
						h.endRun(o.Task, port.ResultSucceeded)
					}
				}
			}
			h.endStopping()
			h.now += time.Duration(rapid.IntRange(10, 3000).Draw(rt, "pause ms")) * time.Millisecond
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
			must.Eq(t, [2]string{h.p.workers[w.ID].info.Rack, h.p.workers[w.ID].info.Zone}, [2]string{w.Rack, w.Domain})
		}
		must.MapEq(t, placed, tasks, must.Sprint(rec.Job.ID))
		if rec.Job.ID == "gang" {
			must.EqOp(t, dryrun.Start, answer.Verdict)
			must.Eq(t, [2]int64{5300, 16000}, [2]int64{answer.ExpectedEndMs, answer.ObjectiveMs})
			continue
		}
		must.Eq(t, [2]string{string(dryrun.Wait), "no room"}, [2]string{string(answer.Verdict), answer.Cause})
		must.Eq(t, [3]int{3, 9, 0}, [3]int{answer.Placed, answer.Tasks, int(answer.ExpectedEndMs)})
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
	must.Greater(t, 0, answer.Cost)
	h.add(urgent)
	orders := h.plan()
	must.Len(t, 1, orders)
	must.EqOp(t, OrderStop, orders[0].Kind)
	must.Eq(t, []dryrun.Victim{{Job: "cheap", Priority: 2, Workers: []string{orders[0].Worker}, Cost: answer.Cost}}, answer.Victims)
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
	special := h.job("special", 1, step(1, 1, 1))
	special.Job.PolicyControlled = true
	must.EqOp(t, "no policy decision", h.try(special).Cause)
	special.Job.Schedule = work.Schedule{Count: 1, First: time.Hour}
	must.EqOp(t, "not due", h.try(special).Cause)
	for _, tasks := range []int{0, work.MaxTasks + 1} { // without tasks, or more than memory holds
		_, err := h.p.Try(h.now, h.job("invalid", 1, step(tasks, 1, 1)))
		must.True(t, fault.Is(err, fault.Invalid))
	}
	h.p.Recover(h.now+time.Second, false)
	must.EqOp(t, "recovery", h.try(h.job("new", 1, step(1, 1, 1))).Cause)
}
