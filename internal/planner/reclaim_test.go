package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// limitedStep is a step of count tasks that take half of a worker for a minute, at most
// perWorker of them on one.
func limitedStep(count, perWorker int) work.Step {
	s := step(count, 4, 60)
	s.MaxPerWorker = perWorker
	return s
}

// Guards against running jobs that are stopped for a task that its step's limit for each
// worker keeps off the worker (review/9).
func TestNothingIsStoppedWhereTheStepHasItsLimitOfTasks(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.add(h.job("urgent", 0, limitedStep(2, 1)))
	must.EqOp(t, 1, starts(h.plan()))
	h.add(h.job("other", 2, step(1, 4, 60)))
	must.EqOp(t, 1, starts(h.plan()))
	for range 20 {
		must.EqOp(t, 0, count(h.plan(), OrderStop))
		h.now += 100 * time.Millisecond
	}
}

// Two tasks of a step with a limit of one for each worker don't claim the same worker.
func TestClaimsCountTowardsTheLimitOfTasks(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.add(h.job("other", 2, step(2, 4, 60)))
	must.EqOp(t, 2, starts(h.plan()))
	h.add(h.job("urgent", 0, limitedStep(2, 1)))
	must.EqOp(t, 1, count(h.plan(), OrderStop))
}

// endStopping reports the end of all runs that are being stopped.
func (h *harness) endStopping() {
	for task, o := range h.runs {
		if r := h.p.workers[o.Worker].runs[task]; r != nil && r.phase == runStopping {
			h.endRun(task, port.ResultStopped)
		}
	}
}

// Whatever runs, the tasks for which others are stopped start once these have ended.
func TestClaimedCapacityIsUsedOnceItIsFree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, 2, 2)
		for k := range rapid.IntRange(1, 6).Draw(rt, "jobs") {
			s := step(rapid.IntRange(1, 4).Draw(rt, "tasks"), rapid.SampledFrom([]int64{0, 1, 2, 4, 8}).Draw(rt, "accelerators"), 30)
			s.Need.CPU = rapid.SampledFrom([]int64{1000, 16000, 32000, 64000}).Draw(rt, "cpu")
			s.MaxPerWorker = rapid.IntRange(0, 2).Draw(rt, "per worker")
			s.Gang = rapid.Bool().Draw(rt, "gang")
			s.LongLived = rapid.IntRange(0, 4).Draw(rt, "long-lived") == 0
			if s.LongLived {
				s.Gang = false
			}
			h.add(h.job(fmt.Sprintf("job-%d", k), rapid.IntRange(0, 2).Draw(rt, "priority"), s))
			h.plan()
			claims := map[*unit]bool{}
			for _, j := range h.p.jobsByArrival {
				for _, u := range j.units {
					if u.claim != nil {
						claims[u] = true
					}
				}
			}
			h.endStopping()
			h.now += 50 * time.Millisecond
			h.plan()
			for u := range claims {
				if u.phase != unitActive {
					rt.Fatalf("task %d of %s, claim %v, isn't started on the capacity that was freed for it", u.first, u.job.rec.Job.ID, u.claim)
				}
			}
			h.now += 400 * time.Millisecond
		}
	})
}
