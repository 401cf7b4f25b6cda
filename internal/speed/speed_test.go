package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// pool generates the runs of a pool whose workers have known time factors.
type pool struct {
	rng *rand.Rand
	e   *Estimator
	now time.Duration
	// factors are the true time factors, by worker.
	factors map[string]float64
	steps   int
}

func newPool(seed uint64, factors ...float64) *pool {
	p := &pool{rng: rand.New(rand.NewPCG(seed, 1)), e: New(), now: time.Minute, factors: map[string]float64{}}
	for i := range 48 {
		p.factors[fmt.Sprintf("w%02d", i)] = factors[i%len(factors)]
	}
	return p
}

func (p *pool) worker(i int) string { return fmt.Sprintf("w%02d", i%len(p.factors)) }

// runStep runs a task of a step on each of the workers. The estimate is wrong by up to
// errors, a task's run time varies by a tenth, and 3% of the tasks run 7 times longer.
func (p *pool) runStep(errors float64, workers ...string) {
	p.steps++
	bias := math.Exp(errors * (2*p.rng.Float64() - 1))
	for i, w := range workers {
		factor := p.factors[w] * bias * math.Exp(0.1*p.rng.NormFloat64())
		if p.rng.Float64() < 0.03 {
			factor *= 7
		}
		p.e.Observe(p.now, Observation{Run: Run{work.TaskID{Job: fmt.Sprint(p.steps), Index: i}, 1}, Workers: []string{w}, Factor: factor})
	}
	p.now += 200 * time.Millisecond
	p.e.Update(p.now)
}

func (p *pool) finish() {
	p.now += updateInterval
	p.e.Update(p.now)
}

// Urgent work is placed on workers by their factors, so a wrong one makes it late. Guards
// against long tails or wrong estimates taken for a slow worker, and against errors that
// grow where placement by speed runs whole steps on workers of one class.
func TestTellsUnevenWorkersApart(t *testing.T) {
	for _, errors := range []float64{0.2, 0.7} {
		for seed := range uint64(5) {
			p := newPool(seed, 0.7, 0.7, 1.7)
			for step := range 120 {
				var workers []string
				for k := range 8 { // two steps in three run on workers of one class
					i := step*5 + 3*k
					if step%3 == 0 {
						i = step*5 + k
					}
					workers = append(workers, p.worker(i))
				}
				p.runStep(errors, workers...)
			}
			p.finish()
			wrong := 0
			for w, factor := range p.factors {
				if slow := p.e.Factor(w) > 1.56*p.e.Factor(p.worker(0)); slow != (factor > 1) {
					wrong++
				}
			}
			must.LessEq(t, 2, wrong, must.Sprintf("errors %.1f, seed %d", errors, seed))
		}
	}
}

// Guards against noise that is taken for differences: placement on even workers must go by
// free capacity alone.
func TestEvenWorkersStayInOneClass(t *testing.T) {
	p := newPool(1, 1)
	for step := range 120 {
		var workers []string
		for k := range 8 {
			workers = append(workers, p.worker(step*5+k))
		}
		p.runStep(0.2, workers...)
	}
	p.finish()
	for w := range p.factors {
		must.Between(t, 0.87, p.e.Factor(w), 1.15, must.Sprint(w))
	}
}

// Guards against an unknown worker that is taken for a fast one in an uneven pool.
func TestUnknownWorkerMayBeSlow(t *testing.T) {
	p := newPool(1, 0.7, 0.7, 1.7)
	must.Less(t, 1.25, p.e.UpperFactor("unknown"))
	for step := range 60 {
		p.runStep(0.2, p.worker(step), p.worker(step+1), p.worker(step+2), p.worker(step+3))
	}
	p.finish()
	must.Greater(t, 1.6, p.e.UpperFactor("unknown"))
	must.Less(t, 1.2, p.e.UpperFactor(p.worker(0)))
}

// Guards against a restarted worker that is still taken for what it was: its new
// incarnation may be of another kind.
func TestForgetsWorker(t *testing.T) {
	p := newPool(1, 0.7, 0.7, 1.7)
	for step := range 60 {
		p.runStep(0.2, p.worker(step), p.worker(step+1), p.worker(step+2), p.worker(step+3))
	}
	p.finish()
	must.Less(t, 0.9, p.e.Factor(p.worker(0)))
	p.e.Forget(p.worker(0))
	must.Eq(t, 1, p.e.Factor(p.worker(0)))
}

// Guards against gang members that are blamed for the slowest one.
func TestGangTellsOfItsSlowestMember(t *testing.T) {
	p := newPool(1, 1)
	p.factors["w40"] = 2.5
	for step := range 200 {
		gang := []string{p.worker(step), p.worker(step + 7), p.worker(step + 19)}
		factor := 0.0
		for _, w := range gang {
			factor = max(factor, p.factors[w])
		}
		p.steps++
		p.e.Observe(p.now, Observation{Run: Run{work.TaskID{Job: fmt.Sprint(p.steps)}, 1}, Workers: gang, Factor: factor})
		p.now += 100 * time.Millisecond
		p.finish()
	}
	must.Greater(t, 1.7, p.e.Factor("w40"))
	must.Less(t, 1.3, p.e.Factor("w33"))
	must.Less(t, 1.3, p.e.Factor("w21"))
}

// Guards against a new owner that learns everything again, and against a stored factor that
// outlives the incarnation it was learned of.
func TestStoredFactorsBelongToAnIncarnation(t *testing.T) {
	p := newPool(1, 0.7, 0.7, 1.7)
	for step := range 60 {
		p.runStep(0.2, p.worker(step), p.worker(step+1), p.worker(step+2), p.worker(step+3))
	}
	p.finish()
	stored := p.e.Store([]Identity{{"w00", 7}, {"w02", 8}, {"w03", 0}})
	must.Len(t, 2, stored.Workers)
	next := New()
	restorer := NewRestorer(stored)
	restorer.Restore(next, Identity{"w00", 7})
	restorer.Restore(next, Identity{"w02", 9})
	must.Between(t, p.e.Factor("w00")-0.02, next.Factor("w00"), p.e.Factor("w00")+0.02)
	must.Eq(t, 1, next.Factor("w02"))
}

// Guards against members of past gangs that are blamed for a slow one once that has
// restarted, or has newer runs.
func TestMembersArentBlamedForFormerSlowOne(t *testing.T) {
	for _, restarted := range []bool{true, false} {
		p := newPool(1, 0.7, 0.7, 1.7)
		for step := range 60 {
			p.runStep(0.2, p.worker(step), p.worker(step+1), p.worker(step+2), p.worker(step+3))
		}
		p.finish()
		must.Less(t, 0.85, p.e.Factor("w00"))
		for range maxPerWorker {
			p.steps++
			p.e.Observe(p.now, Observation{Run: Run{work.TaskID{Job: fmt.Sprint(p.steps)}, 1}, Workers: []string{"w00", "w02"}, Factor: 1.7})
		}
		p.finish()
		if restarted {
			p.e.Forget("w02")
		} else {
			for range maxPerWorker {
				p.runStep(0, "w02")
			}
		}
		p.e.Observe(p.now, Observation{Run: Run{work.TaskID{Job: "new"}, 1}, Workers: []string{"w01"}, Factor: 0.7})
		p.finish()
		must.Less(t, 1.2, p.e.Factor("w00"), must.Sprintf("restarted %v", restarted))
	}
}

// Guards against a new owner that loses the stored factors with its first observation,
// because it takes the pool for an even one until it has seen runs on many workers.
func TestStoredFactorsOutlastTheFirstObservation(t *testing.T) {
	p := newPool(1, 0.7, 0.7, 1.7)
	for step := range 60 {
		p.runStep(0.2, p.worker(step), p.worker(step+1), p.worker(step+2), p.worker(step+3))
	}
	p.finish()
	var workers []Identity
	for i := range 48 {
		workers = append(workers, Identity{p.worker(i), 7})
	}
	next := New()
	restorer := NewRestorer(p.e.Store(workers))
	for _, id := range workers {
		restorer.Restore(next, id)
	}
	next.Observe(p.now, Observation{Run: Run{work.TaskID{Job: "new"}, 1}, Workers: []string{"w03"}, Factor: p.factors["w03"]})
	must.True(t, next.Update(p.now))
	must.Less(t, 0.85, next.Factor("w00"))
	must.Less(t, 1.3, next.UpperFactor("w00"))
	must.Greater(t, 1.3, next.Factor("w02"))
	must.Greater(t, 1.6, next.UpperFactor("unknown"))
}

// Guards against a write every few seconds because a factor near 1 is stored at one time
// and left out at the next.
func TestFactorNearOneIsNoReasonToStore(t *testing.T) {
	e := New()
	worker := Identity{"w00", 7}
	e.worker("w00").log = minStored * 1.1
	with := e.Store([]Identity{worker})
	e.worker("w00").log = minStored * 0.9
	without := e.Store([]Identity{worker})
	must.Len(t, 1, with.Workers)
	must.Len(t, 0, without.Workers)
	must.False(t, with.DiffersFrom(&without))
	must.False(t, without.DiffersFrom(&with))
	e.worker("w00").log = 0.3
	slow := e.Store([]Identity{worker})
	must.True(t, slow.DiffersFrom(&without))
	must.True(t, without.DiffersFrom(&slow))
}

// Guards against state that grows with the steps that have run, and against gangs that are
// counted out more than once.
func TestForgetsOldSteps(t *testing.T) {
	e := New()
	observe := func(now time.Duration, job string, workers ...string) {
		e.Observe(now, Observation{Run: Run{work.TaskID{Job: job}, 1}, Workers: workers, Factor: 1})
	}
	observe(time.Second, "gang", "c", "a", "b")
	e.Observe(time.Second, Observation{Run: Run{work.TaskID{Job: "gang", Index: 9}, 1}, Workers: []string{"d"}, Factor: 1})
	for k := range maxPerWorker {
		observe(time.Second, fmt.Sprint("a", k), "a")
	}
	e.Forget("b")
	must.MapLen(t, 1+maxPerWorker, e.steps)
	observe(time.Second+maxAge, "gang", "c")
	observe(time.Second+maxAge, "new", "e")
	e.Forget("d")
	must.True(t, e.Update(time.Second+maxAge+maxAge/2))
	must.MapLen(t, 2, e.byRun)
	must.MapLen(t, 2, e.steps)
	must.True(t, e.steps[work.StepID{Job: "gang"}].observations == 1)
	e.Observe(time.Second+3*maxAge, Observation{Run: Run{work.TaskID{Job: "gang", Index: 10}, 1}, Workers: []string{"e"}, Factor: 1})
	e.Update(time.Second + 3*maxAge)
	must.MapLen(t, 1, e.byRun)
	must.MapLen(t, 1, e.steps)
}

// evenPool returns what is stored of 48 even workers whose estimates are all too short.
func evenPool(t *testing.T) (*pool, Stored, []Identity) {
	t.Helper()
	p := newPool(1, 1.4)
	var workers []Identity
	for i := range 48 {
		workers = append(workers, Identity{p.worker(i), 7})
	}
	for step := range 60 {
		p.runStep(0.2, p.worker(step), p.worker(step+1), p.worker(step+2), p.worker(step+3))
	}
	p.finish()
	must.True(t, p.e.Even())
	return p, p.e.Store(workers), workers
}

// Guards against a stored evenness that overrides what the new owner has learned from runs
// itself, that outlives all workers it was learned of, or that comes from a damaged row.
func TestStoredEvennessHoldsUntilItIsLearned(t *testing.T) {
	_, stored, workers := evenPool(t)
	fresh := New()
	NewRestorer(stored).Restore(fresh, workers[0])
	must.True(t, fresh.Even())
	must.Between(t, -0.1, fresh.Deviation(workers[0].ID), 0.1)

	replaced := New()
	NewRestorer(stored).Restore(replaced, Identity{workers[0].ID, 8})
	must.False(t, replaced.Even())

	uneven := newPool(1, 0.7, 0.7, 1.7)
	for step := range 60 {
		uneven.runStep(0.2, uneven.worker(step), uneven.worker(step+1), uneven.worker(step+2), uneven.worker(step+3))
	}
	uneven.finish()
	must.False(t, uneven.e.Even())
	NewRestorer(stored).Restore(uneven.e, workers[0])
	must.False(t, uneven.e.Even())

	stored.Center = math.NaN()
	damaged := New()
	NewRestorer(stored).Restore(damaged, workers[0])
	must.False(t, damaged.Even())
}

// Guards against an evenness that the next owner doesn't get because no factor changed, and
// against a write every few seconds for a median that moves a little.
func TestEvennessIsAReasonToStore(t *testing.T) {
	_, even, _ := evenPool(t)
	uneven := even
	uneven.Even, uneven.Center = false, 0
	must.True(t, even.DiffersFrom(&uneven))
	must.True(t, uneven.DiffersFrom(&even))
	moved := even
	moved.Center += 0.05
	must.False(t, moved.DiffersFrom(&even))
	moved.Center += 0.1
	must.True(t, moved.DiffersFrom(&even))
}
