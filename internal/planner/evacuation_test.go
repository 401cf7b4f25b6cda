package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// newZonedHarness returns a harness with racks of perRack workers, each in a failure
// domain of its own: rack rI in zI.
func newZonedHarness(t *testing.T, racks, perRack int) *harness {
	h := newHarness(t, 0, 1)
	for i := range racks * perRack {
		id, rack := fmt.Sprintf("w%02d", i), i/perRack
		h.p.PutWorker(work.Worker{ID: id, Rack: fmt.Sprintf("r%d", rack), Zone: fmt.Sprintf("z%d", rack),
			Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
		h.p.HandleReport(h.now, h.now, id, port.HoldReply{})
	}
	return h
}

// zones returns the number of active runs by failure domain.
func (h *harness) zones() map[string]int {
	out := map[string]int{}
	for _, o := range h.runs {
		out[h.p.workers[o.Worker].info.Zone]++
	}
	return out
}

func (h *harness) detailOf(event string) string {
	detail := ""
	for _, e := range h.p.TakeLogEntries() {
		if e.Event == event {
			detail = e.Detail
		}
	}
	return detail
}

// Guards against starts in an evacuated failure domain, also on workers that are listed
// later, and against one that gets no more work after its restoration.
func TestNothingIsPlacedInAnEvacuatedDomain(t *testing.T) {
	h := newZonedHarness(t, 2, 2)
	h.add(h.job("before", 1, step(4, 8, 60)))
	must.EqOp(t, 4, starts(h.plan()))
	h.p.SetEvacuated([]string{"z0"})
	must.EqOp(t, 0, len(h.plan()), must.Sprint("runs in progress continue"))
	for task, o := range h.runs {
		if h.p.IsEvacuated(o.Worker) {
			h.endRun(task, port.ResultSucceeded)
		}
	}
	h.p.PutWorker(work.Worker{ID: "new", Zone: "z0", Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
	h.p.HandleReport(h.now, h.now, "new", port.HoldReply{})
	h.add(h.job("after", 1, step(1, 8, 60)))
	must.EqOp(t, 0, starts(h.plan()))
	h.now += reportWaitingAfter
	h.plan()
	h.p.ReportWaiting(h.now)
	must.True(t, strings.HasSuffix(h.detailOf(EventJobWaiting), "3 evacuated"))
	h.p.SetEvacuated(nil)
	must.EqOp(t, 1, starts(h.plan()))
	must.MapEq(t, map[string]int{"z0": 1, "z1": 2}, h.zones())
}

// Guards against a job that waits for its data rack while that is evacuated.
func TestEvacuatedDataRackCountsAsAbsent(t *testing.T) {
	h := newZonedHarness(t, 2, 2)
	h.p.SetEvacuated([]string{"z0"})
	s := gangOf(2, 8, 5)
	s.SameRack, s.DataRack = true, "r0"
	h.add(h.job("a", 1, s))
	must.EqOp(t, 2, starts(h.plan()))
	must.MapEq(t, map[string]int{"z1": 2}, h.zones())
}

// Guards against a job that waits without a reason in the log: only an evacuated failure
// domain could hold it.
func TestWaitingForAnEvacuatedDomainIsReported(t *testing.T) {
	h := newZonedHarness(t, 2, 2)
	h.p.SetEvacuated([]string{"z0"})
	h.add(h.job("a", 1, gangOf(3, 8, 5)))
	must.EqOp(t, 0, starts(h.plan()))
	h.now += reportWaitingAfter
	h.p.ReportWaiting(h.now)
	must.StrHasPrefix(t, CauseEvacuated, h.detailOf(EventJobWaiting))
}

// Guards against a claim that keeps its capacity in an evacuated failure domain: the job
// would wait for claimExpiry although there is room elsewhere.
func TestClaimInAnEvacuatedDomainIsDroppedAtOnce(t *testing.T) {
	h := newZonedHarness(t, 1, 2)
	h.add(h.job("victims", 3, step(2, 8, 60)))
	h.plan()
	h.now += 2 * time.Second
	h.add(h.job("urgent", 0, step(1, 8, 60)))
	must.EqOp(t, 1, count(h.plan(), OrderStop))
	must.NotNil(t, h.p.jobs["urgent"].units[0].claim)
	h.p.SetEvacuated([]string{"z0"})
	must.Nil(t, h.p.jobs["urgent"].units[0].claim)
	h.p.PutWorker(work.Worker{ID: "other", Zone: "z1", Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
	h.p.HandleReport(h.now, h.now, "other", port.HoldReply{})
	must.EqOp(t, 1, starts(h.plan()))
}

// Guards against preemption that can't help: the victims run where nothing may start.
func TestNothingIsPreemptedInAnEvacuatedDomain(t *testing.T) {
	h := newZonedHarness(t, 1, 2)
	h.add(h.job("victims", 3, step(2, 8, 60)))
	h.plan()
	h.p.SetEvacuated([]string{"z0"})
	h.now += 2 * time.Second
	h.add(h.job("urgent", 0, step(1, 8, 60)))
	must.EqOp(t, 0, len(h.plan()))
}

// Guards against a withdrawn start that uses up an attempt of its job, delays the next
// placement or leaves capacity in use.
func TestWithdrawnStartIsPlacedElsewhereAtOnce(t *testing.T) {
	h := newZonedHarness(t, 2, 1)
	rec := h.job("a", 1, step(1, 8, 5))
	rec.Job.MaxAttempts = 1
	h.add(rec)
	order := h.p.Plan(h.now)[0]
	first := h.p.workers[order.Worker]
	h.p.SetEvacuated([]string{first.info.Zone})
	h.p.TakeChanged()
	h.p.WithdrawStart(h.now, order.Worker, order.Task, order.Run, causeEvacuated)
	must.Eq(t, first.info.Capacity, first.free)
	must.MapEmpty(t, h.p.TakeChanged()[0].Steps[0].Placed, must.Sprint("the record no longer names the worker"))
	must.EqOp(t, 1, starts(h.plan()))
	must.MapLen(t, 1, h.zones())
	must.NotEqOp(t, order.Worker, h.runs[order.Task].Worker)
	h.endRun(order.Task, port.ResultSucceeded)
	must.EqOp(t, work.Completed, h.p.jobs["a"].rec.State)
}

// Guards against a gang that runs in part: a member that was started is stopped once the
// start of another is withdrawn.
func TestGangIsStoppedWhenAMembersStartIsWithdrawn(t *testing.T) {
	h := newZonedHarness(t, 2, 1)
	h.add(h.job("a", 1, gangOf(2, 8, 5)))
	orders := h.p.Plan(h.now)
	must.Len(t, 2, orders)
	sent, held := orders[0], orders[1]
	h.p.StartAnswered(h.now, sent.Worker, sent.Task, sent.Run, port.NotRejected)
	h.p.SetEvacuated([]string{h.p.workers[held.Worker].info.Zone})
	h.p.WithdrawStart(h.now, held.Worker, held.Task, held.Run, causeEvacuated)
	must.True(t, h.p.AttemptEnded(sent.Worker, sent.Task, sent.Run))
	h.now += gangStopDelay
	must.EqOp(t, 1, count(h.plan(), OrderStop))
}

// Guards against placement on workers that are slow after a restart while others have
// room, and against leaving them unused when the others are full.
func TestColdWorkersAreUsedLast(t *testing.T) {
	h := newHarness(t, 1, 3)
	h.add(h.job("busy", 1, step(1, 2, 60)))
	h.plan()
	cold := h.runs[work.TaskID{Job: "busy"}].Worker // the one with the least free capacity
	h.p.SetCold(cold, h.now+10*time.Second)
	h.add(h.job("a", 1, step(2, 8, 60)))
	must.EqOp(t, 2, starts(h.plan()))
	h.add(h.job("b", 1, step(1, 6, 60)))
	must.EqOp(t, 1, starts(h.plan()))
	must.EqOp(t, cold, h.runs[work.TaskID{Job: "b"}].Worker)
	h.endRun(work.TaskID{Job: "b"}, port.ResultSucceeded)
	h.endRun(work.TaskID{Job: "a"}, port.ResultSucceeded)
	h.add(h.job("c", 1, step(1, 1, 60)))
	h.plan()
	must.NotEqOp(t, cold, h.runs[work.TaskID{Job: "c"}].Worker)
	h.p.SetCold(cold, h.now)
	h.add(h.job("d", 1, step(1, 1, 60)))
	h.plan()
	must.EqOp(t, cold, h.runs[work.TaskID{Job: "d"}].Worker, must.Sprint("it is warm again, and has the least free capacity"))
}

// Guards against a gang in a single rack that is placed on cold workers while another rack
// has warm ones with room: after an evacuation all racks of the failure domain are cold.
func TestSingleRackGangAvoidsColdRacks(t *testing.T) {
	h := newHarness(t, 2, 4)
	for i := range 4 {
		h.p.SetCold(fmt.Sprintf("w%02d", i), h.now+time.Minute)
	}
	for _, id := range []string{"first", "second"} {
		s := gangOf(2, 8, 5)
		s.SameRack = true
		h.add(h.job(id, 1, s))
	}
	h.plan()
	must.MapLen(t, 4, h.runs)
	for task, o := range h.runs {
		must.GreaterEq(t, "w04", o.Worker, must.Sprint(task))
	}
	s := gangOf(2, 8, 5)
	s.SameRack = true
	h.add(h.job("third", 1, s))
	h.plan()
	must.MapLen(t, 6, h.runs) // the cold ones are better than waiting
}

// Guards against the idle capacity of an evacuated failure domain that counts as room: units
// would use what is reserved for others on the workers that are left.
func TestIdleEvacuatedDomainIsNoRoom(t *testing.T) {
	h := newZonedHarness(t, 3, 4)
	h.p.SetEvacuated([]string{"z0", "z1"})
	h.add(h.job("busy", 1, step(3, 8, 60)))
	must.EqOp(t, 3, starts(h.plan()))
	must.False(t, h.p.mostlyIdle(), must.Sprint("3 of 4 usable workers are in use"))
	h.p.SetEvacuated(nil)
	must.True(t, h.p.mostlyIdle())
}
