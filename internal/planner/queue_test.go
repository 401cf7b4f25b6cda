package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// addWaiting adds jobs of one task for workers with the given label.
func (h *harness) addWaiting(jobs int, label string) {
	s := step(1, 8, 60)
	s.RequiredLabel = label
	for k := range jobs {
		h.add(h.job(fmt.Sprintf("waiting-%03d", k), 1, s))
	}
}

// addOthers adds jobs of lower rank that any worker may run.
func (h *harness) addOthers(jobs int) {
	for k := range jobs {
		h.add(h.job(fmt.Sprintf("other-%d", k), 2, step(1, 8, 5)))
	}
}

// Guards against queues that stand still because more steps than a pass tries wait for
// workers that are lost (review/7).
func TestStepsThatNoWorkerCanHoldDoNotKeepOthersFromStarting(t *testing.T) {
	for name, fill := range map[string]func(h *harness){
		"lost": func(*harness) {},
		"full": func(h *harness) { h.addLabelled(2, true); h.fillLast() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1, 10)
			fill(h)
			h.addWaiting(3*maxUnplaceable, "x")
			h.addOthers(10)
			must.EqOp(t, 10, starts(h.plan()))
		})
	}
}

// fillLast has a long-lived task take the worker that addLabelled leaves free.
func (h *harness) fillLast() {
	h.t.Helper()
	occupant := step(1, 8, 60)
	occupant.RequiredLabel, occupant.LongLived = "x", true
	h.add(h.job("occupant-last", 2, occupant))
	must.EqOp(h.t, 1, starts(h.plan()))
}

// Steps that wait for workers in use are tried in turns, so that those behind them have
// their turn within a few passes.
func TestAllWaitingStepsHaveTheirTurn(t *testing.T) {
	h := newHarness(t, 1, 10)
	h.addLabelled(2, false)
	h.addWaiting(5*maxUnplaceable, "x")
	h.addOthers(10)
	started := 0
	for range 10 {
		for _, o := range h.advance(100 * time.Millisecond) {
			if o.Task.Job[:5] == "other" {
				started++
			}
		}
	}
	must.EqOp(t, 10, started)
}

// Units that no worker can hold don't use up the reservations of a pass.
func TestUnitsThatNoWorkerCanHoldTakeNoReservations(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.add(h.job("long", 2, step(1, 8, 10)))
	must.EqOp(t, 1, starts(h.plan()))
	h.addWaiting(minReservations, "lost")
	h.add(h.job("gang", 2, gangOf(4, 8, 5)))
	h.plan()
	must.SliceLen(t, 1, h.p.reservations)
	must.EqOp(t, "gang", h.p.reservations[0].unit.job.rec.Job.ID)
}

// The time of a pass over a long queue of steps that can't be held stays bounded: they are
// compared with the workers once for each shape.
func TestLongQueueIsComparedOncePerShape(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.addWaiting(1000, "lost")
	v := h.p.newView(h.now)
	for _, j := range h.p.jobsByArrival {
		must.EqOp(t, ineligible, v.ability(j.units[0]))
	}
	must.MapLen(t, 1, v.abilities)
}
