package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/utility"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// newcomerWait returns the forecast for a job of mean size that would arrive now.
func (h *harness) newcomerWait(priority int, s work.Step) time.Duration {
	f := h.p.Forecast(h.now)
	return f.Wait(&s, priority, utility.Job{Priority: priority, Size: 1}.Rank())
}

// fill adds jobs of a priority, whose objective allows them to wait for long.
func (h *harness) fill(priority, jobs int, s work.Step) {
	for k := range jobs {
		rec := h.job(fmt.Sprintf("p%d-%d", priority, k), priority, s)
		rec.Job.Stretch = 1000
		h.add(rec)
	}
	h.plan()
}

// Guards against refusals while nothing waits or while the pool is merely full.
func TestNoForecastUnlessWorkWaits(t *testing.T) {
	h := newHarness(t, 1, 4)
	must.SliceEmpty(t, h.p.Forecast(h.now).Bounds)
	h.fill(1, 4, gangOf(1, 8, 60))
	must.SliceEmpty(t, h.p.Forecast(h.now).Bounds)
}

// The load is a queue of urgent work that takes 20 rounds on all workers. Jobs of lower
// priority wait for all of it, urgent ones of the same size for none that they outrank, and
// jobs without need of the scarcest resource for none.
func TestForecastCountsOnlyWhatGoesBefore(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.fill(0, 4*21, step(1, 8, 19))
	batch := h.newcomerWait(1, step(1, 8, 5))
	must.EqOp(t, 147*time.Second, batch.Round(time.Second)) // 21 rounds of 19 s x 0.7 / 1.9
	must.GreaterEq(t, batch, h.newcomerWait(2, step(1, 8, 5)))
	must.EqOp(t, 0, h.newcomerWait(1, step(1, 1, 5))) // might use what is too small for the others
	must.EqOp(t, 0, h.newcomerWait(1, step(1, 0, 5)))
	f := h.p.Forecast(h.now)
	must.EqOp(t, work.Accelerators, f.Scarcest)
	must.EqOp(t, 0, f.Wait(&h.job("x", 1, step(1, 8, 5)).Job.Steps[0], 0, utility.Job{Size: 0.001}.Rank()))
}

// Guards against refusals of urgent jobs that could preempt: work of lower priorities
// never counts for them.
func TestForecastOfUrgentJobsIgnoresWorkThatTheyMayPreempt(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.fill(1, 100, step(1, 8, 60))
	must.EqOp(t, 0, h.newcomerWait(0, step(1, 8, 5)))
}

// Guards against counting work that the planner will rank behind the new job: waiting
// urgent work that is about to be overdue blocks nobody for longer.
func TestForecastDropsWorkThatWillBeOverdue(t *testing.T) {
	h := newHarness(t, 1, 4)
	for k := range 200 {
		h.add(h.job(fmt.Sprint(k), 0, step(1, 8, 19))) // useful up to 3 * (3 * 19 + 1) s
	}
	h.plan()
	wait := h.newcomerWait(1, step(1, 8, 5))
	must.LessEq(t, 3*58*time.Second+10*time.Second, wait)
	must.Greater(t, 0, wait)
}

// Guards against a long forecast while workers are silent for some seconds, and against
// one that counts on workers that get no more work.
func TestForecastCountsWorkersThatMayReturn(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.fill(0, 100, step(1, 8, 19))
	whole := h.newcomerWait(1, step(1, 8, 5))
	for _, id := range []string{"w00", "w01", "w02"} {
		h.p.SetReachable(id, false)
	}
	must.EqOp(t, whole, h.newcomerWait(1, step(1, 8, 5)))
	for _, id := range []string{"w00", "w01"} {
		info, _ := h.p.Worker(id)
		info.Draining = true
		h.p.PutWorker(info)
	}
	must.Greater(t, whole*3/2, h.newcomerWait(1, step(1, 8, 5)))
}

// Guards against a bound above the time that the planner takes. The estimates of the jobs
// ahead are 1.9 times too long and it runs on the fastest workers, so the bound has no reserve
// left.
func TestForecastIsALowerBound(t *testing.T) {
	for _, gang := range []int{1, 4, 16} {
		h := newHarness(t, 4, 4)
		const estimate = 3.8
		runTime := time.Duration(estimate * work.ShortestRun * float64(time.Second))
		for k := range 60 {
			rec := h.job(fmt.Sprintf("a%d", k), 0, gangOf(1+k*7%gang, 8, estimate))
			rec.Job.Stretch = 20
			h.add(rec)
		}
		h.plan()
		newcomer := h.job("n", 1, gangOf(gang, 8, 1))
		bound := h.newcomerWait(1, newcomer.Job.Steps[0])
		must.Positive(t, bound)
		h.add(newcomer)
		arrived, ends := h.now, map[work.TaskID]time.Duration{}
		for len(h.p.jobs["n"].units[0].runs) == 0 {
			for task := range h.runs {
				if ends[task] == 0 {
					ends[task] = h.now + runTime
				}
			}
			h.now += 100 * time.Millisecond
			for task, at := range ends {
				if _, running := h.runs[task]; running && h.now >= at {
					h.endRun(task, port.ResultSucceeded)
				}
			}
			h.plan()
			must.Less(t, time.Hour, h.now)
		}
		must.GreaterEq(t, bound, h.now-arrived, must.Sprint("gang of ", gang))
	}
}

// Guards against counting units that a smaller one, or one that may use several racks,
// starts before: they don't fit where it does.
func TestForecastDropsUnitsThatOthersPass(t *testing.T) {
	for name, passed := range map[string]work.Step{"larger": gangOf(4, 8, 190), "one rack": gangOf(2, 8, 190)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2, 4)
			passed.SameRack = name == "one rack"
			for k := range 60 {
				s := gangOf(2, 8, 3.8)
				if k%6 == 0 {
					s = passed
				}
				rec := h.job(fmt.Sprint(k), 0, s)
				rec.Job.Stretch = 1000
				h.add(rec)
			}
			h.plan()
			must.Less(t, 28*time.Second, h.newcomerWait(1, gangOf(2, 8, 5))) // 50 units, 4 at a time, of 1.4 s
			must.Positive(t, h.newcomerWait(1, gangOf(2, 8, 5)))
			must.GreaterEq(t, 140*time.Second, h.newcomerWait(1, passed)) // 10 units, 2 or 4 at a time, of 70 s
		})
	}
}

// Guards against a time left that is above the true one: the start of the task takes part
// of the first percents, which come in whole numbers and late.
func TestShortestTimeLeftOfARunIsALowerBound(t *testing.T) {
	for _, estimate := range []float64{0.5, 3.8, 19} {
		h := newHarness(t, 1, 1)
		h.add(h.job("a", 0, step(1, 8, estimate)))
		h.plan()
		r := h.p.jobs["a"].units[0].runs[0]
		const startup, late = 400 * time.Millisecond, 300 * time.Millisecond
		began, takes := h.now+startup, time.Duration(estimate*work.ShortestRun*float64(time.Second))
		for ; h.now < began+takes; h.now += 50 * time.Millisecond {
			percent := max(int(100*(h.now-late-began)/takes), 0)
			h.p.HandleReport(h.now, h.now, "w00", port.HoldReply{Running: []port.RunState{{Task: r.task, Run: r.number, ProgressPercent: percent}}})
			must.LessEq(t, began+takes-h.now, r.shortestLeft(h.now), must.Sprint("percent: ", percent))
		}
	}
}

// Guards against forecasts of an owner that doesn't know yet what runs.
func TestNoForecastDuringRecovery(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.fill(0, 100, step(1, 8, 19))
	h.p.Recover(h.now+time.Hour, false)
	must.SliceEmpty(t, h.p.Forecast(h.now).Bounds)
}

func BenchmarkForecast350Workers2000Jobs(b *testing.B) {
	p, now := overloadedPlanner(350, 2000)
	for b.Loop() {
		p.Forecast(now)
	}
}
