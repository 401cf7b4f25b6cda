package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
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

// Guards against a second job that becomes late in a pass that has already made one late: what
// a job has lost by a stop isn't lost again by the next one.
func TestLossOfAJobIsCountedOnceInAPass(t *testing.T) {
	h := newHarness(t, 1, 3)
	labelled := h.p.workers["w00"].info
	labelled.Labels = []string{"x"}
	h.p.PutWorker(labelled)
	h.p.AddJob(h.now, 20500*time.Millisecond, h.job("wide", 2, step(2, 8, 10)), false)
	must.EqOp(t, 2, starts(h.plan()))
	h.p.AddJob(h.now, 20*time.Second, h.job("one", 2, step(1, 8, 10)), false)
	must.EqOp(t, 1, starts(h.plan()))
	h.now += time.Second
	first := gangOf(1, 8, 2)
	first.RequiredLabel = "x"
	h.add(h.job("urgent1", 0, first))
	h.add(h.job("urgent2", 0, gangOf(1, 8, 2)))
	must.Eq(t, []string{"wide", "wide"}, stopped(h.plan()))
}
