package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/speed"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// newUnevenHarness returns racks of workers of which every third is known to take 1.7 of
// the nominal time, and the others 0.7.
func newUnevenHarness(t *testing.T, racks, perRack int) *harness {
	h := newHarness(t, racks, perRack)
	h.p.observeUneven(h.now)
	return h
}

// observeUneven has the planner learn the workers' true factors.
func (p *Planner) observeUneven(now time.Duration) {
	for round := range 6 {
		for i, id := range p.workerIDs {
			p.speeds.Observe(now, speed.Observation{
				Run: speed.Run{Task: work.TaskID{Job: fmt.Sprint("earlier", round), Index: i}}, Workers: []string{id}, Factor: trueFactor(i),
			})
		}
	}
	p.speeds.Update(now)
}

func trueFactor(worker int) float64 {
	if worker%3 == 2 {
		return 1.7
	}
	return 0.7
}

// slowRuns counts the runs of a job that were started on slow workers.
func (h *harness) slowRuns(job string) (slow, all int) {
	for task, o := range h.runs {
		if task.Job == job {
			all++
			if h.p.SpeedFactor(o.Worker) > 1.2 {
				slow++
			}
		}
	}
	return slow, all
}

// render is an urgent gang that completes in time on fast workers only.
func (h *harness) render(id string, count int) work.Record {
	rec := h.job(id, 0, gangOf(count, 8, 2))
	rec.Job.Stretch, rec.Job.Target = 1.5, 300*time.Millisecond
	return rec
}

// The load is urgent gangs on a pool of uneven workers with room. Guards against a gang
// that is late because one of its workers is slow.
func TestUrgentGangAvoidsSlowWorkers(t *testing.T) {
	h := newUnevenHarness(t, 3, 9)
	for k := range 6 {
		rec := h.render(fmt.Sprint("render", k), 3)
		rec.Job.Steps[0].SameRack = k%2 == 0
		h.add(rec)
	}
	h.plan()
	for k := range 6 {
		slow, all := h.slowRuns(fmt.Sprint("render", k))
		must.Eq(t, 3, all)
		must.Eq(t, 0, slow)
	}
}

// The load is patient work beside urgent work that hasn't come yet. Guards against patient
// work that takes the fast workers although it completes in time on the slow ones.
func TestPatientWorkLeavesFastWorkers(t *testing.T) {
	h := newUnevenHarness(t, 3, 9)
	h.add(h.job("rebuild", 1, gangOf(5, 8, 7)))
	h.add(h.job("extract", 2, step(4, 8, 5)))
	h.plan()
	for job, count := range map[string]int{"rebuild": 5, "extract": 4} {
		slow, all := h.slowRuns(job)
		must.Eq(t, count, all)
		must.Eq(t, count, slow)
	}
}

// Guards against patient work that waits for slow workers while fast ones are idle.
func TestPatientWorkUsesFastWorkersWhenSlowOnesAreBusy(t *testing.T) {
	h := newUnevenHarness(t, 1, 9)
	h.add(h.job("extract", 2, step(8, 8, 5)))
	h.plan()
	_, all := h.slowRuns("extract")
	must.Eq(t, 8, all)
}

// The load is urgent work while fast workers are taken by other urgent work. Guards against
// urgent work that waits, or stops other work, because only slow workers are free: in an
// overloaded pool that served callers worse than a late completion.
func TestUrgentGangTakesSlowWorkersRatherThanWait(t *testing.T) {
	h := newUnevenHarness(t, 1, 9)
	for k := range 3 {
		h.add(h.render(fmt.Sprint("first", k), 2))
	}
	h.plan()
	h.add(h.render("second", 2))
	h.plan()
	slow, all := h.slowRuns("second")
	must.Eq(t, 2, all)
	must.Eq(t, 2, slow)
}

// Guards against preemption, or a wait, in a pool whose workers all complete urgent work in
// time: what is learned there must not cost other work anything.
func TestEvenPoolPlacesAsBefore(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.add(h.job("extract", 2, step(2, 8, 5)))
	h.plan()
	h.add(h.render("render", 2))
	orders := h.plan()
	must.Len(t, 2, orders)
	for _, o := range orders {
		must.Eq(t, OrderStart, o.Kind)
	}
}

// Guards against runs whose progress isn't taken into account, and against a factor that
// outlives the worker's incarnation.
func TestSpeedIsLearnedFromProgress(t *testing.T) {
	h := newHarness(t, 2, 8)
	for round := range 12 {
		id := fmt.Sprint("extract", round)
		h.add(h.job(id, 2, step(16, 8, 4)))
		h.plan()
		started := h.now
		for percent := 10; percent <= 90; percent += 20 {
			h.now = started + time.Duration(percent)*40*time.Millisecond
			for i, worker := range h.p.workerIDs {
				running := h.running(worker)
				for k := range running {
					running[k].ProgressPercent = int(float64(percent) / trueFactor(i))
				}
				h.report(worker, running...)
			}
			h.plan()
		}
		for task := range h.runs {
			h.endRun(task, port.ResultStopped)
		}
		h.p.Cancel(id, h.now)
		h.plan()
	}
	must.Greater(t, 1.4, h.p.SpeedFactor("w02"))
	must.Less(t, 0.9, h.p.SpeedFactor("w00"))
	h.p.WorkerRestarted(h.now, "w02")
	must.Eq(t, 1, h.p.SpeedFactor("w02"))
}

// startLong starts a run that takes its estimate of 4 s on a worker of nominal speed.
func (h *harness) startLong(id string) (work.TaskID, Order) {
	h.add(h.job(id, 1, step(1, 8, 4)))
	for _, o := range h.p.Plan(h.now) {
		if o.Task.Job == id {
			h.runs[o.Task] = o
			return o.Task, o
		}
	}
	h.t.Fatal("not started")
	return work.TaskID{}, Order{}
}

// Guards against a worker that is taken for a fast one because the answer to its start was
// lost and its first report tells of much progress.
func TestLateFirstReportTellsNoSpeed(t *testing.T) {
	h := newHarness(t, 1, 1)
	for k := range 8 {
		task, o := h.startLong(fmt.Sprint("job", k))
		h.now += 2 * time.Second
		h.report(o.Worker, port.RunState{Task: task, Run: o.Run, ProgressPercent: 50})
		h.now += time.Second
		h.report(o.Worker, port.RunState{Task: task, Run: o.Run, ProgressPercent: 75})
		h.now += time.Second
		h.endRun(task, port.ResultSucceeded)
		h.p.Plan(h.now)
	}
	h.now += time.Second
	h.p.Plan(h.now)
	must.Between(t, 0.9, h.p.SpeedFactor("w00"), 1.1)
}

// runAnswered runs jobs of 4 s whose starts are answered. Each run reports 1% of progress
// per perPercent from step to last percent, each step percent, and then is silent until its
// result arrives. It returns the learned factor of the worker.
func (h *harness) runAnswered(step, last int, perPercent, silence time.Duration) float64 {
	h.t.Helper()
	for k := range 8 {
		task, o := h.startLong(fmt.Sprint("job", k))
		h.p.StartAnswered(h.now, o.Worker, o.Task, o.Run, port.NotRejected)
		for percent := step; percent <= last; percent += step {
			h.now += time.Duration(step) * perPercent
			h.report(o.Worker, port.RunState{Task: task, Run: o.Run, ProgressPercent: percent})
		}
		h.now += silence
		h.endRun(task, port.ResultSucceeded)
		h.p.Plan(h.now)
	}
	h.now += time.Second
	h.p.Plan(h.now)
	return h.p.SpeedFactor("w00")
}

// Guards against a worker that is taken for a slow one because its reports didn't arrive
// while this process was suspended or the link to the worker was cut: its run ended long
// before the result arrived.
func TestSilenceTellsNoSpeed(t *testing.T) {
	h := newHarness(t, 1, 1)
	must.Between(t, 0.9, h.runAnswered(25, 50, 40*time.Millisecond, 5*time.Second), 1.1)
}

// Guards against a worker that is taken for a slow one long after it has become warm. Its
// runs take almost three times the estimate.
func TestColdRunTellsNoSpeed(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.p.SetCold("w00", h.now+100*time.Second)
	must.Between(t, 0.9, h.runAnswered(10, 90, 110*time.Millisecond, time.Second), 1.1)
}

// Guards against gangs that tell nothing of their workers' speed although few run them, or
// that tell of them although too many do. Tasks outnumber the workers in both.
func TestOnlyNarrowGangsTellSpeed(t *testing.T) {
	for workers, tells := range map[int]bool{16: true, 17: false} {
		h := newHarness(t, 1, workers)
		for k := range 8 {
			id := fmt.Sprint("gang", k)
			h.add(h.job(id, 1, gangOf(2*workers, 4, 5)))
			must.EqOp(t, 2*workers, starts(h.plan()))
			for percent := 25; percent <= 75; percent += 25 { // twice the estimate
				h.now += time.Second
				for _, w := range h.p.workerIDs {
					running := h.running(w)
					for i := range running {
						running[i].ProgressPercent = percent / 2
					}
					h.report(w, running...)
				}
			}
			for index := range 2 * workers {
				h.endRun(work.TaskID{Job: id, Index: index}, port.ResultSucceeded)
			}
			h.p.Plan(h.now)
			h.p.DropEndedJobs()
		}
		h.now += time.Second
		h.p.Plan(h.now)
		must.EqOp(t, tells, h.p.SpeedFactor("w00") != 1, must.Sprint(workers, " workers"))
	}
}

// runSteps has the planner learn from runs of 200 steps of 8 tasks. The workers need the
// given time factors in turn, and tasks of a step differ by a fifth.
func (h *harness) runSteps(factors ...float64) {
	rng := rand.New(rand.NewPCG(1, 1))
	for s := range 200 {
		for k := range 8 {
			i := (s*5 + k) % len(h.p.workerIDs)
			h.p.speeds.Observe(h.now, speed.Observation{
				Run: speed.Run{Task: work.TaskID{Job: fmt.Sprint(s), Index: k}}, Workers: []string{h.p.workerIDs[i]},
				Factor: factors[i%len(factors)] * math.Exp(0.2*(2*rng.Float64()-1)+0.1*rng.NormFloat64()),
			})
		}
		h.now += 200 * time.Millisecond
		h.p.speeds.Update(h.now)
	}
}

// Guards against even workers that are told apart because the estimates of all steps are
// wrong alike.
func TestEvenWorkersAreOfOneClass(t *testing.T) {
	for _, common := range []float64{0.6, 0.86, 1, 1.16, 1.25, 1.57} {
		h := newHarness(t, 6, 8)
		h.runSteps(common)
		must.False(t, h.p.newView(h.now).uneven, must.Sprint(common))
		h.addWorker("unknown", "r5")
		must.False(t, h.p.newView(h.now).uneven, must.Sprint(common))
	}
}

// restored returns the harness of a new owner that has restored the learned speeds.
func (h *harness) restored(t *testing.T, racks, perRack int) *harness {
	var workers []speed.Identity
	for _, id := range h.p.workerIDs {
		workers = append(workers, speed.Identity{ID: id, Incarnation: 7})
	}
	next, restorer := newHarness(t, racks, perRack), speed.NewRestorer(h.p.StoredSpeeds(workers))
	next.now = h.now
	for _, id := range workers {
		next.p.RestoreSpeed(restorer, id)
	}
	return next
}

// Guards against a new owner that tells even workers apart, for which each pass over a full
// queue takes several times longer, until runs on eight of them have been observed.
func TestEvenWorkersAreOfOneClassAfterATakeover(t *testing.T) {
	for _, common := range []float64{0.6, 0.86, 1, 1.16, 1.25, 1.57} {
		h := newHarness(t, 6, 8)
		h.runSteps(common)
		next := h.restored(t, 6, 8)
		must.False(t, next.p.newView(next.now).uneven, must.Sprint(common))
	}
}

// Guards against a new owner that takes uneven workers, or a single slow one, for even.
func TestUnevenWorkersAreOfSeveralClassesAfterATakeover(t *testing.T) {
	one := slices.Repeat([]float64{1.25}, 48)
	one[5] = 2.5
	for _, factors := range [][]float64{{1, 1, 1.3}, {0.8, 1, 1.25}, {0.7, 0.7, 1.7}, one} {
		h := newHarness(t, 6, 8)
		h.runSteps(factors...)
		next := h.restored(t, 6, 8)
		must.True(t, next.p.newView(next.now).uneven, must.Sprint(factors))
	}
}

// Guards against uneven workers, or a single slow one, that are taken for even.
func TestUnevenWorkersAreOfSeveralClasses(t *testing.T) {
	one := slices.Repeat([]float64{1}, 48)
	one[5] = 2
	for _, factors := range [][]float64{{1, 1, 1.3}, {0.8, 1, 1.25}, {0.7, 0.7, 1.7}, one} {
		h := newHarness(t, 6, 8)
		h.runSteps(factors...)
		must.True(t, h.p.newView(h.now).uneven, must.Sprint(factors))
	}
}
