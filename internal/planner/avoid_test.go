package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// addLabelled adds workers whose label a step may require, and a task on all but the last
// of them that takes all accelerators.
func (h *harness) addLabelled(count int, longLived bool) {
	h.t.Helper()
	for i := range count {
		id := fmt.Sprintf("x%02d", i)
		h.p.PutWorker(work.Worker{ID: id, Rack: "x", Labels: []string{"x"}, Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
		h.p.HandleReport(h.now, h.now, id, port.HoldReply{})
	}
	occupant := step(1, 8, 60)
	occupant.RequiredLabel, occupant.LongLived = "x", longLived
	for i := range count - 1 {
		h.add(h.job(fmt.Sprintf("occupant-%d", i), 2, occupant))
		must.EqOp(h.t, 1, starts(h.plan()))
	}
}

// failOnce adds a job whose first run fails on the only labelled worker with room.
func (h *harness) failOnce() {
	h.t.Helper()
	s := step(1, 4, 5)
	s.RequiredLabel = "x"
	h.add(h.job("job", 1, s))
	must.EqOp(h.t, 1, starts(h.plan()))
	h.endRun(work.TaskID{Job: "job"}, port.ResultFailed)
}

// Guards against tasks that never start again: they failed once on the only worker with
// room, and those that long-lived tasks fill counted as the better ones (review/10).
func TestFailedTaskReturnsToTheOnlyWorkerThatCanHoldIt(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.addLabelled(6, true)
	h.failOnce()
	h.now += 200 * time.Millisecond
	must.EqOp(t, 1, starts(h.plan()))
}

// A worker that will have room is worth a wait, but not for longer than a job may wait
// beside idle capacity.
func TestFailedTaskWaitsForAnotherWorkerUnlessMostAreIdle(t *testing.T) {
	for name, otherWorkers := range map[string]int{"in use": 1, "mostly idle": 12} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, otherWorkers)
			h.addLabelled(6, false)
			h.failOnce()
			delay := h.startDelay("job", slowly)
			if name == "in use" {
				must.GreaterEq(t, 10*time.Second, delay)
				return
			}
			must.Between(t, time.Second, delay, maxIdleWait-500*time.Millisecond)
		})
	}
}

// A unit that can't avoid the workers on which it failed has room reserved and reclaimed
// there too.
func TestFailedTaskMayReserveAndReclaimWhereItFailed(t *testing.T) {
	h := newHarness(t, 0, 0)
	h.addLabelled(2, true)
	h.failOnce()
	filler := step(1, 8, 60)
	filler.RequiredLabel = "x"
	h.add(h.job("filler", 0, filler))
	h.p.jobs["job"].units[0].notBefore = h.now + time.Second
	must.EqOp(t, 1, starts(h.plan()))
	u := h.p.jobs["job"].units[0]
	u.notBefore = 0
	v := h.p.newView(h.now)
	v.reserve(u)
	must.Positive(t, v.reservedFrom[v.index[h.p.workers["x01"]]])
}
