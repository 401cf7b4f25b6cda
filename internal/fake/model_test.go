package fake

import (
	"context"
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// TestMain fixes rapid's seed, which makes each run deterministic. Flags on the
// command line override it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// step is an operation on one lease that follows a wait.
type step struct {
	op   string
	id   structs.LeaseID
	size int
	wait time.Duration
}

func drawStep(rt *rapid.T) step {
	return step{
		op:   rapid.SampledFrom([]string{"reserve", "reserve", "renew", "release"}).Draw(rt, "op"),
		id:   structs.LeaseID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(rt, "lease")),
		size: rapid.IntRange(1, 5).Draw(rt, "size"),
		wait: time.Duration(rapid.IntRange(0, 6).Draw(rt, "wait")) * time.Second,
	}
}

// TestWorkerLeasesMatchModel applies random operations to one worker and to a
// model that maps leases to size and expiry. It fails if ended leases can be
// reserved again, if the free accelerators ignore the leases, if a lease expires a
// second late or if the release of an unknown lease isn't recorded.
func TestWorkerLeasesMatchModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "steps")
		failed := -1
		synctest.Test(t, func(t *testing.T) { failed = runSteps(t, steps) })
		must.Eq(rt, -1, failed, must.Sprint("index of the first differing step"))
	})
}

// runSteps returns the index of the first step at which the worker and the model
// differ, or -1.
func runSteps(t *testing.T, steps []step) int {
	w := NewWorkers(NewObjects(), 0, testWorker)
	model := leaseModel{held: make(map[structs.LeaseID]modelLease), ended: make(map[structs.LeaseID]bool)}
	for i, s := range steps {
		time.Sleep(s.wait)
		if model.apply(s) != apply(t.Context(), w, s) {
			return i
		}
	}
	return -1
}

// apply runs the step on the worker and reports whether it succeeded. A renewal
// succeeds only if the lease is active.
func apply(ctx context.Context, w *Workers, s step) bool {
	switch s.op {
	case "reserve":
		return w.Reserve(ctx, testWorker, s.id, s.size, ttl) == nil
	case "release":
		return w.Release(ctx, testWorker, []structs.LeaseID{s.id}) == nil
	default:
		status, err := w.Renew(ctx, testWorker, []structs.LeaseID{s.id}, ttl)
		return err == nil && status[0].State != structs.TaskNotFound
	}
}

type modelLease struct {
	size    int
	expires time.Time
}

type leaseModel struct {
	held  map[structs.LeaseID]modelLease
	ended map[structs.LeaseID]bool
}

// apply runs the step on the model and reports whether it must succeed.
func (model leaseModel) apply(s step) bool {
	used := model.expire()
	old, held := model.held[s.id]
	switch s.op {
	case "reserve":
		if held {
			return old.size == s.size
		}
		if model.ended[s.id] || used+s.size > testWorker.Accelerators {
			return false
		}
		model.held[s.id] = modelLease{size: s.size, expires: time.Now().Add(ttl)}
	case "release":
		delete(model.held, s.id)
		model.ended[s.id] = true
	default:
		if !held {
			return false
		}
		model.held[s.id] = modelLease{size: old.size, expires: time.Now().Add(ttl)}
	}
	return true
}

// expire ends the expired leases and returns the accelerators in use.
func (model leaseModel) expire() int {
	used := 0
	for id, l := range model.held {
		if time.Now().Before(l.expires) {
			used += l.size
			continue
		}
		delete(model.held, id)
		model.ended[id] = true
	}
	return used
}
