package gangs_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// urgentStartBound bounds the time from the submission of an urgent guaranteed
// gang, or from the end of a fault that delayed it, to its start.
const urgentStartBound = 3700 * time.Millisecond

// longTask is the payload of a task that outlasts every test. The checkpoint
// of slowCheckpoint takes longer than CallTimeout.
const (
	longTask       = `{"run_ms":3600000}`
	slowCheckpoint = `{"run_ms":3600000,"state_ms":1500}`
)

// fillWithBorrowers fills the failure domain with preemptible jobs of another
// workspace, which borrow its accelerators, and returns once they run.
func (h *harness) fillWithBorrowers(payload string) {
	h.t.Helper()
	for i := range 6 {
		s := spec(fmt.Sprint("lent-", i))
		s.Key.Workspace = "research"
		s.Members = 1
		s.Preemptible = true
		s.Payload = []byte(payload)
		_, _, err := h.jobsClient().Submit(h.ctx, s)
		must.NoError(h.t, err)
	}
	for range 100 {
		if h.startedTasks("research") == 6 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.t.Fatal("the borrowing jobs did not start")
}

// startedTasks counts the task starts of a workspace.
func (h *harness) startedTasks(workspace string) int {
	n := 0
	events, _ := h.workers.Events()
	for _, e := range events {
		if e.Kind == fake.EventTaskStarted && string(e.Lease)[:len(workspace)] == workspace {
			n++
		}
	}
	return n
}

// submitGuaranteed submits an urgent gang of the guaranteed shape and returns
// its key.
func (h *harness) submitGuaranteed() structs.JobKey {
	h.t.Helper()
	s := spec("scan")
	s.Class = structs.ClassUrgent
	_, _, err := h.jobsClient().Submit(h.ctx, s)
	must.NoError(h.t, err)
	return s.Key
}

// awaitGuaranteedStart waits until every member of the guaranteed gang was
// started and returns the time since its call.
func (h *harness) awaitGuaranteedStart() time.Duration {
	h.t.Helper()
	began := time.Now()
	for range 6000 {
		if h.startedTasks("grading") == members {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.t.Fatal("the guaranteed gang did not start")
	return 0
}

// TestGuaranteedGangStartsWithinBound fails in the slow case if checkpoints are
// bounded by CallTimeout, as the checkpoint is then lost. It fails in the hanging
// case if they are unbounded, and in every case without reclaims.
func TestGuaranteedGangStartsWithinBound(t *testing.T) {
	cases := []struct {
		name        string
		payload     string
		faults      fake.WorkerFaults
		checkpoints int
	}{
		{"healthy", longTask, fake.WorkerFaults{}, members},
		{"checkpoint takes longer than a call", slowCheckpoint, fake.WorkerFaults{}, members},
		{"checkpoint fails", longTask, fake.WorkerFaults{CheckpointFails: true}, 0},
		{"checkpoint hangs", longTask, fake.WorkerFaults{CheckpointHangs: true}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				h := newHarness(t, ctx)
				defer h.wg.Wait()
				defer cancel()
				h.startOwner(h.table, h.workers)
				h.fillWithBorrowers(c.payload)
				h.workers.SetFaults(c.faults)
				h.submitGuaranteed()
				must.LessEq(t, urgentStartBound, h.awaitGuaranteedStart())
				must.Eq(t, c.checkpoints, h.countCheckpoints())
				h.checkCapacity()
			})
		})
	}
}

func (h *harness) countCheckpoints() int {
	n := 0
	events, _ := h.workers.Events()
	for _, e := range events {
		if e.Kind == fake.EventCheckpointed {
			n++
		}
	}
	return n
}

// checkCapacity asserts that no worker ever granted leases for more accelerators
// than it has.
func (h *harness) checkCapacity() {
	h.t.Helper()
	events, _ := h.workers.Events()
	accelerators := make(map[string]int)
	for _, e := range events {
		switch e.Kind {
		case fake.EventLeaseGranted:
			accelerators[e.Worker] += e.Accelerators
		case fake.EventLeaseReleased, fake.EventLeaseLapsed:
			accelerators[e.Worker] -= e.Accelerators
		}
		must.LessEq(h.t, 4, accelerators[e.Worker])
	}
}

// TestReclaimSurvivesOwnerKilledAtAnyStep kills the owner before each of its
// steps after the guaranteed gang's submission. The next owner must resume the
// reclaim. The test fails if recover does nothing.
func TestReclaimSurvivesOwnerKilledAtAnyStep(t *testing.T) {
	for at := 1; at <= maxHaltAtCall; at++ {
		t.Run(fmt.Sprintf("step %d", at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				h := newHarness(t, ctx)
				defer h.wg.Wait()
				defer cancel()
				halted := make(chan struct{})
				first := &haltingPorts{Table: h.table, Workers: h.workers, onHalt: func() { close(halted) }}
				kill := h.startOwner(&haltingTable{first}, first)
				h.fillWithBorrowers(longTask)
				first.haltAfter(at)
				h.submitGuaranteed()
				select {
				case <-halted:
				case <-time.After(time.Minute):
				}
				kill()
				time.Sleep(takeoverDelay)
				h.startOwner(h.table, h.workers)
				must.LessEq(t, urgentStartBound, h.awaitGuaranteedStart())
				h.checkCapacity()
			})
		})
	}
}

// haltAfter halts the owner before the n-th call from now.
func (p *haltingPorts) haltAfter(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.haltAtCall = p.calls + n
}

// TestReclaimResumesAfterTableOutage makes the table unavailable in the middle
// of a reclaim.
func TestReclaimResumesAfterTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := newHarness(t, ctx)
		defer h.wg.Wait()
		defer cancel()
		h.startOwner(h.table, h.workers)
		h.fillWithBorrowers(longTask)
		h.workers.SetFaults(fake.WorkerFaults{CheckpointHangs: true})
		h.submitGuaranteed()
		time.Sleep(time.Second)
		h.table.SetFaults(fake.TableFaults{Down: true})
		time.Sleep(time.Minute)
		must.Eq(t, 0, h.startedTasks("grading"))
		h.table.SetFaults(fake.TableFaults{})
		must.LessEq(t, urgentStartBound, h.awaitGuaranteedStart())
		h.checkCapacity()
	})
}

// TestGuaranteedGangRestartsOnOtherWorkers crashes the guaranteed gang's workers,
// which are those of one rack. The gang must restart in the other rack, which
// borrowing jobs occupy.
func TestGuaranteedGangRestartsOnOtherWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := newHarness(t, ctx)
		defer h.wg.Wait()
		defer cancel()
		h.startOwner(h.table, h.workers)
		h.fillWithBorrowers(longTask)
		k := h.submitGuaranteed()
		h.awaitGuaranteedStart()
		j, _, err := h.jobsClient().Get(ctx, k)
		must.NoError(t, err)
		var crashed []string
		for _, m := range j.Members {
			crashed = append(crashed, m.Worker)
		}
		h.workers.SetFaults(fake.WorkerFaults{Crashed: true}, crashed...)
		must.Eq(t, structs.JobSucceeded, h.awaitFinalState(k).State)
		must.Eq(t, 2*members, h.startedTasks("grading"))
		h.checkCapacity()
	})
}

var _ port.Table = (*haltingTable)(nil)
