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

// urgentBound is the promise for urgent guaranteed work.
const urgentBound = 3700 * time.Millisecond

// longTask is a payload that outlasts every test; slowCheckpoint's checkpoint
// takes longer than settings allow for other calls.
const (
	longTask       = `{"run_ms":3600000}`
	slowCheckpoint = `{"run_ms":3600000,"state_ms":1500}`
)

// lend fills the failure domain with preemptible work of another workspace and
// returns once it runs.
func (w *world) lend(payload string) {
	w.t.Helper()
	for i := range 6 {
		s := spec(fmt.Sprint("lent-", i))
		s.Key.Workspace = "research"
		s.Members = 1
		s.Preemptible = true
		s.Payload = []byte(payload)
		_, _, err := w.callers().Submit(w.ctx, s)
		must.NoError(w.t, err)
	}
	for range 100 {
		if w.started("research") == 6 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.t.Fatal("lent work never ran")
}

// started counts the tasks of a workspace that were started.
func (w *world) started(workspace string) int {
	n := 0
	events, _ := w.workers.Events()
	for _, e := range events {
		if e.Kind == fake.EventTaskStarted && string(e.Lease)[:len(workspace)] == workspace {
			n++
		}
	}
	return n
}

// ask submits the guaranteed gang.
func (w *world) ask() structs.JobKey {
	w.t.Helper()
	s := spec("scan")
	s.Class = structs.ClassUrgent
	_, _, err := w.callers().Submit(w.ctx, s)
	must.NoError(w.t, err)
	return s.Key
}

// awaitStart returns how long it took until the guaranteed gang ran.
func (w *world) awaitStart() time.Duration {
	w.t.Helper()
	asked := time.Now()
	for range 6000 {
		if w.started("grading") == members {
			return time.Since(asked)
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.t.Fatal("the guaranteed gang never ran")
	return 0
}

// TestGuaranteedGangStartsWithinTheBound seen failing: with checkpoints bounded
// like other calls the slow one is lost, without a bound the one that hangs
// keeps the gang waiting, and without reclaims every case fails.
func TestGuaranteedGangStartsWithinTheBound(t *testing.T) {
	cases := []struct {
		name    string
		payload string
		faults  fake.WorkerFaults
		kept    int
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
				w := newWorld(t, ctx)
				defer w.wg.Wait()
				defer cancel()
				w.run(w.table, w.workers)
				w.lend(c.payload)
				w.workers.SetFaults(c.faults)
				w.ask()
				must.LessEq(t, urgentBound, w.awaitStart())
				must.Eq(t, c.kept, w.checkpoints())
				w.checkOverlapping()
			})
		})
	}
}

func (w *world) checkpoints() int {
	n := 0
	events, _ := w.workers.Events()
	for _, e := range events {
		if e.Kind == fake.EventCheckpointed {
			n++
		}
	}
	return n
}

// checkOverlapping asserts that no worker ever held more accelerators under
// leases than it has.
func (w *world) checkOverlapping() {
	w.t.Helper()
	events, _ := w.workers.Events()
	held := make(map[string]int)
	for _, e := range events {
		switch e.Kind {
		case fake.EventLeaseGranted:
			held[e.Worker] += e.Accelerators
		case fake.EventLeaseReleased, fake.EventLeaseLapsed:
			held[e.Worker] -= e.Accelerators
		}
		must.LessEq(w.t, 4, held[e.Worker])
	}
}

// TestReclaimOutlivesItsOwner kills the owner before each of its steps from
// the ask on; the next owner goes on with the reclaim. Seen failing: with
// recover doing nothing.
func TestReclaimOutlivesItsOwner(t *testing.T) {
	for at := 1; at <= maxSteps; at++ {
		t.Run(fmt.Sprintf("step %d", at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				w := newWorld(t, ctx)
				defer w.wg.Wait()
				defer cancel()
				halted := make(chan struct{})
				first := &steps{Table: w.table, Workers: w.workers, stop: func() { close(halted) }}
				kill := w.run(&tableSteps{first}, first)
				w.lend(longTask)
				first.arm(at)
				w.ask()
				select {
				case <-halted:
				case <-time.After(time.Minute):
				}
				kill()
				time.Sleep(takeover)
				w.run(w.table, w.workers)
				must.LessEq(t, urgentBound, w.awaitStart())
				w.checkOverlapping()
			})
		})
	}
}

// arm makes the n-th call from now on the owner's last.
func (s *steps) arm(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = s.n + n
}

// TestReclaimGoesOnAfterAnOutage cuts the table off in the middle of a reclaim.
func TestReclaimGoesOnAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(t, ctx)
		defer w.wg.Wait()
		defer cancel()
		w.run(w.table, w.workers)
		w.lend(longTask)
		w.workers.SetFaults(fake.WorkerFaults{CheckpointHangs: true})
		w.ask()
		time.Sleep(time.Second)
		w.table.SetFaults(fake.TableFaults{Down: true})
		time.Sleep(time.Minute)
		must.Eq(t, 0, w.started("grading"))
		w.table.SetFaults(fake.TableFaults{})
		must.LessEq(t, urgentBound, w.awaitStart())
		w.checkOverlapping()
	})
}

// TestGuaranteedGangFindsOtherWorkers loses the workers of one rack, which
// takes the gang and lent work with it.
func TestGuaranteedGangFindsOtherWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(t, ctx)
		defer w.wg.Wait()
		defer cancel()
		w.run(w.table, w.workers)
		w.lend(longTask)
		k := w.ask()
		w.awaitStart()
		j, _, err := w.callers().Get(ctx, k)
		must.NoError(t, err)
		var lost []string
		for _, m := range j.Members {
			lost = append(lost, m.Worker)
		}
		w.workers.SetFaults(fake.WorkerFaults{Crashed: true}, lost...)
		must.Eq(t, structs.JobSucceeded, w.awaitEnd(k).State)
		must.Eq(t, 2*members, w.started("grading"))
		w.checkOverlapping()
	})
}

var _ port.Table = (*tableSteps)(nil)
