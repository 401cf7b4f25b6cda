package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Guards against starts beyond the capacity of a worker whose runs belong to a job that
// isn't known, and which therefore counted nothing.
func TestWorkerWithRunsOfUnknownNeedGetsNoStarts(t *testing.T) {
	r := newRecoveringHarness(t, 1)
	r.report("w00", port.RunState{Task: work.TaskID{Job: "later"}, Run: 1})
	r.add(r.job("other", 1, step(1, 8, 9)))
	must.EqOp(t, 0, starts(r.plan()))
	r.p.AddJob(r.now, 0, r.job("later", 1, step(1, 1, 9)), false)
	must.EqOp(t, 0, starts(r.plan()))
	must.EqOp(t, 7, r.p.workers["w00"].free.Accel)

	r.p.HandleReport(r.now, r.now, "w00", port.HoldReply{Results: []port.RunResult{{Sequence: 1, Task: work.TaskID{Job: "later"}, Run: 1, Kind: port.ResultSucceeded}}})
	must.EqOp(t, 1, starts(r.plan()))
}

// A job that is dropped has its runs stopped and its results acknowledged. Its worker gets
// no starts until the runs have ended.
func TestUnknownJobIsDropped(t *testing.T) {
	r := newRecoveringHarness(t, 1)
	r.p.HandleReport(r.now, r.now, "w00", port.HoldReply{
		Results: []port.RunResult{{Sequence: 1, Task: work.TaskID{Job: "gone"}, Run: 1, Kind: port.ResultSucceeded}},
		Running: []port.RunState{{Task: work.TaskID{Job: "gone", Index: 1}, Run: 1}},
	})
	r.add(r.job("other", 1, step(1, 8, 9)))
	must.SliceEmpty(t, r.plan())
	must.MapEq(t, map[string]time.Duration{"gone": r.now}, r.p.UnknownJobs())
	r.p.DropUnknownJob("gone")
	must.EqOp(t, 1, r.p.AcknowledgeableResult("w00"))
	orders := r.plan()
	must.EqOp(t, 1, count(orders, OrderStop))
	must.EqOp(t, 0, starts(orders))
	r.p.HandleReport(r.now, r.now, "w00", port.HoldReply{Results: []port.RunResult{{Sequence: 2, Task: work.TaskID{Job: "gone", Index: 1}, Run: 1, Kind: port.ResultStopped}}})
	must.EqOp(t, 2, r.p.AcknowledgeableResult("w00"))
	must.MapEmpty(t, r.p.UnknownJobs())
	must.EqOp(t, 1, starts(r.plan()))
}

// Guards against a gang of an unknown job of which only some members were taken over: the
// others would wait for members that never come.
func TestGangOfAnUnknownJobThatRunsInPartIsStopped(t *testing.T) {
	r := newHarness(t, 1, 2)
	r.report("w00", port.RunState{Task: work.TaskID{Job: "later"}, Run: 1})
	r.add(r.job("later", 1, gangOf(2, 1, 9)))
	orders := r.plan()
	must.EqOp(t, 1, count(orders, OrderStop))
	must.EqOp(t, 0, starts(orders))
}

// Guards against a success that is acknowledged and not counted, as the run was being
// stopped beside another run of its task.
func TestSuccessOfAnOrphanedRunCounts(t *testing.T) {
	r := newHarness(t, 1, 2)
	r.add(r.job("a", 1, step(1, 1, 9)))
	orders := r.plan()
	must.EqOp(t, 1, starts(orders))
	r.p.TakeChanged()
	other := "w00"
	if orders[0].Worker == other {
		other = "w01"
	}
	task := work.TaskID{Job: "a"}
	r.report(other, port.RunState{Task: task, Run: 900})
	r.p.HandleReport(r.now, r.now, other, port.HoldReply{Results: []port.RunResult{{Sequence: 1, Task: task, Run: 900, Kind: port.ResultSucceeded}}})
	must.EqOp(t, 0, r.p.AcknowledgeableResult(other))
	changed := r.p.TakeChanged()
	must.SliceLen(t, 1, changed)
	must.EqOp(t, work.Completed, changed[0].State)
	r.p.RecordStored("a")
	must.EqOp(t, 1, r.p.AcknowledgeableResult(other))
}
