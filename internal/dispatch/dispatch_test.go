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

// TestMain fixes rapid's seed, so that verdicts are the same on each run.
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

// fleet returns a dispatcher of one instance with two workspaces, each with an
// urgent service "check" and a batch service "scan".
func fleet(s Settings, servers, slots int) *Dispatcher {
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

func checkItem(id uint64, workspace string, now time.Time) Item {
	return Item{ID: id, Workspace: workspace, Service: "check", Repeatable: true, Deadline: now.Add(time.Minute)}
}

func TestDispatchPathAllocatesNothing(t *testing.T) {
	d := fleet(Settings{}, 50, 8)
	now := start
	load := &port.BackendLoad{Slots: 8}
	id := uint64(0)
	cycle := func() {
		now = now.Add(time.Millisecond)
		id++
		if err := d.Enqueue(now, checkItem(id, "yard", now)); err != nil {
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

// drain dispatches all it can and returns the assignments.
func drain(d *Dispatcher, now time.Time) []Assignment {
	var all []Assignment
	for {
		a, ok := d.Next(now)
		if !ok {
			return all
		}
		all = append(all, a)
	}
}

// TestWorkspacesShareByWeight fails when charge does nothing, and when
// quantum ignores the weight.
func TestWorkspacesShareByWeight(t *testing.T) {
	d := fleet(Settings{QueueLimit: 8000}, 1, 8)
	now := start
	served := map[string]int{}
	owner := map[uint64]string{}
	id := uint64(0)
	refill := func(workspace string, n int) {
		for range n {
			id++
			owner[id] = workspace
			must.NoError(t, d.Enqueue(now, checkItem(id, workspace, now.Add(time.Hour))))
		}
	}
	refill("yard", 900)
	refill("mill", 900)
	run := 100 * time.Millisecond
	// What one round gives and one item costs bound the lead of either.
	bound := float64(quantum+run)/float64(run) + 1
	for range 100 {
		batch := drain(d, now)
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

// TestShortWorkFindsASlotBehindLongWork fails when longLimit is all slots.
func TestShortWorkFindsASlotBehindLongWork(t *testing.T) {
	d := fleet(Settings{}, 4, 8)
	for id := uint64(1); id <= 100; id++ {
		must.NoError(t, d.Enqueue(start, Item{ID: id, Workspace: "yard", Service: "scan", Deadline: start.Add(time.Hour)}))
	}
	must.Len(t, 24, drain(d, start))
	for id := uint64(101); id <= 108; id++ {
		must.NoError(t, d.Enqueue(start, checkItem(id, "mill", start)))
	}
	must.Len(t, 8, drain(d, start))
}

// TestStragglersGiveTheReserveBack fails when demote does nothing.
func TestStragglersGiveTheReserveBack(t *testing.T) {
	d := fleet(Settings{}, 4, 8)
	for id := uint64(1); id <= 8; id++ {
		must.NoError(t, d.Enqueue(start, checkItem(id, "mill", start)))
	}
	must.Len(t, 8, drain(d, start))
	now := start.Add(2 * time.Second)
	for id := uint64(101); id <= 200; id++ {
		must.NoError(t, d.Enqueue(now, Item{ID: id, Workspace: "yard", Service: "scan", Deadline: now.Add(time.Hour)}))
	}
	must.Len(t, 16, drain(d, now))
}

// TestStragglerIsCutOnlyWhileOthersWait fails when limitFor ignores the queue
// or repeatable, and when a dropped item keeps its level.
func TestStragglerIsCutOnlyWhileOthersWait(t *testing.T) {
	d := fleet(Settings{}, 1, 8)
	now := start
	for id := uint64(1); id <= 20; id++ {
		must.NoError(t, d.Enqueue(now, checkItem(id, "yard", now)))
		a, ok := d.Next(now)
		must.True(t, ok)
		must.Zero(t, a.Limit)
		d.Done(now, a, Result{Kind: Succeeded, Elapsed: 100 * time.Millisecond})
	}
	for id := uint64(101); id <= 120; id++ {
		it := checkItem(id, "yard", now)
		it.Repeatable = id != 101
		must.NoError(t, d.Enqueue(now, it))
	}
	batch := drain(d, now)
	must.Len(t, 8, batch)
	must.Zero(t, batch[0].Limit)
	must.Between(t, 100*time.Millisecond, batch[1].Limit, 200*time.Millisecond)
	now = now.Add(batch[1].Limit)
	cut := Result{Kind: Failed, Elapsed: batch[1].Limit, Abandoned: true}
	d.Done(now, batch[1], cut)
	must.True(t, d.Retry(now, batch[1], cut))
	next, ok := d.Next(now)
	must.True(t, ok)
	must.NotEq(t, batch[1].Item, next.Item, must.Sprint("the straggler must wait behind short work"))
}

// TestRefusesAtOnceWhatWouldComeTooLate fails when admits returns true, and
// when forecast returns 0.
func TestRefusesAtOnceWhatWouldComeTooLate(t *testing.T) {
	d := fleet(Settings{}, 1, 8)
	now := start
	enqueue := func(id uint64, deadline time.Duration) error {
		it := checkItem(id, "yard", now)
		it.Deadline = now.Add(deadline)
		return d.Enqueue(now, it)
	}
	must.True(t, fault.Is(enqueue(1, 0), fault.Timeout))
	for id := uint64(2); id <= 200; id++ {
		must.NoError(t, enqueue(id, time.Minute))
		drain(d, now)
	}
	// 191 wait for 8 slots, 100 ms each.
	must.True(t, fault.Is(enqueue(300, 2*time.Second), fault.Timeout))
	must.NoError(t, enqueue(301, 4*time.Second))
	must.True(t, fault.Is(d.Enqueue(now, Item{ID: 302, Workspace: "yard", Service: "none"}), fault.NotFound))
}

// TestLongRunsLowerTheClass fails when levelFor returns the declared rank, and
// when heldBy counts only slots in use.
func TestLongRunsLowerTheClass(t *testing.T) {
	d := fleet(Settings{}, 4, 8)
	now := start
	for id := uint64(1); id <= 20; id++ {
		must.NoError(t, d.Enqueue(now, checkItem(id, "yard", now)))
		a, _ := d.Next(now)
		now = now.Add(5 * time.Second)
		d.Done(now, a, Result{Kind: Succeeded, Elapsed: 5 * time.Second})
	}
	for id := uint64(101); id <= 140; id++ {
		must.NoError(t, d.Enqueue(now, checkItem(id, "yard", now)))
	}
	must.Len(t, 24, drain(d, now), must.Sprint("long work must leave the reserve free"))
}

// TestPartsOfAllInstancesAddUp fails when share rounds without the shift of
// the interval's other bound.
func TestPartsOfAllInstancesAddUp(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f", "g"}
	demand := map[string]int{"a": 90, "b": 10, "c": 40, "d": 0, "e": 7, "f": 300, "g": 55}
	sum := map[string]int{}
	for i, self := range ids {
		d := fleet(Settings{}, 50, 8)
		d.SetShare(self, append(append([]string{}, ids[:i]...), ids[i+1:]...))
		d.SetDemand(demand)
		for _, v := range d.servers {
			sum[v.id] += v.part
		}
	}
	for id, n := range sum {
		must.Eq(t, 8, n, must.Sprint(id))
	}
}

// TestFreshServerStartsSlowly fails when setServer starts no ramp.
func TestFreshServerStartsSlowly(t *testing.T) {
	d := fleet(Settings{}, 1, 8)
	d.SetServers([]Server{{ID: "server-0", Slots: 8, Leaving: true}, {ID: "fresh", Slots: 8}})
	for id := uint64(1); id <= 20; id++ {
		must.NoError(t, d.Enqueue(start, checkItem(id, "yard", start)))
	}
	must.Len(t, 1, drain(d, start))
	wake, ok := d.Wake(start)
	must.True(t, ok)
	must.True(t, wake.After(start))
	must.Len(t, 4, drain(d, start.Add(5*time.Second)))
}

func benchmarkCycle(b *testing.B, servers int) {
	d := fleet(Settings{}, servers, 8)
	now := start
	load := &port.BackendLoad{Slots: 8}
	id := uint64(0)
	var held []Assignment
	for b.Loop() {
		now = now.Add(time.Millisecond)
		id++
		_ = d.Enqueue(now, checkItem(id, "yard", now))
		a, _ := d.Next(now)
		held = append(held, a)
		if len(held) == servers*6 {
			for _, h := range held {
				d.Done(now, h, Result{Kind: Succeeded, Load: load, Elapsed: 20 * time.Millisecond})
			}
			held = held[:0]
		}
	}
}

func BenchmarkDispatch50x8(b *testing.B)  { benchmarkCycle(b, 50) }
func BenchmarkDispatch500x8(b *testing.B) { benchmarkCycle(b, 500) }

// TestLongWorkLeavesASlotOfEachServer fails when room ignores the reserve.
func TestLongWorkLeavesASlotOfEachServer(t *testing.T) {
	d := fleet(Settings{}, 2, 8)
	must.NoError(t, d.Enqueue(start, checkItem(1, "yard", start)))
	a, _ := d.Next(start)
	full := &port.BackendLoad{Slots: 8, Busy: 8}
	d.Done(start, a, Result{Kind: Succeeded, Load: full, Elapsed: time.Second})
	for id := uint64(2); id <= 40; id++ {
		must.NoError(t, d.Enqueue(start, Item{ID: id, Workspace: "yard", Service: "scan", Deadline: start.Add(time.Hour)}))
	}
	must.Len(t, 7, drain(d, start))
}
