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
	// decisions is the number of decisions timed together.
	decisions = 5
	// dispatches is the number of requests timed together.
	dispatches = 20_000
	// intakes is the number of reloads timed together.
	intakes = 50
	// domainWorkers and domainGuarantees describe a failure domain where they
	// are not what is varied.
	domainWorkers    = 320
	domainGuarantees = 23
	domainQueue      = 31
)

func dispatchExperiments() []Experiment {
	return []Experiment{
		{
			Per:     "worker, 23 guarantees, 31 gangs of 8 wait",
			Sizes:   []int{80, 160, 320, 640},
			Outputs: []Output{{"decide.workers.cpu", "one placement decision", "ns"}},
			Run: func(_ context.Context, n int) ([]float64, error) {
				return decide(snapshot(n, domainGuarantees, domainQueue)), nil
			},
		},
		{
			Per:     "waiting gang of 8, 320 workers, 23 guarantees",
			Sizes:   []int{31, 62, 125, 250},
			Outputs: []Output{{"decide.queue.cpu", "one placement decision", "ns"}},
			Run: func(_ context.Context, n int) ([]float64, error) {
				return decide(snapshot(domainWorkers, domainGuarantees, n)), nil
			},
		},
		{
			Per:     "guarantee, 320 workers, 31 gangs of 8 wait",
			Sizes:   []int{6, 12, 23, 46},
			Outputs: []Output{{"decide.guarantees.cpu", "one placement decision", "ns"}},
			Run: func(_ context.Context, n int) ([]float64, error) {
				return decide(snapshot(domainWorkers, n, domainQueue)), nil
			},
		},
		{
			Per:     "worker, all lent, 23 guarantees asked for",
			Sizes:   []int{84, 168, 324, 648},
			Outputs: []Output{{"decide.reclaim.cpu", "one placement decision", "ns"}},
			Run:     func(_ context.Context, n int) ([]float64, error) { return decide(reclaiming(n)), nil },
		},
		{
			Per:     "worker, one guarantee more than racks",
			Sizes:   []int{84, 168, 324, 648},
			Outputs: []Output{{"decide.unheld.cpu", "one placement decision", "ns"}},
			Run:     func(_ context.Context, n int) ([]float64, error) { return decide(overfull(n)), nil },
		},
		{
			Per:     "backend server, 230 workspaces",
			Sizes:   []int{50, 100, 200, 400},
			Outputs: []Output{{"dispatch.servers.cpu", "one request: queue, dispatch, result", "ns"}},
			Run:     func(_ context.Context, n int) ([]float64, error) { return dispatchAll(n, 230), nil },
		},
		{
			Per:     "workspace with a backlog, 200 backend servers",
			Sizes:   []int{58, 115, 230, 460},
			Outputs: []Output{{"dispatch.workspaces.cpu", "one request: queue, dispatch, result", "ns"}},
			Run:     func(_ context.Context, n int) ([]float64, error) { return dispatchAll(200, n), nil },
		},
		{
			Per:     "workspace with two services, 200 backend servers",
			Sizes:   []int{58, 115, 230, 460},
			Outputs: []Output{{"intake.cpu", "dispatch takes servers and configuration in", "ns"}},
			Run:     runIntake,
		},
	}
}

// snapshot is a failure domain of whole workers, a third of them held by lent
// gangs, with gangs that wait.
func snapshot(workers, guarantees, queued int) scheduler.Snapshot {
	const accelerators = 2
	s := scheduler.Snapshot{Domain: domainName, Workspaces: workspaces(guarantees, domainName, accelerators)}
	for _, w := range newStubWorkers(domainName, workers, accelerators).workers {
		s.Workers = append(s.Workers, scheduler.Worker{ID: w.ID, Rack: w.Rack, Accelerators: w.Accelerators, Usable: true})
	}
	for i := 0; i+4 <= workers/3; i += 4 {
		s.Gangs = append(s.Gangs, heldGang(i, s.Workers[i:i+4], accelerators))
	}
	for i := range queued {
		spec := jobSpec(i, 8)
		spec.Key.Workspace = workspaceName(i % guarantees)
		s.Queued = append(s.Queued, scheduler.Pending{Spec: spec, QueuedFor: time.Duration(i) * time.Second, ExpectedRun: time.Hour})
	}
	return s
}

func heldGang(i int, on []scheduler.Worker, accelerators int) scheduler.Gang {
	g := scheduler.Gang{
		Key:          structs.JobKey{Workspace: workspaceName(0), ID: fmt.Sprintf("held-%06d", i)},
		Class:        structs.ClassBatch,
		Preemptible:  true,
		Borrowed:     true,
		Accelerators: accelerators,
		Adjacency:    structs.AdjacencyDomain,
		Elapsed:      time.Hour,
	}
	for _, w := range on {
		g.Members = append(g.Members, scheduler.Place{Worker: w.ID, Rack: w.Rack})
	}
	return g
}

// reclaiming is a failure domain that is lent out whole, of which every
// workspace asks its guarantee back.
func reclaiming(workers int) scheduler.Snapshot {
	s := snapshot(workers, domainGuarantees, 0)
	s.Gangs = nil
	for i := 0; i+4 <= workers; i += 4 {
		s.Gangs = append(s.Gangs, heldGang(i, s.Workers[i:i+4], 2))
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

// overfull is an empty failure domain with one more guarantee of most of a
// rack than it has racks, as after the loss of a rack.
func overfull(workers int) scheduler.Snapshot {
	s := snapshot(workers, workers/workersPerRack+1, domainQueue)
	s.Gangs = nil
	for i := range s.Workspaces {
		s.Workspaces[i].Guarantees[0].Members = 4
	}
	return s
}

func decide(s scheduler.Snapshot) []float64 {
	cpu := cpuOf(func() {
		for range decisions {
			scheduler.Decide(s)
		}
	})
	return []float64{cpu / decisions}
}

// dispatchAll takes requests through a dispatcher in which each workspace
// always has one queued more than can run.
func dispatchAll(servers, n int) []float64 {
	cfg := configOf(workspaces(n, domainName, 2))
	d := dispatch.New(dispatch.Settings{QueueLimit: 100 * n})
	takeIn(d, backendServers(servers), cfg)
	now := time.Unix(0, 0)
	id := uint64(0)
	enqueue := func() {
		id++
		it := dispatch.Item{ID: id, Workspace: workspaceName(int(id) % n), Service: "service-0", Repeatable: true, Deadline: now.Add(time.Hour)}
		// A refusal would show as an empty queue below.
		_ = d.Enqueue(now, it)
	}
	for range n {
		enqueue()
	}
	cpu := cpuOf(func() {
		for range dispatches {
			now = now.Add(time.Millisecond)
			enqueue()
			if a, ok := d.Next(now); ok {
				d.Done(now, a, dispatch.Result{Kind: dispatch.Succeeded, Elapsed: time.Millisecond})
			}
		}
	})
	return []float64{cpu / dispatches}
}

func runIntake(_ context.Context, n int) ([]float64, error) {
	cfg := configOf(workspaces(n, domainName, 2))
	servers := backendServers(200)
	d := dispatch.New(dispatch.Settings{})
	cpu := cpuOf(func() {
		for range intakes {
			takeIn(d, servers, cfg)
		}
	})
	return []float64{cpu / intakes}, nil
}
