package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

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
