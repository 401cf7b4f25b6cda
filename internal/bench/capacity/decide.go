package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/dispatch"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// decisions, dispatches and intakes are the numbers of operations timed
	// together. An intake reloads the servers and the configuration.
	decisions  = 5
	dispatches = 20_000
	intakes    = 50
	// domainWorkers, domainGuarantees and domainQueued are the sizes of a failure
	// domain where they aren't varied.
	domainWorkers    = 320
	domainGuarantees = 23
	domainQueued     = 31
)

func dispatchExperiments() []Experiment {
	return []Experiment{
		{
			Per:     "worker, 23 guarantees, 31 gangs of 8 wait",
			Sizes:   []int{80, 160, 320, 640},
			Outputs: []Output{{"decide.workers.cpu", "one placement decision", "ns"}},
			Run: func(_ context.Context, n int) ([]float64, error) {
				return timeDecision(snapshot(n, domainGuarantees, domainQueued)), nil
			},
		},
		{
			Per:     "waiting gang of 8, 320 workers, 23 guarantees",
			Sizes:   []int{31, 62, 125, 250},
			Outputs: []Output{{"decide.queue.cpu", "one placement decision", "ns"}},
			Run: func(_ context.Context, n int) ([]float64, error) {
				return timeDecision(snapshot(domainWorkers, domainGuarantees, n)), nil
			},
		},
		{
			Per:     "guarantee, 320 workers, 31 gangs of 8 wait",
			Sizes:   []int{6, 12, 23, 46},
			Outputs: []Output{{"decide.guarantees.cpu", "one placement decision", "ns"}},
			Run: func(_ context.Context, n int) ([]float64, error) {
				return timeDecision(snapshot(domainWorkers, n, domainQueued)), nil
			},
		},
		{
			Per:     "worker, all lent, 23 guarantees asked for",
			Sizes:   []int{84, 168, 324, 648},
			Outputs: []Output{{"decide.reclaim.cpu", "one placement decision", "ns"}},
			Run:     func(_ context.Context, n int) ([]float64, error) { return timeDecision(reclaimSnapshot(n)), nil },
		},
		{
			Per:     "worker, one guarantee more than racks",
			Sizes:   []int{84, 168, 324, 648},
			Outputs: []Output{{"decide.unheld.cpu", "one placement decision", "ns"}},
			Run:     func(_ context.Context, n int) ([]float64, error) { return timeDecision(overcommittedSnapshot(n)), nil },
		},
		{
			Per:     "backend server, 230 workspaces",
			Sizes:   []int{50, 100, 200, 400},
			Outputs: []Output{{"dispatch.servers.cpu", "one request: queue, dispatch, result", "ns"}},
			Run:     func(_ context.Context, n int) ([]float64, error) { return timeDispatch(n, 230), nil },
		},
		{
			Per:     "workspace with a backlog, 200 backend servers",
			Sizes:   []int{58, 115, 230, 460},
			Outputs: []Output{{"dispatch.workspaces.cpu", "one request: queue, dispatch, result", "ns"}},
			Run:     func(_ context.Context, n int) ([]float64, error) { return timeDispatch(200, n), nil },
		},
		{
			Per:     "workspace with two services, 200 backend servers",
			Sizes:   []int{58, 115, 230, 460},
			Outputs: []Output{{"intake.cpu", "dispatch takes servers and configuration in", "ns"}},
			Run:     runIntake,
		},
	}
}

// snapshot returns a failure domain with queued gangs, in which gangs on borrowed
// capacity occupy a third of the workers.
func snapshot(workers, guarantees, queued int) scheduler.Snapshot {
	const accelerators = 2
	s := scheduler.Snapshot{Domain: domainName, Workspaces: workspaces(guarantees, domainName, accelerators)}
	for _, w := range newStubWorkers(domainName, workers, accelerators).workers {
		s.Workers = append(s.Workers, scheduler.Worker{ID: w.ID, Rack: w.Rack, Accelerators: w.Accelerators, Usable: true})
	}
	for i := 0; i+4 <= workers/3; i += 4 {
		s.Gangs = append(s.Gangs, borrowedGang(i, s.Workers[i:i+4], accelerators))
	}
	for i := range queued {
		spec := jobSpec(i, 8)
		spec.Key.Workspace = workspaceName(i % guarantees)
		s.Queued = append(s.Queued, scheduler.Pending{Spec: spec, QueuedFor: time.Duration(i) * time.Second, ExpectedRun: time.Hour})
	}
	return s
}

func borrowedGang(i int, workers []scheduler.Worker, accelerators int) scheduler.Gang {
	g := scheduler.Gang{
		Key:          structs.JobKey{Workspace: workspaceName(0), ID: fmt.Sprintf("held-%06d", i)},
		Class:        structs.ClassBatch,
		Preemptible:  true,
		Borrowed:     true,
		Accelerators: accelerators,
		Adjacency:    structs.AdjacencyDomain,
		Elapsed:      time.Hour,
	}
	for _, w := range workers {
		g.Members = append(g.Members, scheduler.Place{Worker: w.ID, Rack: w.Rack})
	}
	return g
}

// reclaimSnapshot returns a failure domain that is entirely borrowed, in which
// every workspace has a job queued within its guarantee.
func reclaimSnapshot(workers int) scheduler.Snapshot {
	s := snapshot(workers, domainGuarantees, 0)
	s.Gangs = nil
	for i := 0; i+4 <= workers; i += 4 {
		s.Gangs = append(s.Gangs, borrowedGang(i, s.Workers[i:i+4], 2))
	}
	for i := range domainGuarantees {
		spec := jobSpec(i, 2)
		spec.Key.Workspace = workspaceName(i)
		spec.Accelerators = 2
		spec.Adjacency = structs.AdjacencyRack
		spec.Class = structs.ClassUrgent
		s.Queued = append(s.Queued, scheduler.Pending{Spec: spec, ExpectedRun: time.Hour})
	}
	return s
}

// overcommittedSnapshot returns a failure domain with queued but no running gangs
// and with one guarantee more than it has racks, each for most of a rack, as after
// the loss of a rack.
func overcommittedSnapshot(workers int) scheduler.Snapshot {
	s := snapshot(workers, workers/workersPerRack+1, domainQueued)
	s.Gangs = nil
	for i := range s.Workspaces {
		s.Workspaces[i].Guarantees[0].Members = 4
	}
	return s
}

// timeDecision returns the processor time of one decision in nanoseconds.
func timeDecision(s scheduler.Snapshot) []float64 {
	cpu := cpuOf(func() {
		for range decisions {
			scheduler.Decide(s)
		}
	})
	return []float64{cpu / decisions}
}

// timeDispatch returns the processor time in nanoseconds per request through a
// dispatcher with a backlog of one request for each of n workspaces.
func timeDispatch(servers, n int) []float64 {
	cfg := newConfig(workspaces(n, domainName, 2))
	d := dispatch.New(dispatch.Settings{QueueLimit: 100 * n})
	configureDispatcher(d, backendServers(servers), cfg)
	virtualNow := time.Unix(0, 0)
	id := uint64(0)
	enqueue := func() {
		id++
		it := dispatch.Item{ID: id, Workspace: workspaceName(int(id) % n), Service: "service-0", Repeatable: true, Deadline: virtualNow.Add(time.Hour)}
		// Enqueue doesn't fail: one request is dispatched for each one enqueued, so
		// the backlog stays far below each workspace's share of QueueLimit.
		_ = d.Enqueue(virtualNow, it)
	}
	for range n {
		enqueue()
	}
	cpu := cpuOf(func() {
		for range dispatches {
			virtualNow = virtualNow.Add(time.Millisecond)
			enqueue()
			if a, ok := d.Next(virtualNow); ok {
				d.Done(virtualNow, a, dispatch.Result{Kind: dispatch.Succeeded, Elapsed: time.Millisecond})
			}
		}
	})
	return []float64{cpu / dispatches}
}

func runIntake(_ context.Context, n int) ([]float64, error) {
	cfg := newConfig(workspaces(n, domainName, 2))
	servers := backendServers(200)
	d := dispatch.New(dispatch.Settings{})
	cpu := cpuOf(func() {
		for range intakes {
			configureDispatcher(d, servers, cfg)
		}
	})
	return []float64{cpu / intakes}, nil
}
