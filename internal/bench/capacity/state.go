package capacity

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/dispatch"
	"github.com/lentilwinch/lentilwinch/internal/duty/claims"
	"github.com/lentilwinch/lentilwinch/internal/duty/membership"
	"github.com/lentilwinch/lentilwinch/internal/duty/requests"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/ticket"
)

// requestBytes is the size of a request's body.
const requestBytes = 1 << 10

func stateExperiments() []Experiment {
	return []Experiment{
		{
			Per:     "worker",
			Sizes:   []int{200, 800, 3200},
			Outputs: []Output{{"worker.heap", "inventory, live heap", "B"}},
			Run:     heapOfWorkers,
		},
		{
			Per:     "workspace with two services",
			Sizes:   []int{58, 115, 230, 460},
			Outputs: []Output{{"workspace.heap", "configuration and queues, live heap", "B"}},
			Run:     heapOfWorkspaces,
		},
		{
			Per:     "backend server",
			Sizes:   []int{50, 100, 200, 400},
			Outputs: []Output{{"server.heap", "membership and dispatch, live heap", "B"}},
			Run:     heapOfServers,
		},
		{
			Per:     "request of 1 KiB held",
			Sizes:   []int{250, 500, 1000},
			Outputs: []Output{{"request.heap", "live heap and stacks", "B"}},
			Run:     heapOfRequests,
		},
	}
}

func heapOfWorkers(ctx context.Context, n int) ([]float64, error) {
	w := newStubWorkers(domainName, n, 2)
	before := heapBytes()
	f, err := loadedFleet(ctx, w)
	after := heapBytes()
	runtime.KeepAlive(f)
	return []float64{after - before}, err
}

func heapOfWorkspaces(_ context.Context, n int) ([]float64, error) {
	before := heapBytes()
	cfg := ticket.Apply(ticket.EmptyConfig(), newTicket(1, workspaces(n, domainName, 2)))
	d := dispatch.New(dispatch.Settings{})
	configureDispatcher(d, nil, cfg)
	after := heapBytes()
	runtime.KeepAlive(cfg)
	runtime.KeepAlive(d)
	return []float64{after - before}, nil
}

// configureDispatcher sets the servers and the configuration as the requests duty
// does.
func configureDispatcher(d *dispatch.Dispatcher, servers []structs.Instance, cfg *structs.Config) {
	out := make([]dispatch.Server, 0, len(servers))
	for _, s := range servers {
		out = append(out, dispatch.Server{ID: s.ID, Slots: s.Slots})
	}
	d.SetServers(out)
	d.SetInstances("instance-0", []string{"instance-1", "instance-2"})
	ws := make([]structs.Workspace, 0, len(cfg.Workspaces))
	for _, w := range cfg.Workspaces {
		ws = append(ws, w)
	}
	slices.SortFunc(ws, func(a, b structs.Workspace) int { return strings.Compare(a.Name, b.Name) })
	ss := make([]structs.Service, 0, len(cfg.Services))
	for _, s := range cfg.Services {
		ss = append(ss, s)
	}
	slices.SortFunc(ss, func(a, b structs.Service) int {
		return strings.Compare(a.Workspace+"/"+a.Name, b.Workspace+"/"+b.Name)
	})
	d.SetConfig(ws, ss)
}

func backendServers(n int) []structs.Instance {
	out := make([]structs.Instance, n)
	for i := range out {
		out[i] = structs.Instance{
			ID:      fmt.Sprintf("backend-%04d", i),
			Kind:    structs.KindBackend,
			State:   structs.StateLive,
			Domain:  domainName,
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			Slots:   8,
		}
	}
	return out
}

// freshList is an instance list whose responses share no memory.
type freshList struct {
	n int
}

// List implements port.Instances.
func (l freshList) List(context.Context) ([]structs.Instance, error) {
	return backendServers(l.n), nil
}

func heapOfServers(ctx context.Context, n int) ([]float64, error) {
	before := heapBytes()
	m := membership.New(membership.Config{PollInterval: disabledInterval}, freshList{n})
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = m.Run(ctx)
	}()
	err := await(ctx, "wait for instance list", func() bool { return len(m.Servers()) == n })
	cancel()
	<-done
	d := dispatch.New(dispatch.Settings{})
	configureDispatcher(d, m.Servers(), ticket.EmptyConfig())
	after := heapBytes()
	runtime.KeepAlive(m)
	runtime.KeepAlive(d)
	return []float64{after - before}, err
}

// unresponsiveBackend is one backend server that never answers a request.
type unresponsiveBackend struct{}

// Servers implements requests.Servers.
func (unresponsiveBackend) Servers() []structs.Instance { return backendServers(1) }

// Changed implements requests.Servers.
func (unresponsiveBackend) Changed() <-chan struct{} { return nil }

// MarkLeaving implements requests.Servers.
func (unresponsiveBackend) MarkLeaving(string) {}

// Execute implements port.Backends.
func (unresponsiveBackend) Execute(ctx context.Context, _ structs.Instance, _ port.Execution) (port.Answer, error) {
	<-ctx.Done()
	return port.Answer{}, ctx.Err()
}

// Probe implements port.Backends.
func (unresponsiveBackend) Probe(context.Context, structs.Instance) (port.BackendLoad, error) {
	return port.BackendLoad{Slots: 8}, nil
}

func heapOfRequests(ctx context.Context, n int) ([]float64, error) {
	cfg := newConfig(workspaces(1, domainName, 2))
	st := store.New(fake.NewTable(), "capacity")
	cl := claims.New(claimSettings(), st, fake.NewObjects(), func() string { return "i" }, zap.NewNop())
	r := requests.New(requests.Settings{QueueLimit: 4 * n, MaxBodyBytes: 1 << 20, RecordTimeout: time.Second, ClaimTimeout: time.Second},
		unresponsiveBackend{}, unresponsiveBackend{}, cl, func() *structs.Config { return cfg }, func() []string { return []string{"i"} }, func() map[string]int { return nil }, zap.NewNop())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { _ = r.Run(ctx) }()
	before := heapAndStackBytes()
	for i := range n {
		go func() { _, _ = r.Do(ctx, newRequest(i)) }()
	}
	if err := await(ctx, "wait for requests to be held", func() bool { return r.Held() == n && r.Stats().Queued >= n-8 }); err != nil {
		return nil, err
	}
	return []float64{heapAndStackBytes() - before}, nil
}

func newRequest(i int) structs.Request {
	return structs.Request{
		Key:      structs.RequestKey{Workspace: workspaceName(0), ID: fmt.Sprintf("request-%08d", i)},
		Service:  "service-0",
		Body:     make([]byte, requestBytes),
		Deadline: time.Now().Add(awaitTimeout),
	}
}
