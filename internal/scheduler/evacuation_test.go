package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// evacuatedRack returns an evacuated domain in which workspace b has a guarantee, a
// preemptible gang borrows one worker and another worker is free.
func evacuatedRack() Snapshot {
	s := oneRack(4, 4)
	s.Evacuated = true
	s.Workspaces = append(s.Workspaces, structs.Workspace{Name: "b", Guarantees: []structs.Guarantee{
		{Domain: "d", Gangs: 1, Members: 1, Accelerators: 4, Adjacency: structs.AdjacencyWorker},
	}})
	s.Gangs = []Gang{running("borrowing", 4, time.Minute, time.Hour, "1")}
	return s
}

func guaranteedPending(id string) Pending {
	p := pending(id, 1, 4, time.Hour, time.Minute)
	p.Spec.Key.Workspace = "b"
	return p
}

// Guards against decisions that ignore the evacuation: starts of borrowing or
// guaranteed jobs, and reclaims that would stop running gangs for jobs that can't
// start.
func TestNothingStartsInEvacuatedDomain(t *testing.T) {
	s := evacuatedRack()
	s.Queued = []Pending{guaranteedPending("guaranteed"), pending("borrower", 1, 2, time.Hour, time.Minute)}
	p := Decide(s)
	must.SliceEmpty(t, p.Starts)
	must.SliceEmpty(t, p.Reclaims)
	must.SliceEmpty(t, p.Unplaceable)
	must.SliceLen(t, 2, p.Waiting)
	for _, v := range p.Waiting {
		must.Eq(t, "failure domain d is evacuated", v.Reason)
	}
	must.SliceLen(t, 1, p.UnmetGuarantees)

	s.Evacuated = false
	p = Decide(s)
	must.SliceLen(t, 1, p.Starts)
	must.Eq(t, "guaranteed", p.Starts[0].Key.ID)
	s.Evacuated = true
	must.True(t, fault.Is(Verify(s, p.Starts[0]), fault.Conflict))
}

// Guards against ending jobs as unplaceable because the workers of an evacuated
// domain were switched off and are no longer listed. A job of an unknown workspace
// still ends.
func TestJobsWaitWhileEvacuatedWorkersAreMissing(t *testing.T) {
	s := evacuatedRack()
	s.Workers, s.Gangs = nil, nil
	unknown := pending("unknown", 1, 1, 0, 0)
	unknown.Spec.Key.Workspace = "c"
	s.Queued = []Pending{pending("pinned", 2, 4, 0, time.Minute), unknown}
	p := Decide(s)
	must.SliceLen(t, 1, p.Waiting)
	must.Eq(t, "pinned", p.Waiting[0].Key.ID)
	must.SliceLen(t, 1, p.Unplaceable)
	must.Eq(t, "unknown", p.Unplaceable[0].Key.ID)
}
