package dispatch

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// TestMain fixes rapid's seed so that results are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

// newTestDispatcher returns a dispatcher of one instance with two workspaces,
// each with an urgent service "check" and a batch service "scan".
func newTestDispatcher(s Settings, servers, slots int) *Dispatcher {
	d := New(s)
	d.SetConfig(
		[]structs.Workspace{{Name: "yard", Weight: 1}, {Name: "mill", Weight: 3}},
		[]structs.Service{
			{Name: "check", Workspace: "yard", Class: structs.ClassUrgent, DeclaredRunMillis: 100},
			{Name: "scan", Workspace: "yard", Class: structs.ClassBatch, DeclaredRunMillis: 5000},
			{Name: "check", Workspace: "mill", Class: structs.ClassUrgent, DeclaredRunMillis: 100},
			{Name: "scan", Workspace: "mill", Class: structs.ClassBatch, DeclaredRunMillis: 5000},
		})
	list := make([]Server, servers)
	for i := range list {
		list[i] = Server{ID: fmt.Sprintf("server-%d", i), Slots: slots}
	}
	d.SetServers(list)
	return d
}

// shortItem returns a repeatable item of the urgent service "check" with a
// deadline in a minute.
func shortItem(id uint64, workspace string, now time.Time) Item {
	return Item{ID: id, Workspace: workspace, Service: "check", Repeatable: true, Deadline: now.Add(time.Minute)}
}

func TestDispatchPathDoesNotAllocate(t *testing.T) {
	d := newTestDispatcher(Settings{}, 50, 8)
	now := start
	load := &port.BackendLoad{Slots: 8}
	id := uint64(0)
	cycle := func() {
		now = now.Add(time.Millisecond)
		id++
		if err := d.Enqueue(now, shortItem(id, "yard", now)); err != nil {
			t.Fatal(err)
		}
		a, ok := d.Next(now)
		if !ok {
			t.Fatal("no assignment")
		}
		d.Done(now, a, Result{Kind: Succeeded, Load: load, Elapsed: 20 * time.Millisecond})
		d.Expire(now)
		d.Wake(now)
	}
	must.Zero(t, testing.AllocsPerRun(20_000, cycle))
}

// dispatchAll calls Next until it returns false and returns the assignments.
func dispatchAll(d *Dispatcher, now time.Time) []Assignment {
	var all []Assignment
	for {
		a, ok := d.Next(now)
		if !ok {
			return all
		}
		all = append(all, a)
	}
}

// TestWorkspacesShareSlotsByWeight fails if charge does nothing or quantum
// ignores the weight.
func TestWorkspacesShareSlotsByWeight(t *testing.T) {
	d := newTestDispatcher(Settings{QueueLimit: 8000}, 1, 8)
	now := start
	served := map[string]int{}
	owner := map[uint64]string{}
	id := uint64(0)
	refill := func(workspace string, n int) {
		for range n {
			id++
			owner[id] = workspace
			must.NoError(t, d.Enqueue(now, shortItem(id, workspace, now.Add(time.Hour))))
		}
	}
	refill("yard", 900)
	refill("mill", 900)
	run := 100 * time.Millisecond
	// bound limits the difference between the workspaces' numbers of served
	// items, each divided by its weight. It is the number of items that a quantum
	// and the cost of one item pay for, plus one item.
	bound := float64(quantum+run)/float64(run) + 1
	for range 100 {
		batch := dispatchAll(d, now)
		now = now.Add(run)
		for _, a := range batch {
			served[owner[a.Item]]++
			lead := float64(served["mill"])/3 - float64(served["yard"])
			must.Between(t, -bound, lead, bound)
			d.Done(now, a, Result{Kind: Succeeded, Elapsed: run})
		}
	}
	must.Eq(t, 800, served["yard"]+served["mill"])
}

// TestLongWorkLeavesReservedSlotsForShortWork fails if longLimit covers all
// slots.
func TestLongWorkLeavesReservedSlotsForShortWork(t *testing.T) {
	d := newTestDispatcher(Settings{}, 4, 8)
	for id := uint64(1); id <= 100; id++ {
		must.NoError(t, d.Enqueue(start, Item{ID: id, Workspace: "yard", Service: "scan", Deadline: start.Add(time.Hour)}))
	}
	must.Len(t, 24, dispatchAll(d, start))
	for id := uint64(101); id <= 108; id++ {
		must.NoError(t, d.Enqueue(start, shortItem(id, "mill", start)))
	}
	must.Len(t, 8, dispatchAll(d, start))
}

// TestStragglersCountAgainstLongWorkLimit fails if demoteStragglers does
// nothing.
func TestStragglersCountAgainstLongWorkLimit(t *testing.T) {
	d := newTestDispatcher(Settings{}, 4, 8)
	for id := uint64(1); id <= 8; id++ {
		must.NoError(t, d.Enqueue(start, shortItem(id, "mill", start)))
	}
	must.Len(t, 8, dispatchAll(d, start))
	now := start.Add(2 * time.Second)
	for id := uint64(101); id <= 200; id++ {
		must.NoError(t, d.Enqueue(now, Item{ID: id, Workspace: "yard", Service: "scan", Deadline: now.Add(time.Hour)}))
	}
	must.Len(t, 16, dispatchAll(d, now))
}

// TestStragglerTimeLimitOnlyAppliesWhileWorkIsQueued fails if stragglerLimit
// ignores the queue or repeatable, or if a straggler is queued again at its
// previous level.
func TestStragglerTimeLimitOnlyAppliesWhileWorkIsQueued(t *testing.T) {
	d := newTestDispatcher(Settings{}, 1, 8)
	now := start
	for id := uint64(1); id <= 20; id++ {
		must.NoError(t, d.Enqueue(now, shortItem(id, "yard", now)))
		a, ok := d.Next(now)
		must.True(t, ok)
		must.Zero(t, a.Limit)
		d.Done(now, a, Result{Kind: Succeeded, Elapsed: 100 * time.Millisecond})
	}
	for id := uint64(101); id <= 120; id++ {
		it := shortItem(id, "yard", now)
		it.Repeatable = id != 101
		must.NoError(t, d.Enqueue(now, it))
	}
	batch := dispatchAll(d, now)
	must.Len(t, 8, batch)
	must.Zero(t, batch[0].Limit)
	must.Between(t, 100*time.Millisecond, batch[1].Limit, 200*time.Millisecond)
	now = now.Add(batch[1].Limit)
	abandoned := Result{Kind: Failed, Elapsed: batch[1].Limit, Abandoned: true}
	d.Done(now, batch[1], abandoned)
	must.True(t, d.Retry(now, batch[1], abandoned))
	next, ok := d.Next(now)
	must.True(t, ok)
	must.NotEq(t, batch[1].Item, next.Item, must.Sprint("the straggler must be queued behind short work"))
}

// TestEnqueueRejectsItemsThatCannotMeetDeadline fails if admits always returns
// true or forecastWait returns 0.
func TestEnqueueRejectsItemsThatCannotMeetDeadline(t *testing.T) {
	d := newTestDispatcher(Settings{}, 1, 8)
	now := start
	enqueue := func(id uint64, deadline time.Duration) error {
		it := shortItem(id, "yard", now)
		it.Deadline = now.Add(deadline)
		return d.Enqueue(now, it)
	}
	must.True(t, fault.Is(enqueue(1, 0), fault.Timeout))
	for id := uint64(2); id <= 200; id++ {
		must.NoError(t, enqueue(id, time.Minute))
		dispatchAll(d, now)
	}
	// 191 items wait for 8 slots and run for 100 ms each.
	must.True(t, fault.Is(enqueue(300, 2*time.Second), fault.Timeout))
	must.NoError(t, enqueue(301, 4*time.Second))
	must.True(t, fault.Is(d.Enqueue(now, Item{ID: 302, Workspace: "yard", Service: "none"}), fault.NotFound))
}

// TestLongRunTimesLowerEffectiveClass fails if levelFor returns the declared
// rank or levelSlots counts only occupied slots.
func TestLongRunTimesLowerEffectiveClass(t *testing.T) {
	d := newTestDispatcher(Settings{}, 4, 8)
	now := start
	for id := uint64(1); id <= 20; id++ {
		must.NoError(t, d.Enqueue(now, shortItem(id, "yard", now)))
		a, _ := d.Next(now)
		now = now.Add(5 * time.Second)
		d.Done(now, a, Result{Kind: Succeeded, Elapsed: 5 * time.Second})
	}
	for id := uint64(101); id <= 140; id++ {
		must.NoError(t, d.Enqueue(now, shortItem(id, "yard", now)))
	}
	must.Len(t, 24, dispatchAll(d, now), must.Sprint("long work must leave the reserve free"))
}

// TestSlotSharesOfAllInstancesSumToServerSlots fails if splitSlots shifts only
// one bound of the interval before rounding.
func TestSlotSharesOfAllInstancesSumToServerSlots(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g"}
	demand := map[string]int{"a": 90, "b": 10, "c": 40, "d": 0, "e": 7, "f": 300, "g": 55}
	sum := map[string]int{}
	for i, self := range ids {
		d := newTestDispatcher(Settings{}, 50, 8)
		d.SetInstances(self, append(append([]string{}, ids[:i]...), ids[i+1:]...))
		d.SetDemand(demand)
		for _, v := range d.servers {
			sum[v.id] += v.ownSlots
		}
	}
	for id, n := range sum {
		must.Eq(t, 8, n, must.Sprint(id))
	}
}

// TestNewServerStartsSlowly fails if setServer doesn't set slowStart.
func TestNewServerStartsSlowly(t *testing.T) {
	d := newTestDispatcher(Settings{}, 1, 8)
	d.SetServers([]Server{{ID: "server-0", Slots: 8, Leaving: true}, {ID: "fresh", Slots: 8}})
	for id := uint64(1); id <= 20; id++ {
		must.NoError(t, d.Enqueue(start, shortItem(id, "yard", start)))
	}
	must.Len(t, 1, dispatchAll(d, start))
	wake, ok := d.Wake(start)
	must.True(t, ok)
	must.True(t, wake.After(start))
	must.Len(t, 4, dispatchAll(d, start.Add(5*time.Second)))
}

func benchmarkCycle(b *testing.B, servers int) {
	d := newTestDispatcher(Settings{}, servers, 8)
	now := start
	load := &port.BackendLoad{Slots: 8}
	id := uint64(0)
	var inFlight []Assignment
	for b.Loop() {
		now = now.Add(time.Millisecond)
		id++
		_ = d.Enqueue(now, shortItem(id, "yard", now))
		a, _ := d.Next(now)
		inFlight = append(inFlight, a)
		if len(inFlight) == servers*6 {
			for _, h := range inFlight {
				d.Done(now, h, Result{Kind: Succeeded, Load: load, Elapsed: 20 * time.Millisecond})
			}
			inFlight = inFlight[:0]
		}
	}
}

func BenchmarkDispatch50x8(b *testing.B)  { benchmarkCycle(b, 50) }
func BenchmarkDispatch500x8(b *testing.B) { benchmarkCycle(b, 500) }

// TestLongWorkLeavesOneSlotPerServer fails if freeKinds ignores the reserve.
func TestLongWorkLeavesOneSlotPerServer(t *testing.T) {
	d := newTestDispatcher(Settings{}, 2, 8)
	must.NoError(t, d.Enqueue(start, shortItem(1, "yard", start)))
	a, _ := d.Next(start)
	full := &port.BackendLoad{Slots: 8, Busy: 8}
	d.Done(start, a, Result{Kind: Succeeded, Load: full, Elapsed: time.Second})
	for id := uint64(2); id <= 40; id++ {
		must.NoError(t, d.Enqueue(start, Item{ID: id, Workspace: "yard", Service: "scan", Deadline: start.Add(time.Hour)}))
	}
	must.Len(t, 7, dispatchAll(d, start))
}
