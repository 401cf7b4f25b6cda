package scheduler

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

func TestDecideStartsWholeGangInOneRack(t *testing.T) {
	s := Snapshot{
		Domain:     "d",
		Workers:    []Worker{{"w1", "r1", 4, true}, {"w2", "r2", 4, true}, {"w3", "r2", 4, true}},
		Workspaces: []structs.Workspace{{Name: "a", BorrowingLimit: 12}},
		Queued: []Pending{{Spec: structs.JobSpec{
			Key: structs.JobKey{Workspace: "a", ID: "1"}, Members: 2, Accelerators: 3,
			Adjacency: structs.AdjacencyRack, Preemptible: true}}},
	}
	p := Decide(s)
	must.Len(t, 1, p.Starts)
	must.Eq(t, []Place{{"w2", "r2"}, {"w3", "r2"}}, p.Starts[0].Places)
	must.NoError(t, Verify(s, p.Starts[0]))
	s.Workers[1].Usable = false
	must.True(t, fault.Is(Verify(s, p.Starts[0]), fault.Conflict))
}
