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

// TestMain fixes rapid's seed, so that each run has the same verdict; the
// command line still overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// step is an operation on one lease, after a wait.
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

// TestLeasesMatchTheirOracle drives one worker at random beside a map of lease
// to size and expiry. Seen to fail when ended leases may be reserved again,
// when free counts the whole worker, when a lease lapses a second late and
// when a release of an unknown lease is forgotten.
func TestLeasesMatchTheirOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "steps")
		failed := -1
		synctest.Test(t, func(t *testing.T) { failed = runSteps(t, steps) })
		must.Eq(rt, -1, failed, must.Sprint("step that differs"))
	})
}

// runSteps returns the index of the first step at which the worker and the
// oracle differ, or -1.
func runSteps(t *testing.T, steps []step) int {
	w := NewWorkers(NewObjects(), 0, machine)
	o := oracle{held: make(map[structs.LeaseID]holding), ended: make(map[structs.LeaseID]bool)}
	for i, s := range steps {
		time.Sleep(s.wait)
		if o.apply(s) != apply(t.Context(), w, s) {
			return i
		}
	}
	return -1
}

// apply returns whether the step found or got the lease.
func apply(ctx context.Context, w *Workers, s step) bool {
	switch s.op {
	case "reserve":
		return w.Reserve(ctx, machine, s.id, s.size, ttl) == nil
	case "release":
		return w.Release(ctx, machine, []structs.LeaseID{s.id}) == nil
	default:
		status, err := w.Renew(ctx, machine, []structs.LeaseID{s.id}, ttl)
		return err == nil && status[0].State != structs.TaskNotFound
	}
}

type holding struct {
	size    int
	expires time.Time
}

type oracle struct {
	held  map[structs.LeaseID]holding
	ended map[structs.LeaseID]bool
}

func (o oracle) apply(s step) bool {
	used := o.lapse()
	old, held := o.held[s.id]
	switch s.op {
	case "reserve":
		if held {
			return old.size == s.size
		}
		if o.ended[s.id] || used+s.size > machine.Accelerators {
			return false
		}
		o.held[s.id] = holding{size: s.size, expires: time.Now().Add(ttl)}
	case "release":
		delete(o.held, s.id)
		o.ended[s.id] = true
	default:
		if !held {
			return false
		}
		o.held[s.id] = holding{size: old.size, expires: time.Now().Add(ttl)}
	}
	return true
}

// lapse ends the leases that ran out and returns the accelerators in use.
func (o oracle) lapse() int {
	used := 0
	for id, l := range o.held {
		if time.Now().Before(l.expires) {
			used += l.size
			continue
		}
		delete(o.held, id)
		o.ended[id] = true
	}
	return used
}
