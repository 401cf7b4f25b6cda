package scheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// oneRack returns a domain with one rack of workers of the given sizes.
func oneRack(accelerators ...int) Snapshot {
	s := Snapshot{Domain: "d", Workspaces: []structs.Workspace{{Name: "a", BorrowingLimit: 16}}}
	for i, n := range accelerators {
		s.Workers = append(s.Workers, Worker{ID: string(rune('1' + i)), Rack: "r", Accelerators: n, Usable: true})
	}
	return s
}

func pending(id string, members, accelerators int, waited, expected time.Duration) Pending {
	return Pending{QueuedFor: waited, ExpectedRun: expected, Spec: structs.JobSpec{
		Key: structs.JobKey{Workspace: "a", ID: id}, Members: members, Accelerators: accelerators,
		Adjacency: structs.AdjacencyRack, Class: structs.ClassNormal, Preemptible: true,
	}}
}

func running(id string, accelerators int, ran, expected time.Duration, workers ...string) Gang {
	g := Gang{
		Key: structs.JobKey{Workspace: "a", ID: id}, Class: structs.ClassNormal, Preemptible: true, Borrowed: true,
		Accelerators: accelerators, Adjacency: structs.AdjacencyRack, Elapsed: ran, ExpectedRun: expected,
	}
	for _, w := range workers {
		g.Members = append(g.Members, Place{Worker: w, Rack: "r"})
	}
	return g
}

func startedIDs(p Plan) []string {
	ids := []string{}
	for _, st := range p.Starts {
		ids = append(ids, st.Key.ID)
	}
	return ids
}

func TestVerifyRejectsStartOnUnusableWorker(t *testing.T) {
	s := oneRack(4, 4)
	s.Queued = []Pending{pending("gang", 2, 3, 0, time.Hour)}
	p := Decide(s)
	must.Len(t, 1, p.Starts)
	must.NoError(t, Verify(s, p.Starts[0]))
	s.Workers[1].Usable = false
	must.True(t, fault.Is(Verify(s, p.Starts[0]), fault.Conflict))
}

func TestShortJobsBackfillUntilLimit(t *testing.T) {
	for _, tc := range []struct {
		name     string
		waited   time.Duration
		expected time.Duration
		started  []string
	}{
		{"short job ends before the reservation", time.Minute, 10 * time.Minute, []string{"small"}},
		{"short job ends after the reservation", time.Minute, 2 * time.Hour, []string{}},
		{"job ahead waited for the limit", BackfillLimit, 10 * time.Minute, []string{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := oneRack(4, 4)
			s.Gangs = []Gang{running("long", 4, time.Minute, time.Hour, "1")}
			s.Gangs[0].Preemptible = false
			s.Queued = []Pending{pending("large", 2, 4, tc.waited, time.Minute), pending("small", 1, 2, 0, tc.expected)}
			must.Eq(t, tc.started, startedIDs(Decide(s)))
		})
	}
}

func TestGangsMoveOnlyIfWorthTheCost(t *testing.T) {
	for _, tc := range []struct {
		name   string
		waited time.Duration
		ran    time.Duration
		moved  int
	}{
		{"job waited long enough", minWaitToMove, time.Minute, 1},
		{"job didn't wait long enough", minWaitToMove - 1, time.Minute, 0},
		{"gang ends soon", minWaitToMove, time.Hour - time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := oneRack(4, 4, 4)
			s.Gangs = []Gang{running("x", 2, tc.ran, time.Hour, "1"), running("y", 2, 0, time.Hour, "2"), running("z", 1, 0, time.Hour, "3")}
			s.Gangs[1].Preemptible, s.Gangs[2].Preemptible = false, false
			s.Queued = []Pending{pending("large", 1, 4, tc.waited, time.Hour)}
			must.Len(t, tc.moved, Decide(s).Reclaims)
		})
	}
}

func TestOverrunningGangIsStoppedAfterBackfillLimit(t *testing.T) {
	s := oneRack(4)
	s.Gangs = []Gang{running("straggler", 4, 50*time.Hour, time.Hour, "1")}
	s.Queued = []Pending{pending("next", 1, 4, BackfillLimit-1, time.Hour)}
	must.Len(t, 0, Decide(s).Reclaims)
	s.Queued[0].QueuedFor = BackfillLimit
	must.Len(t, 1, Decide(s).Reclaims)
}

func TestImpossibleJobsAreUnplaceableWithReason(t *testing.T) {
	for _, tc := range []struct {
		name   string
		job    Pending
		limit  int
		reason string
	}{
		{"more members than the fleet", pending("j", 9, 1, 0, 0), 99, reasonTooLarge},
		{"more accelerators than a worker", pending("j", 1, 5, 0, 0), 99, reasonTooLarge},
		{"beyond the borrowing limit", pending("j", 2, 4, 0, 0), 7, reasonExceedsLimit},
		{"no members", pending("j", 0, 4, 0, 0), 99, reasonShape},
		{"within the borrowing limit with an unusable worker", pending("j", 2, 4, 0, 0), 8, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := oneRack(4, 4)
			s.Workers[0].Usable = false
			s.Workspaces[0].BorrowingLimit = tc.limit
			s.Queued = []Pending{tc.job}
			p := Decide(s)
			if tc.reason == "" {
				must.Len(t, 1, p.Waiting)
				return
			}
			must.Eq(t, []Verdict{{Key: tc.job.Spec.Key, Reason: tc.reason}}, p.Unplaceable)
		})
	}
}

func TestUnmetGuaranteesAreSharedRoundRobin(t *testing.T) {
	s := oneRack(4, 4, 4, 4)
	g := structs.Guarantee{Domain: "d", Gangs: 2, Members: 1, Accelerators: 4, Adjacency: structs.AdjacencyWorker}
	s.Workspaces = []structs.Workspace{{Name: "b", Guarantees: []structs.Guarantee{g}}, {Name: "a", Guarantees: []structs.Guarantee{g}}}
	must.SliceEmpty(t, Decide(s).UnmetGuarantees)
	s.Workers[0].Usable = false
	must.Eq(t, []UnmetGuarantee{{Workspace: "b", Guarantee: g, Missing: 1}}, Decide(s).UnmetGuarantees)
	s.Workers[1].Usable = false
	must.Eq(t, []UnmetGuarantee{{Workspace: "a", Guarantee: g, Missing: 1}, {Workspace: "b", Guarantee: g, Missing: 1}}, Decide(s).UnmetGuarantees)
}

func TestEstimatesUseMedianOverDeclaredRun(t *testing.T) {
	e := NewEstimates()
	key := structs.ServiceKey{Workspace: "a", Name: "scan"}
	must.Eq(t, time.Hour, e.Expected(key, time.Hour))
	for i := range 100 {
		ran := time.Minute
		if i%10 == 0 {
			ran = 50 * time.Minute
		}
		e.Observe(key, ran)
	}
	must.Eq(t, time.Minute, e.Expected(key, time.Hour))
}

// Placed one by one by best fit, the two smaller jobs would use two workers, and
// the third job would reclaim worker 3. The test fails without placeTogether.
func TestGuaranteedJobsShareOneRoundOfReclaims(t *testing.T) {
	s := oneRack(4, 3, 3)
	s.Gangs = []Gang{running("x", 4, 0, 0, "1"), running("y", 3, 0, 0, "2"), running("z", 3, 0, 0, "3")}
	s.Gangs[0].Stopping, s.Gangs[1].Stopping = true, true
	s.Workspaces[0].Guarantees = []structs.Guarantee{
		{Domain: "d", Gangs: 2, Members: 1, Accelerators: 2, Adjacency: structs.AdjacencyWorker},
		{Domain: "d", Gangs: 1, Members: 1, Accelerators: 3, Adjacency: structs.AdjacencyWorker},
	}
	s.Queued = []Pending{pending("a", 1, 2, 3, 0), pending("b", 1, 2, 2, 0), pending("c", 1, 3, 1, 0)}
	p := Decide(s)
	must.SliceEmpty(t, p.Reclaims)
	must.Len(t, 3, p.Waiting)
	s.Gangs = s.Gangs[2:]
	must.Len(t, 3, Decide(s).Starts)
}

// A job that isn't preemptible can't use accelerators set aside for guarantees. If
// it fits on no others in an idle domain, it would wait forever.
func TestJobThatFitsOnlyInSlotsIsUnplaceable(t *testing.T) {
	s := oneRack(4, 4)
	s.Workspaces = append(s.Workspaces, structs.Workspace{Name: "b", Guarantees: []structs.Guarantee{
		{Domain: "d", Gangs: 1, Members: 2, Accelerators: 4, Adjacency: structs.AdjacencyRack}}})
	job := pending("kept", 1, 2, 30*time.Minute, time.Hour)
	job.Spec.Preemptible = false
	s.Queued = []Pending{job}
	p := Decide(s)
	must.Len(t, 1, p.Unplaceable)
	must.EqOp(t, "kept", p.Unplaceable[0].Key.ID)

	busy := s
	busy.Gangs = []Gang{running("lent", 4, time.Minute, time.Hour, "1")}
	must.Len(t, 0, Decide(busy).Unplaceable)

	lost := s
	lost.Workers = append([]Worker(nil), s.Workers...)
	lost.Workers[1].Usable = false
	must.Len(t, 0, Decide(lost).Unplaceable)

	job.Spec.Preemptible = true
	s.Queued = []Pending{job}
	must.Len(t, 1, Decide(s).Starts)
}
