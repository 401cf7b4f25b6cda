package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// The store turns the owner away and it works through its peers, each of whose
// answers takes a detour: an instance with a way of its own takes over while
// everything runs on.
func TestOwnerThatTheStoreTurnsAwayHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		first := w.launch()
		time.Sleep(time.Second)
		second := w.launch()
		for _, in := range w.instances {
			in.register()
		}
		w.profile("long", 14, 4)
		w.submit("long", gang(4, 2, 14))
		time.Sleep(6 * time.Second)
		must.EqOp(t, first.name, w.owner())
		first.turned.Store(true)
		time.Sleep(3 * time.Second)
		must.EqOp(t, second.name, w.owner())
		must.EqOp(t, 4, w.pool.Running())
		w.await(15 * time.Second)
		must.EqOp(t, 4, w.pool.Starts())
		w.intact()
	})
}

// Where the store turns every instance away by turns, the pool isn't passed
// around.
func TestPoolIsNotPassedAroundWhenAllAreTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		for range 3 {
			w.launch()
		}
		time.Sleep(7 * time.Second)
		for _, in := range w.instances {
			in.register()
		}
		time.Sleep(time.Second)
		for _, in := range w.instances {
			in.turned.Store(true)
		}
		before := w.instances[0].replica.Pool(testPool).Epoch.Number
		time.Sleep(12 * time.Second)
		must.LessEq(t, before+2*3, w.instances[0].replica.Pool(testPool).Epoch.Number)
	})
}

// The owner's time of day jumps ahead by an hour, and the owner is killed
// between two occurrences: none starts early, none twice.
func TestOccurrencesAreNeverEarlyWhenOneClockJumps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		first := w.launchWith(func(in *instance) { in.wallAhead = time.Hour })
		time.Sleep(time.Second)
		w.launch()
		w.launch()
		time.Sleep(time.Second)
		for _, in := range w.instances {
			in.register()
		}
		time.Sleep(time.Second)
		must.EqOp(t, first.name, w.owner())
		w.profile("timed", 1, 0)
		start := w.instances[1].wall() + 5*time.Second
		w.submitJob("timed", 0, work.Schedule{Count: 3, First: start, Every: 4 * time.Second}, []work.Step{single(1, 1)})
		time.Sleep(4900 * time.Millisecond)
		must.EqOp(t, 0, w.pool.Starts())
		time.Sleep(time.Second)
		must.EqOp(t, 1, w.pool.Starts())
		first.kill()
		time.Sleep(3 * time.Second)
		must.EqOp(t, 1, w.pool.Starts())
		time.Sleep(time.Second)
		must.EqOp(t, 2, w.pool.Starts())
		w.await(10 * time.Second)
		must.EqOp(t, 3, w.pool.Starts())
		must.EqOp(t, work.Completed, w.state("timed"))
		w.intact()
	})
}

// The store had an outage, so that stored placements may be incomplete, and the
// owner is killed right after it. Once all workers have heard the next owner, and
// its copy holds what the store had then, jobs start.
func TestRecoveryAfterAnOutageEndsOnceAllWorkersAreHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		first := w.launch()
		time.Sleep(time.Second)
		w.launch()
		time.Sleep(3 * time.Second)
		w.profile("inherited", 8, 0) // outlives the check, as the takeover may come before the kill
		w.profile("new", 8, 0)
		w.store.SetFaults(fake.Faults{Down: true})
		time.Sleep(time.Second)
		w.store.SetFaults(fake.Faults{})
		time.Sleep(400 * time.Millisecond)
		first.kill()
		w.submit("inherited", single(1, 8))
		time.Sleep(1500 * time.Millisecond)
		w.submit("new", single(1, 8))
		time.Sleep(500 * time.Millisecond)
		must.EqOp(t, 2, w.pool.Running())
		w.await(20 * time.Second)
		w.intact()
	})
}

// startUnrecordedAndKill lets the owner start a task whose placement it can't
// store, after the others have found the store quiet, and kills it.
func (w *world) startUnrecordedAndKill(owner *instance) {
	w.t.Helper()
	time.Sleep(settledAfter + 2*time.Second)
	w.profile("job", 8, 0)
	owner.muteJobs.Store(true)
	w.submit("job", single(1, 8))
	time.Sleep(time.Second)
	must.EqOp(w.t, 1, w.pool.Running())
	owner.kill()
}

// The owner's writes of jobs are lost, so that it starts a task before its
// placement is stored. The next owner, whose own reads never failed, doesn't reach
// the worker that runs it.
func TestNextOwnerKnowsThatPlacementsWereBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		first := w.launch()
		time.Sleep(time.Second)
		second := w.launchWith(func(in *instance) { in.slowAt, in.slowHold = "w00", 20*time.Second })
		w.startUnrecordedAndKill(first)
		time.Sleep(4 * time.Second)
		must.EqOp(t, second.name, w.owner())
		w.intact()
		w.await(40 * time.Second)
		w.intact()
	})
}

// The next owner goes, too, before it has heard all workers: the one after it
// knows as well.
func TestOwnerAfterTheNextKnowsThatPlacementsWereBypassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		first := w.launch()
		time.Sleep(time.Second)
		apart := func(in *instance) { in.slowAt, in.slowHold = "w00", 20*time.Second }
		second, third := w.launchWith(apart), w.launchWith(apart)
		w.startUnrecordedAndKill(first)
		time.Sleep(1500 * time.Millisecond)
		for _, in := range []*instance{second, third} {
			if in.name == w.owner() {
				in.kill()
			}
		}
		time.Sleep(2 * time.Second)
		w.intact()
		w.await(40 * time.Second)
		w.intact()
	})
}

// slowRegistry answers late, as one does whose store is away for a while.
type slowRegistry struct {
	port.WorkerRegistry
	after time.Duration
}

func (r *slowRegistry) Workers(ctx context.Context) ([]work.Worker, int64, error) {
	time.Sleep(r.after)
	return r.WorkerRegistry.Workers(ctx)
}

// Between the takeover and the next owner's first hold lie seven seconds, for
// which the store is away: the former owner goes on renewing and starting all the
// while, as no worker knows better (seed 31 of the fault tests).
func TestLeasesAreWaitedForFromTheFirstHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		first := w.launch()
		time.Sleep(time.Second)
		w.registry = &slowRegistry{w.pool, 7 * time.Second}
		second := w.launchWith(func(in *instance) { in.slowAt, in.slowHold = "w00", 100*time.Millisecond })
		time.Sleep(time.Second)
		w.profile("long", 30, 0)
		w.submit("long", single(20, 30))
		time.Sleep(time.Second)
		must.EqOp(t, 20, w.pool.Running())
		first.mute.Store(true)
		time.Sleep(12 * time.Second)
		must.EqOp(t, second.name, w.owner())
		w.intact()
		must.EqOp(t, 20, w.pool.Starts())
	})
}
