package scheduler

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// A fixed seed makes the histories reproducible.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// domainModel is a small failure domain to which random operations are applied.
type domainModel struct {
	s      Snapshot
	lastID int
}

var (
	adjacencies = []structs.Adjacency{structs.AdjacencyWorker, structs.AdjacencyRack, structs.AdjacencyDomain}
	classes     = []structs.Class{structs.ClassUrgent, structs.ClassNormal, structs.ClassBatch}
)

func newDomainModel(t *rapid.T) *domainModel {
	m := &domainModel{s: Snapshot{Domain: "d"}}
	workers := rapid.IntRange(2, 6).Draw(t, "workers")
	racks := rapid.IntRange(1, 3).Draw(t, "racks")
	for i := range workers {
		m.s.Workers = append(m.s.Workers, Worker{
			ID: fmt.Sprint("w", i), Rack: fmt.Sprint("r", i%racks),
			Accelerators: rapid.IntRange(1, 4).Draw(t, "accelerators"), Usable: true,
		})
	}
	for i := range rapid.IntRange(2, 3).Draw(t, "workspaces") {
		m.s.Workspaces = append(m.s.Workspaces, structs.Workspace{Name: fmt.Sprint("ws", i)})
		m.configure(t, i)
	}
	return m
}

// configure draws a new borrowing limit and new guarantees for workspace i.
func (m *domainModel) configure(t *rapid.T, i int) {
	w := &m.s.Workspaces[i]
	w.BorrowingLimit = rapid.IntRange(0, 16).Draw(t, "borrowing")
	w.Guarantees = nil
	for range rapid.IntRange(0, 2).Draw(t, "guarantees") {
		w.Guarantees = append(w.Guarantees, structs.Guarantee{
			Domain: "d", Gangs: rapid.IntRange(1, 2).Draw(t, "gangs"),
			Members:      rapid.IntRange(1, 3).Draw(t, "members"),
			Accelerators: rapid.IntRange(1, 3).Draw(t, "size"),
			Adjacency:    rapid.SampledFrom(adjacencies).Draw(t, "adjacency"),
		})
	}
}

func (m *domainModel) clone() *domainModel {
	c := *m
	c.s.Workers = slices.Clone(m.s.Workers)
	c.s.Gangs = slices.Clone(m.s.Gangs)
	c.s.Queued = slices.Clone(m.s.Queued)
	c.s.Workspaces = slices.Clone(m.s.Workspaces)
	return &c
}

func (m *domainModel) submit(t *rapid.T) {
	m.lastID++
	run := time.Duration(rapid.IntRange(0, 60).Draw(t, "run")) * time.Minute
	m.s.Queued = append(m.s.Queued, Pending{ExpectedRun: run, Spec: structs.JobSpec{
		Key:          structs.JobKey{Workspace: rapid.SampledFrom(m.s.Workspaces).Draw(t, "workspace").Name, ID: fmt.Sprint(m.lastID)},
		Members:      rapid.IntRange(1, 3).Draw(t, "members"),
		Accelerators: rapid.IntRange(1, 4).Draw(t, "size"),
		Adjacency:    rapid.SampledFrom(adjacencies).Draw(t, "adjacency"),
		Class:        rapid.SampledFrom(classes).Draw(t, "class"),
		Preemptible:  rapid.Bool().Draw(t, "preemptible"),
	}})
}

// decide applies one plan and checks each of its parts.
func (m *domainModel) decide(t rapid.TB) Plan {
	before := unusedGangsFit(m.s)
	p := Decide(m.s)
	allMet := len(p.UnmetGuarantees) == 0
	must.True(t, allMet || !before.fitsInAllMatchings, must.Sprintf("plan has unmet guarantees %+v in %+v", p.UnmetGuarantees, m.s))
	must.True(t, !allMet || before.fitsInAnyMatching, must.Sprint("plan has no unmet guarantees"))
	for i := range m.s.Gangs {
		if m.s.Gangs[i].Stopping {
			m.s.Gangs[i].StoppingFor += time.Second
		}
	}
	for _, r := range p.Reclaims {
		i := m.gangIndex(r.Key)
		must.True(t, m.s.Gangs[i].Preemptible && !m.s.Gangs[i].Stopping, must.Sprint("reclaimed gang must be preemptible and not stopping"))
		m.s.Gangs[i].Stopping = true
	}
	for _, st := range p.Starts {
		err := Verify(m.s, st)
		if err != nil && !allMet {
			// While a guarantee is unmet, each start may change which gangs get
			// a slot. The start is left to the next decision.
			continue
		}
		must.NoError(t, err)
		must.True(t, allMet || !st.Borrowed, must.Sprint("borrows while a guarantee is unmet"))
		m.start(t, st)
	}
	for _, v := range p.Unplaceable {
		m.dequeue(v.Key)
	}
	must.True(t, !allMet || len(m.s.Queued) == len(p.Waiting), must.Sprint("each job has one verdict"))
	must.True(t, !before.fitsInAllMatchings || unusedGangsFit(m.s).fitsInAnyMatching, must.Sprint("guarantees no longer reclaimable"))
	m.checkCapacity(t)
	return p
}

func (m *domainModel) start(t rapid.TB, st Start) {
	spec := m.dequeue(st.Key).Spec
	must.Len(t, spec.Members, st.Places, must.Sprint("all members or none"))
	for _, p := range st.Places {
		must.True(t, spec.Adjacency != structs.AdjacencyWorker || p.Worker == st.Places[0].Worker)
		must.True(t, spec.Adjacency != structs.AdjacencyRack || p.Rack == st.Places[0].Rack)
	}
	m.s.Gangs = append(m.s.Gangs, Gang{
		Key: spec.Key, Class: spec.Class, Preemptible: spec.Preemptible, Borrowed: st.Borrowed,
		Members: st.Places, Accelerators: spec.Accelerators, Adjacency: spec.Adjacency,
	})
}

func (m *domainModel) gangIndex(k structs.JobKey) int {
	return slices.IndexFunc(m.s.Gangs, func(g Gang) bool { return g.Key == k })
}

func (m *domainModel) dequeue(k structs.JobKey) Pending {
	i := slices.IndexFunc(m.s.Queued, func(p Pending) bool { return p.Spec.Key == k })
	p := m.s.Queued[i]
	m.s.Queued = slices.Delete(m.s.Queued, i, i+1)
	return p
}

// checkCapacity checks that no worker is overcommitted.
func (m *domainModel) checkCapacity(t rapid.TB) {
	used := map[string]int{}
	for _, g := range m.s.Gangs {
		for _, p := range g.Members {
			used[p.Worker] += g.Accelerators
		}
	}
	for _, w := range m.s.Workers {
		must.LessEq(t, w.Accelerators, used[w.ID], must.Sprint("overcommitted ", w.ID))
	}
}

// finish removes a random gang that is stopping, or one that isn't.
func (m *domainModel) finish(t *rapid.T, stopping bool) {
	var matching []int
	for i, g := range m.s.Gangs {
		if g.Stopping == stopping {
			matching = append(matching, i)
		}
	}
	if len(matching) == 0 {
		t.Skip("no such gang")
	}
	i := rapid.SampledFrom(matching).Draw(t, "gang")
	m.s.Gangs = slices.Delete(m.s.Gangs, i, i+1)
}

func (m *domainModel) advance(t *rapid.T) {
	d := time.Duration(rapid.IntRange(1, 45).Draw(t, "minutes")) * time.Minute
	for i := range m.s.Gangs {
		m.s.Gangs[i].Elapsed += d
	}
	for i := range m.s.Queued {
		m.s.Queued[i].QueuedFor += d
	}
}

// requestAllGuaranteed queues a job for every unused gang of every guarantee, on
// a copy of the model and with jobs that borrow beside them. All jobs within the
// guarantees must run after one round of reclaims.
func (m *domainModel) requestAllGuaranteed(t rapid.TB) {
	if !unusedGangsFit(m.s).fitsInAllMatchings {
		return
	}
	c := m.clone()
	c.s.Queued = nil
	requested := 0
	guarantees := newState(c.s).guarantees.list
	for _, g := range guarantees {
		for range g.unused {
			requested++
			c.s.Queued = append(c.s.Queued, Pending{Spec: structs.JobSpec{
				Key:     structs.JobKey{Workspace: g.workspace, ID: fmt.Sprint("ask", requested)},
				Members: g.shape.members, Accelerators: g.shape.accelerators, Adjacency: g.shape.adjacency,
			}})
		}
	}
	c.addBorrowers()
	c.decide(t)
	// The gangs stop one after another, with decisions in between.
	for range len(c.s.Gangs) + 1 {
		before := c.clone().s
		for _, r := range c.decide(t).Reclaims {
			must.Eq(t, "crowd", r.For.Workspace, must.Sprintf("a second reclaim: %+v", before))
		}
		if i := slices.IndexFunc(c.s.Gangs, func(g Gang) bool { return g.Stopping }); i >= 0 {
			c.s.Gangs = slices.Delete(c.s.Gangs, i, i+1)
		}
	}
	for _, p := range c.s.Queued {
		must.Eq(t, "crowd", p.Spec.Key.Workspace, must.Sprintf("a job within the guarantees waits: %+v", c.s))
	}
}

// addBorrowers queues urgent preemptible jobs of a workspace without guarantees,
// whose borrowing limit exceeds the accelerators of the domain.
func (m *domainModel) addBorrowers() {
	m.s.Workspaces = append(m.s.Workspaces, structs.Workspace{Name: "crowd", BorrowingLimit: 100})
	for i := range 12 {
		m.s.Queued = append(m.s.Queued, Pending{QueuedFor: time.Minute, Spec: structs.JobSpec{
			Key: structs.JobKey{Workspace: "crowd", ID: fmt.Sprint(i)}, Members: 1, Accelerators: 1 + i%2,
			Adjacency: structs.AdjacencyWorker, Class: structs.ClassUrgent, Preemptible: true,
		}})
	}
}

// The plans of random histories must overcommit no worker, give each job the shape
// that it requests, and keep all guarantees reclaimable according to the oracle.
// The test fails with each of these mutations (use go test -overlay):
//   - slotSet.placeAround compares sums of accelerators instead of shapes;
//   - borrowPass.findPlaceIn starts non-preemptible jobs without tryTake;
//   - slotSet.placeAll skips the exact search;
//   - newState leaves stopping gangs out of soonFree;
//   - state.commit doesn't subtract a start from free;
//   - borrowPass.startAll skips the check for unmet guarantees, or tryStart that
//     of the borrowing limit;
//   - capacity.findRack accepts one member fewer, or capacity.find any rack;
//   - placedGang.reclaimable ignores Preemptible;
//   - capacityWithout counts unusable workers;
//   - placeOne doesn't commit the place after a reclaim.
func TestGuaranteesStayReclaimableInRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDomainModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":  m.submit,
			"burst":   func(t *rapid.T) { m.submit(t); m.submit(t); m.submit(t) },
			"decide":  func(t *rapid.T) { m.decide(t) },
			"finish":  func(t *rapid.T) { m.finish(t, false) },
			"stopped": func(t *rapid.T) { m.finish(t, true) },
			"pass":    m.advance,
			"cancel":  func(*rapid.T) { m.s.Queued = nil },
			"worker": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.s.Workers)-1).Draw(t, "worker")
				m.s.Workers[i].Usable = !m.s.Workers[i].Usable
			},
			"configure": func(t *rapid.T) {
				m.configure(t, rapid.IntRange(0, len(m.s.Workspaces)-1).Draw(t, "workspace"))
			},
			"": func(t *rapid.T) { m.requestAllGuaranteed(t) },
		})
	})
}
