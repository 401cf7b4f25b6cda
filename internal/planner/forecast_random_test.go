package planner

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/utility"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// randomLoad plays random jobs on a harness. Estimates are wrong as submitters' are: the
// run times are between 1/1.9 and 1.9 of them, and 3 in 100 tasks take 7 times as long.
type randomLoad struct {
	*harness
	rng    *rand.Rand
	jobs   int
	begins map[work.TaskID]time.Duration
	ends   map[work.TaskID]time.Duration
}

func (l *randomLoad) arrive(priority int) work.Record {
	l.jobs++
	s := step(1+l.rng.IntN(4), []int64{1, 2, 4, 8}[l.rng.IntN(4)], 1+4*l.rng.ExpFloat64())
	s.Gang = l.rng.IntN(2) == 0
	s.SameRack = s.Gang && l.rng.IntN(2) == 0
	rec := l.job(fmt.Sprint("j", l.jobs), priority, s)
	rec.Job.Stretch = 1 + 4*l.rng.Float64()
	l.add(rec)
	return rec
}

// tasks returns the running tasks in a fixed order, so that a seed gives one load.
func (l *randomLoad) tasks() []work.TaskID {
	return slices.SortedFunc(maps.Keys(l.runs), func(a, b work.TaskID) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
}

// pass lets 100 ms pass.
func (l *randomLoad) pass() {
	l.now += 100 * time.Millisecond
	for _, task := range l.tasks() {
		if l.ends[task] == 0 {
			factor := 1/1.9 + l.rng.Float64()*(1.9-1/1.9)
			if l.rng.IntN(100) < 3 {
				factor *= 7
			}
			l.begins[task] = l.now
			l.ends[task] = l.now + time.Duration(factor*float64(l.p.jobs[task.Job].rec.Job.Steps[0].Estimate))
		}
	}
	for _, task := range l.tasks() {
		if l.now >= l.ends[task] {
			l.finish(task, port.ResultSucceeded)
		}
	}
	l.reportProgress()
	for _, o := range l.plan() {
		if _, running := l.runs[o.Task]; running && o.Kind == OrderStop {
			l.finish(o.Task, port.ResultLeaseExpired)
		}
	}
	l.p.DropEndedJobs()
}

// reportProgress reports the runs of all workers. The progress keeps them from being taken
// for stalled.
func (l *randomLoad) reportProgress() {
	for _, id := range l.p.workerIDs {
		running := l.running(id)
		for i := range running {
			task := running[i].Task
			running[i].ProgressPercent = int(100 * (l.now - l.begins[task]) / max(l.ends[task]-l.begins[task], 1))
		}
		l.p.HandleReport(l.now, l.now, id, port.HoldReply{Running: running})
	}
}

func (l *randomLoad) finish(task work.TaskID, kind port.ResultKind) {
	delete(l.ends, task)
	l.endRun(task, kind)
}

// Guards against a bound above the time that the planner really takes, with wrong
// estimates, preemption, and jobs that arrive later.
func TestForecastIsALowerBoundUnderRandomLoad(t *testing.T) {
	checked, violated := 0, 0
	for seed := range uint64(25) {
		rng := rand.New(rand.NewPCG(seed, 1))
		l := &randomLoad{harness: newHarness(t, 2, 4), rng: rng, begins: map[work.TaskID]time.Duration{}, ends: map[work.TaskID]time.Duration{}}
		urgentShare := rng.Float64()
		priority := func() int {
			if rng.Float64() < urgentShare {
				return 0
			}
			return 1 + rng.IntN(2)
		}
		for range 20 + rng.IntN(200) {
			l.arrive(priority())
		}
		for range 10 + rng.IntN(20) {
			l.pass()
		}
		bounds, longest := map[string]time.Duration{}, time.Duration(0)
		arrived := l.now
		f := l.p.Forecast(l.now)
		for range 10 {
			p := priority()
			rec := l.arrive(p)
			rank := utility.Job{Priority: p, Size: l.p.relativeSize(l.p.jobs[rec.Job.ID])}.Rank()
			if bound := f.Wait(&rec.Job.Steps[0], p, rank); bound > 0 {
				bounds[rec.Job.ID], longest = bound, max(longest, bound)
			}
		}
		checked += len(bounds)
		for k := 0; l.now < arrived+longest; k++ {
			if k%10 == 0 {
				l.arrive(priority())
			}
			l.pass()
			for id, bound := range bounds {
				if j := l.p.jobs[id]; (j == nil || j.started) && l.now < arrived+bound {
					violated++
					delete(bounds, id)
					t.Logf("seed %d: job %s started after %v, bound %v", seed, id, l.now-arrived, bound)
				}
			}
		}
	}
	t.Logf("%d bounds checked, %d violated", checked, violated)
	must.Positive(t, checked)
	must.EqOp(t, 0, violated)
}
