package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// maxIdleWait is how long a job may have nothing running while most of the capacity is
// idle and it fits twice over.
const maxIdleWait = 3 * time.Second

// startDelay advances the time until a task of the job starts and returns how long that
// took. It gives up after a minute. percent returns the progress of the other runs.
func (h *harness) startDelay(job string, percent func(task work.TaskID, elapsed time.Duration) int) time.Duration {
	h.t.Helper()
	from := h.now
	for h.now-from < time.Minute {
		h.now += 100 * time.Millisecond
		for _, id := range h.p.workerIDs {
			running := h.running(id)
			for i := range running {
				running[i].ProgressPercent = percent(running[i].Task, h.now-from)
			}
			h.p.HandleReport(h.now, h.now, id, port.HoldReply{Running: running})
		}
		for _, o := range h.plan() {
			if o.Kind == OrderStart && o.Task.Job == job {
				return h.now - from
			}
		}
	}
	return h.now - from
}

// slowly is the progress of tasks that run for 80 s.
func slowly(_ work.TaskID, elapsed time.Duration) int { return 5 + int(elapsed/(800*time.Millisecond)) }

// occupy runs a job of one task with all accelerators of one worker of each rack. Its
// estimate is far below its run time.
func (h *harness) occupy(racks, perRack int) {
	h.t.Helper()
	for rack := range racks {
		for i := range racks * perRack {
			h.p.SetReachable(fmt.Sprintf("w%02d", i), i == rack*perRack)
		}
		h.add(h.job(fmt.Sprintf("long-%d", rack), 2, step(1, 8, 1)))
		must.SliceLen(h.t, 1, h.plan())
	}
	for i := range racks * perRack {
		h.p.SetReachable(fmt.Sprintf("w%02d", i), true)
	}
}

// Guards against gangs that wait for a rack of their own while most of the capacity is idle:
// on crossbar-lw they stayed queued as long as each rack had one long task.
func TestGangForOneRackUsesSeveralWhenMostCapacityIsIdle(t *testing.T) {
	for _, priority := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(priority), func(t *testing.T) {
			h := newHarness(t, 4, 3)
			h.occupy(4, 3)
			gang := gangOf(3, 8, 5)
			gang.SameRack = true
			h.add(h.job("gang", priority, gang))
			must.LessEq(t, maxIdleWait-500*time.Millisecond, h.startDelay("gang", slowly))
		})
	}
}

// Workers without accelerators have none in use.
func TestPoolWithoutAcceleratorsCanBeMostlyIdle(t *testing.T) {
	p := New(Settings{}, 1)
	p.PutWorker(work.Worker{ID: "w", Capacity: work.Resources{CPU: 1000, MemMB: 1000}})
	must.True(t, p.mostlyIdle())
}

// A rack that is free at once is still preferred, and so is waiting while the capacity is
// in use.
func TestGangForOneRackWaitsWhileCapacityIsInUse(t *testing.T) {
	h := newHarness(t, 2, 3)
	h.occupy(2, 3)
	h.add(h.job("busy", 2, step(1, 8, 60)))
	must.SliceLen(t, 1, h.plan())
	gang := gangOf(3, 8, 5)
	gang.SameRack = true
	h.add(h.job("gang", 1, gang))
	must.GreaterEq(t, time.Minute, h.startDelay("gang", slowly))
}

// Guards against workers that stay reserved, and idle, for a large gang: the one task that it
// waits for runs far longer than estimated, and was expected to end within 100 ms for as
// long as it ran.
func TestReservedWorkersAreNotKeptIdleForAnOverrunningTask(t *testing.T) {
	h := newHarness(t, 2, 6)
	h.add(h.job("long", 2, step(1, 8, 1)))
	must.SliceLen(t, 1, h.plan())
	h.now += 10 * time.Second
	h.add(h.job("gang", 1, gangOf(12, 8, 30)))
	h.add(h.job("other", 2, step(1, 8, 20)))
	must.LessEq(t, maxIdleWait-500*time.Millisecond, h.startDelay("other", slowly))
}

// The remaining time of a run follows from its progress, not from a wrong estimate.
func TestRemainingTimeFollowsProgress(t *testing.T) {
	h := newHarness(t, 1, 1)
	h.add(h.job("long", 2, step(1, 8, 1)))
	o := h.plan()[0]
	h.now += 10 * time.Second
	h.p.HandleReport(h.now, h.now, o.Worker, port.HoldReply{Running: []port.RunState{{Task: o.Task, Run: o.Run, ProgressPercent: 10}}})
	r := h.p.workers[o.Worker].runs[o.Task]
	must.Between(t, 80*time.Second, r.remaining(h.now), 95*time.Second)
	h.now += 5 * time.Second
	must.Between(t, 75*time.Second, r.remaining(h.now), 90*time.Second)
}

// Guards against a job that never runs again once it has failed on each of the few workers
// with its label, though it has attempts left.
func TestJobIsRetriedWhereItFailedIfNoOtherWorkerIsEligible(t *testing.T) {
	h := newHarness(t, 2, 6)
	for _, id := range []string{"w00", "w01"} {
		h.p.PutWorker(work.Worker{ID: id, Rack: "r0", Labels: []string{"fast"}, Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
	}
	labelled := step(1, 8, 5)
	labelled.RequiredLabel = "fast"
	h.add(h.job("a", 1, labelled))
	for range 2 {
		must.SliceLen(t, 1, h.plan())
		h.endRun(work.TaskID{Job: "a"}, port.ResultFailed)
		h.now += 100 * time.Millisecond
	}
	must.LessEq(t, maxIdleWait, h.startDelay("a", slowly))
}

// Guards against a slow task that is taken for stalled, and stopped, again and again: tasks
// report whole percents, which are 4 s apart here.
func TestSlowTaskIsNotStoppedAgainAndAgain(t *testing.T) {
	h := newHarness(t, 2, 6)
	h.add(h.job("slow", 1, step(1, 8, 5)))
	startedAt, stops := h.now, 0
	for range 600 {
		h.now += 100 * time.Millisecond
		for _, id := range h.p.workerIDs {
			running := h.running(id)
			for i := range running {
				running[i].ProgressPercent = int((h.now - startedAt) / (4 * time.Second))
			}
			h.p.HandleReport(h.now, h.now, id, port.HoldReply{Running: running})
		}
		for _, o := range h.plan() {
			if o.Kind == OrderStop {
				stops++
				h.endRun(o.Task, port.ResultStopped)
			} else {
				startedAt = h.now
			}
		}
	}
	must.LessEq(t, 2, stops)
}

// Guards against long-lived tasks that are kept off the only worker with room, which is
// reserved for a larger job that waits for the rest of it (reserved-runner).
func TestLongLivedTaskStartsOnReservedWorker(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.add(h.job("full", 2, longLived(1, 0)))
	h.add(h.job("half", 2, step(1, 4, 80)))
	must.EqOp(t, 2, starts(h.plan()))
	h.add(h.job("large", 1, step(1, 8, 80)))
	lasting := longLived(1, 0)
	lasting.Need.Accel = 2
	h.add(h.job("lasting", 2, lasting))
	must.EqOp(t, 0, starts(h.plan()))
	must.Positive(t, len(h.p.reservations))
	must.LessEq(t, maxIdleWait-500*time.Millisecond, h.startDelay("lasting", slowly))
}
