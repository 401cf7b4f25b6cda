package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// stopped returns the jobs of which runs are being stopped.
func stopped(orders []Order) []string {
	var out []string
	for _, o := range orders {
		if o.Kind == OrderStop {
			out = append(out, o.Task.Job)
		}
	}
	return out
}

// reportProgress reports the progress of all runs, by job.
func (h *harness) reportProgress(percents map[string]int) {
	for _, id := range h.p.workerIDs {
		running := h.running(id)
		for k := range running {
			running[k].ProgressPercent = percents[running[k].Task.Job]
		}
		h.p.HandleReport(h.now, h.now, id, port.HoldReply{Running: running})
	}
}

// fillByAge fills the pool with jobs of priority 2 and one task of 10 s per worker, one after
// another, and lets them run.
func (h *harness) fillByAge(runFor time.Duration, ages ...time.Duration) {
	for k, age := range ages {
		h.p.AddJob(h.now, age, h.job(fmt.Sprint(k), 2, step(1, 8, 10)), false)
		h.plan()
	}
	must.MapLen(h.t, len(h.p.workers), h.runs)
	h.now += runFor
}

// Guards against an urgent gang that stops the job that loses most by it. The victims
// differ only in their age; their objective is 31 s, and they are worthless after 93 s.
func TestVictimsAreThoseThatLoseLeast(t *testing.T) {
	for _, c := range []struct {
		name           string
		spared, victim time.Duration
	}{
		{"one has slack", 20, 5},
		{"one is late already", 20, 40},
		{"one is worthless already", 20, 90},
		{"one becomes worthless, the other stays late", 82, 40},
		{"one becomes late, the other becomes worthless", 20, 82},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1, 2)
			h.fillByAge(time.Second, c.spared*time.Second, c.victim*time.Second)
			h.add(h.job("urgent", 0, gangOf(1, 8, 2)))
			must.Eq(t, []string{"1"}, stopped(h.plan()))
		})
	}
}

// Guards against a loss that is charged although other work of the job makes it late
// anyway: a task of job 1 waits, and can't complete within the objective.
func TestJobThatIsLateAnywayLosesNothing(t *testing.T) {
	h := newHarness(t, 1, 2)
	for k := range 2 {
		h.p.AddJob(h.now, 20500*time.Millisecond, h.job(fmt.Sprint(k), 2, step(1+k, 8, 10)), false)
		h.plan()
	}
	h.now += time.Second
	h.add(h.job("urgent", 0, gangOf(1, 8, 2)))
	must.Eq(t, []string{"1"}, stopped(h.plan()))
}

// Guards against a job's loss that is counted for each of its tasks, which would protect
// jobs of many tasks.
func TestLossOfAJobIsCountedOnce(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.p.AddJob(h.now, 20*time.Second, h.job("wide", 2, step(2, 8, 10)), false)
	h.plan()
	h.now += time.Second
	answer := h.try(h.job("urgent", 0, gangOf(2, 8, 60)))
	must.EqOp(t, dryrun.Preempt, answer.Verdict)
	must.SliceLen(t, 2, answer.Victims)
	loss := 0.7 * h.p.jobs["wide"].weight / 36
	must.InDelta(t, loss, answer.Victims[0].Cost+answer.Victims[1].Cost-answer.Cost, 1e-6)
}

// Guards against work that is discarded just before its end, and against capacity that
// others take when it ends.
func TestWorkThatEndsSoonerThanAStopIsNotStopped(t *testing.T) {
	h := newHarness(t, 1, 3)
	h.fillByAge(9500*time.Millisecond, 0, 0, 0)
	h.reportProgress(map[string]int{"0": 50, "1": 95, "2": 70})
	h.add(h.job("patient", 2, step(1, 8, 10)))
	h.add(h.job("urgent", 0, gangOf(1, 8, 2)))
	must.EqOp(t, 0, len(h.plan()))
	h.now += 500 * time.Millisecond
	h.endRun(work.TaskID{Job: "1"}, port.ResultSucceeded)
	orders := h.plan()
	must.SliceLen(t, 1, orders)
	must.EqOp(t, "urgent", orders[0].Task.Job)
}

// Guards against stops beyond those that are needed besides the capacity that becomes free.
func TestOnlyTheRestIsStoppedWhereWorkEndsSoon(t *testing.T) {
	h := newHarness(t, 1, 3)
	h.fillByAge(9500*time.Millisecond, 0, 0, 0)
	h.reportProgress(map[string]int{"0": 50, "1": 95, "2": 50})
	h.add(h.job("urgent", 0, gangOf(2, 8, 30)))
	must.Eq(t, []string{"0"}, stopped(h.plan()))
}

// Guards against an urgent gang that waits without a bound for work that doesn't end as
// expected: it is stopped after the time that a stop would have taken.
func TestWorkThatDoesNotEndAsExpectedIsStopped(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.fillByAge(9500*time.Millisecond, 0, 0)
	h.reportProgress(map[string]int{"0": 50, "1": 95})
	h.add(h.job("urgent", 0, gangOf(1, 8, 30)))
	begin := h.now
	for h.now < begin+maxStopDelay {
		must.EqOp(t, 0, len(h.plan()))
		h.now += 50 * time.Millisecond
	}
	must.Eq(t, []string{"1"}, stopped(h.plan()))
	h.endStopping()
	must.EqOp(t, 1, starts(h.plan()))
}

// Guards against a wait for an end that too little progress promises or that is overdue, and against one that makes the unit miss its guarantee.
func TestUncertainEndIsNotAwaited(t *testing.T) {
	for _, c := range []struct {
		name                   string
		percent                int
		runFor, silent, waited time.Duration
		guaranteed             int64
		want                   []string
	}{
		{"certain", 95, 9500, 0, 0, 0, nil},
		{"little progress", 9, 80, 0, 0, 0, []string{"0"}},
		{"overdue", 95, 9500, 1401, 0, 0, []string{"0"}},
		{"time for the guarantee", 95, 9500, 0, 1200, 8, nil},
		{"near the guarantee", 95, 9500, 0, 1201, 8, []string{"0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1, 1)
			h.p.SetGuarantees([]work.Workspace{{Name: "ws", GuaranteedAccelerators: c.guaranteed}})
			h.fillByAge(c.runFor*time.Millisecond, 0)
			h.reportProgress(map[string]int{"0": c.percent})
			h.now += c.silent * time.Millisecond
			h.p.AddJob(h.now, c.waited*time.Millisecond, h.job("urgent", 0, gangOf(1, 8, 30)), false)
			must.Eq(t, c.want, stopped(h.plan()))
		})
	}
}
