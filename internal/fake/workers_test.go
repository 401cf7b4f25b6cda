package fake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

var (
	_ port.Table     = (*Table)(nil)
	_ port.Objects   = (*Objects)(nil)
	_ port.Instances = (*Instances)(nil)
	_ port.Workers   = (*Workers)(nil)
	_ port.Backends  = (*Backends)(nil)
)

const ttl = 10 * time.Second

var testWorker = structs.Worker{ID: "w", Accelerators: 8, State: structs.StateLive}

// withWorker runs a test in virtual time with one healthy worker.
func withWorker(t *testing.T, f func(t *testing.T, w *Workers)) {
	synctest.Test(t, func(t *testing.T) {
		f(t, NewWorkers(NewObjects(), 2*time.Second, testWorker))
	})
}

func (w *Workers) mustRun(t *testing.T, id structs.LeaseID, payload, checkpoint string) {
	must.NoError(t, w.Reserve(t.Context(), testWorker, id, 4, ttl))
	must.NoError(t, w.Start(t.Context(), testWorker, id, []byte(payload), checkpoint))
}

func (w *Workers) leaseStatus(t *testing.T, id structs.LeaseID) structs.LeaseStatus {
	status, err := w.Renew(t.Context(), testWorker, []structs.LeaseID{id}, ttl)
	must.NoError(t, err)
	return status[0]
}

func (w *Workers) eventKinds() []EventKind {
	events, _ := w.Events()
	var out []EventKind
	for _, e := range events {
		out = append(out, e.Kind)
	}
	return out
}

func TestLapsedLeaseStopsTaskPermanently(t *testing.T) {
	withWorker(t, func(t *testing.T, w *Workers) {
		w.mustRun(t, "a", `{"run_ms":60000}`, "")
		time.Sleep(ttl)
		must.Eq(t, structs.TaskNotFound, w.leaseStatus(t, "a").State)
		must.Eq(t, []EventKind{EventLeaseGranted, EventTaskStarted, EventTaskStopped, EventLeaseLapsed}, w.eventKinds())
		err := w.Reserve(t.Context(), testWorker, "a", 4, ttl)
		must.Eq(t, fault.Refused, fault.CodeOf(err))
		err = w.Start(t.Context(), testWorker, "a", nil, "")
		must.Eq(t, fault.Fenced, fault.CodeOf(err))
	})
}

func TestReleaseRejectsLaterReserve(t *testing.T) {
	withWorker(t, func(t *testing.T, w *Workers) {
		for range 2 {
			must.NoError(t, w.Release(t.Context(), testWorker, []structs.LeaseID{"a"}))
		}
		err := w.Reserve(t.Context(), testWorker, "a", 4, ttl)
		must.Eq(t, fault.Refused, fault.CodeOf(err))
	})
}

func TestReserveAndStartAreIdempotent(t *testing.T) {
	withWorker(t, func(t *testing.T, w *Workers) {
		for range 3 {
			w.mustRun(t, "a", `{"run_ms":5000}`, "")
		}
		time.Sleep(5 * time.Second)
		must.Eq(t, structs.TaskSucceeded, w.leaseStatus(t, "a").State)
		w.mustRun(t, "a", `{"run_ms":5000}`, "")
		must.Eq(t, []EventKind{EventLeaseGranted, EventTaskStarted, EventTaskSucceeded}, w.eventKinds())
	})
}

func TestThrottledTaskRunsSlowerAndReportsLessUsage(t *testing.T) {
	withWorker(t, func(t *testing.T, w *Workers) {
		w.mustRun(t, "a", `{"run_ms":8000}`, "")
		must.NoError(t, w.Throttle(t.Context(), testWorker, "a", 50))
		time.Sleep(9 * time.Second)
		must.Eq(t, structs.LeaseStatus{Lease: "a", State: structs.TaskRunning, Usage: 18 * time.Second}, w.leaseStatus(t, "a"))
		time.Sleep(time.Second)
		must.Eq(t, 18*time.Second, w.leaseStatus(t, "a").Usage, must.Sprint("usage must lag"))
		time.Sleep(6 * time.Second)
		must.Eq(t, structs.LeaseStatus{Lease: "a", State: structs.TaskSucceeded, Usage: 32 * time.Second}, w.leaseStatus(t, "a"))
	})
}

func TestTaskResumesFromCheckpoint(t *testing.T) {
	withWorker(t, func(t *testing.T, w *Workers) {
		w.mustRun(t, "a", `{"run_ms":9000,"state_ms":1000}`, "")
		time.Sleep(6 * time.Second)
		must.NoError(t, w.Checkpoint(t.Context(), testWorker, "a", "a.ckpt"))
		must.NoError(t, w.Checkpoint(t.Context(), testWorker, "a", "a.ckpt"))
		must.NoError(t, w.Release(t.Context(), testWorker, []structs.LeaseID{"a"}))
		w.mustRun(t, "b", `{"run_ms":9000}`, "a.ckpt")
		time.Sleep(2999 * time.Millisecond)
		must.Eq(t, structs.TaskRunning, w.leaseStatus(t, "b").State)
		time.Sleep(time.Millisecond)
		must.Eq(t, structs.TaskSucceeded, w.leaseStatus(t, "b").State)
		err := w.Start(t.Context(), testWorker, "c", nil, "nowhere")
		must.Eq(t, fault.Refused, fault.CodeOf(err))
	})
}

// TestFrozenWorkerDropsExpiredLeases checks that a worker that was frozen for
// longer than a lease's TTL doesn't resume the lease's task. It fails if thaw
// renews leases.
func TestFrozenWorkerDropsExpiredLeases(t *testing.T) {
	withWorker(t, func(t *testing.T, w *Workers) {
		w.mustRun(t, "a", `{"run_ms":60000}`, "")
		must.NoError(t, w.Reserve(t.Context(), testWorker, "b", 4, 3*ttl))
		must.NoError(t, w.Start(t.Context(), testWorker, "b", []byte(`{"run_ms":10000}`), ""))
		w.SetFaults(WorkerFaults{Frozen: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := w.Renew(ctx, testWorker, []structs.LeaseID{"a"}, ttl)
		must.Eq(t, fault.Uncertain, fault.CodeOf(err))
		time.AfterFunc(2*ttl, func() { w.SetFaults(WorkerFaults{}) })
		must.Eq(t, structs.TaskNotFound, w.leaseStatus(t, "a").State)
		must.Eq(t, structs.TaskRunning, w.leaseStatus(t, "b").State, must.Sprint("a frozen task must not progress"))
	})
}

func TestWorkerFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults WorkerFaults
		code   fault.Code
		state  structs.TaskState
	}{
		{"down", WorkerFaults{Faults: Faults{Down: true}}, fault.Unavailable, structs.TaskNotFound},
		{"lost answers", WorkerFaults{Faults: Faults{LoseReplies: true}}, fault.Uncertain, structs.TaskReserved},
		{"hang", WorkerFaults{Faults: Faults{Hang: true}}, fault.Uncertain, structs.TaskNotFound},
		{"leaving", WorkerFaults{Leaving: true}, fault.Refused, structs.TaskNotFound},
		{"crashed", WorkerFaults{Crashed: true}, fault.Unavailable, structs.TaskNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withWorker(t, func(t *testing.T, w *Workers) {
				w.SetFaults(c.faults, testWorker.ID)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				err := w.Reserve(ctx, testWorker, "a", 4, ttl)
				must.Eq(t, c.code, fault.CodeOf(err))
				w.SetFaults(WorkerFaults{})
				must.Eq(t, c.state, w.leaseStatus(t, "a").State)
			})
		})
	}
}

func TestFailedStartsAndInflatedUsage(t *testing.T) {
	withWorker(t, func(t *testing.T, w *Workers) {
		w.SetFaults(WorkerFaults{FailStarts: true})
		w.mustRun(t, "a", `{"run_ms":5000}`, "")
		must.Eq(t, structs.TaskFailed, w.leaseStatus(t, "a").State)
		w.SetFaults(WorkerFaults{UsageFactor: 10})
		w.mustRun(t, "b", `{"run_ms":5000}`, "")
		time.Sleep(2 * time.Second)
		must.Eq(t, 80*time.Second, w.leaseStatus(t, "b").Usage)
	})
}
