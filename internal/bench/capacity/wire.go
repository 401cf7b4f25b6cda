package capacity

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/adapter/backend"
	"github.com/lentilwinch/lentilwinch/internal/adapter/peer"
	"github.com/lentilwinch/lentilwinch/internal/adapter/platform"
	"github.com/lentilwinch/lentilwinch/internal/port"
	standbackend "github.com/lentilwinch/lentilwinch/internal/standin/backend"
	standplatform "github.com/lentilwinch/lentilwinch/internal/standin/platform"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// calls is the number of calls timed together.
	calls = 300
	// lists is the number of inventory reads timed together.
	lists = 20
	// meshHeartbeatInterval is the heartbeat interval of the measured links.
	meshHeartbeatInterval = 25 * time.Millisecond
)

func wireExperiments() []Experiment {
	return []Experiment{
		{
			Per:   "lease",
			Sizes: []int{1, 10, 20, 40},
			Outputs: []Output{
				{"renew.cpu", "renewal call, both ends", "ns"},
				{"renew.in", "renewal call, to the worker", "B"},
				{"renew.out", "renewal call, from the worker", "B"},
			},
			Run: runRenew,
		},
		{
			Per:   "worker",
			Sizes: []int{200, 400, 800, 1600},
			Outputs: []Output{
				{"inventory.cpu", "read of the inventory, both ends", "ns"},
				{"inventory.bytes", "read of the inventory", "B"},
			},
			Run: runInventory,
		},
		{
			Per:   "listed instance",
			Sizes: []int{50, 100, 200},
			Outputs: []Output{
				{"instances.cpu", "read of the instance list, both ends", "ns"},
				{"instances.bytes", "read of the instance list", "B"},
			},
			Run: runInstances,
		},
		{
			Per:   "row of 256 B",
			Sizes: []int{1, 8, 64},
			Outputs: []Output{
				{"commit.cpu", "commit, both ends", "ns"},
				{"commit.bytes", "commit, both ways", "B"},
				{"get.cpu", "read, both ends", "ns"},
				{"get.bytes", "read, both ways", "B"},
			},
			Run: runTable,
		},
		{
			Per:   "KiB of body",
			Sizes: []int{1, 4, 16},
			Outputs: []Output{
				{"execute.cpu", "request to a backend server, both ends", "ns"},
				{"execute.bytes", "request to a backend server, both ways", "B"},
			},
			Run: runExecute,
		},
		{
			Per:   "peer",
			Sizes: []int{1, 3, 7},
			Outputs: []Output{
				{"peer.cpu", "one instance, each heartbeat period", "ns"},
				{"peer.bytes", "one instance, sent each heartbeat period", "B"},
				{"peer.messages", "one instance, sent each heartbeat period", "messages"},
			},
			Run: runPeers,
		},
	}
}

// servePlatform serves a stand-in platform on loopback. Its workers have 64
// accelerators each.
func servePlatform(workers int, instances []structs.Instance) (*server, error) {
	p := standplatform.New(standplatform.Options{
		Fleet: standplatform.Fleet{
			Domains:          []string{domainName},
			WorkersPerDomain: workers,
			WorkersPerRack:   workersPerRack,
			Accelerators:     64,
		},
		Instances:     instances,
		WorkerAddress: "10.0.0.1:7000",
	})
	return serve(p.Handler())
}

// perCall calls f n times and returns the processor time in nanoseconds and the
// bytes in and out per call. An additional first call opens the connection and
// isn't counted.
func perCall(s *server, n int, f func(i int) error) (cpu, in, out float64, err error) {
	if err := f(0); err != nil {
		return 0, 0, 0, err
	}
	in0, out0 := s.traffic()
	cpu = cpuOf(func() {
		for i := 1; i <= n && err == nil; i++ {
			err = f(i)
		}
	})
	in1, out1 := s.traffic()
	count := float64(n)
	return cpu / count, (in1 - in0) / count, (out1 - out0) / count, err
}

func runRenew(ctx context.Context, n int) ([]float64, error) {
	s, err := servePlatform(1, nil)
	if err != nil {
		return nil, err
	}
	defer s.close()
	w := platform.NewWorkers(platform.DefaultSettings(s.address()))
	listed, err := w.List(ctx)
	if err != nil {
		return nil, err
	}
	worker := listed[0]
	worker.Address = s.address()
	leases := make([]structs.LeaseID, n)
	for i := range leases {
		leases[i] = structs.MemberLeaseID(jobSpec(i, 1).Key, 1, i)
		if err := w.Reserve(ctx, worker, leases[i], 1, disabledInterval); err != nil {
			return nil, err
		}
	}
	cpu, in, out, err := perCall(s, calls, func(int) error {
		_, err := w.Renew(ctx, worker, leases, disabledInterval)
		return err
	})
	return []float64{cpu, in, out}, err
}

func runInventory(ctx context.Context, n int) ([]float64, error) {
	s, err := servePlatform(n, nil)
	if err != nil {
		return nil, err
	}
	defer s.close()
	w := platform.NewWorkers(platform.DefaultSettings(s.address()))
	cpu, in, out, err := perCall(s, lists, func(int) error {
		_, err := w.List(ctx)
		return err
	})
	return []float64{cpu, in + out}, err
}

func runInstances(ctx context.Context, n int) ([]float64, error) {
	s, err := servePlatform(1, backendServers(n))
	if err != nil {
		return nil, err
	}
	defer s.close()
	l := platform.NewInstances(platform.DefaultSettings(s.address()))
	cpu, in, out, err := perCall(s, calls, func(int) error {
		_, err := l.List(ctx)
		return err
	})
	return []float64{cpu, in + out}, err
}

func runTable(ctx context.Context, n int) ([]float64, error) {
	s, err := servePlatform(1, nil)
	if err != nil {
		return nil, err
	}
	defer s.close()
	t := platform.NewTable(platform.DefaultSettings(s.address()))
	keys := make([]string, n)
	txn := port.Txn{Conditions: []port.Condition{{Key: "other", Kind: port.Absent}}}
	for i := range keys {
		keys[i] = fmt.Sprintf("job/%s/job-%06d", workspaceName(0), i)
		txn.Writes = append(txn.Writes, port.Write{Key: keys[i], Value: make([]byte, payloadBytes)})
	}
	commitCPU, in, out, err := perCall(s, calls, func(int) error {
		_, err := t.Commit(ctx, txn)
		return err
	})
	if err != nil {
		return nil, err
	}
	values := []float64{commitCPU, in + out}
	getCPU, in, out, err := perCall(s, calls, func(int) error {
		_, err := t.Get(ctx, keys...)
		return err
	})
	return append(values, getCPU, in+out), err
}

func runExecute(ctx context.Context, kib int) ([]float64, error) {
	s, err := serve(standbackend.NewServer(8).Handler())
	if err != nil {
		return nil, err
	}
	defer s.close()
	b := backend.New(backend.DefaultSettings())
	defer b.Close()
	to := structs.Instance{ID: "backend-0", Address: s.address(), Slots: 8}
	body := make([]byte, kib<<10)
	cpu, in, out, err := perCall(s, calls, func(i int) error {
		req := newRequest(i)
		req.Body = body
		_, err := b.Execute(ctx, to, port.Execution{Request: req, Attempt: "1"})
		return err
	})
	return []float64{cpu, in + out}, err
}

// meshInstance is one instance's mesh and server.
type meshInstance struct {
	mesh   *peer.Mesh
	server *server
}

func startInstance(ctx context.Context, i int) (*meshInstance, error) {
	m := &meshInstance{}
	name := fmt.Sprintf("instance-%02d", i)
	hello := func() port.PeerHello {
		return port.PeerHello{Instance: name, Incarnation: name + "-abcdefghijklm", Domain: domainName, Address: "10.0.0.1:9000"}
	}
	m.mesh = peer.New(peer.Config{HeartbeatInterval: meshHeartbeatInterval}, hello)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, m.mesh.Handler())
	var err error
	m.server, err = serve(mux)
	go func() { _ = m.mesh.Run(ctx) }()
	m.mesh.Broadcast(port.PeerMessage{Heartbeat: ownerHeartbeat()})
	return m, err
}

// ownerHeartbeat returns a heartbeat of the owner of a failure domain.
func ownerHeartbeat() *port.PeerHeartbeat {
	return &port.PeerHeartbeat{
		ConfigNumber:   100_000,
		QueuedRequests: 100,
		BusySlots:      100,
		Domains:        []port.DomainSummary{{Domain: domainName, FreeAccelerators: 100, LargestBlock: 16, QueuedJobs: 31}},
	}
}

func runPeers(ctx context.Context, peers int) ([]float64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	instances := make([]*meshInstance, peers+1)
	var targets []peer.Target
	for i := range instances {
		m, err := startInstance(ctx, i)
		if err != nil {
			return nil, err
		}
		defer m.server.close()
		instances[i] = m
		targets = append(targets, peer.Target{Instance: fmt.Sprintf("instance-%02d", i), Address: m.server.address()})
	}
	for _, m := range instances {
		m.mesh.SetPeers(targets)
	}
	if err := await(ctx, "wait for links", func() bool { return allLinked(instances, peers) }); err != nil {
		return nil, err
	}
	return measurePeers(ctx, instances), nil
}

func allLinked(instances []*meshInstance, peers int) bool {
	for _, m := range instances {
		if len(m.mesh.Live()) != peers {
			return false
		}
	}
	return true
}

// measurePeers returns the processor time in nanoseconds, and the bytes and
// messages sent, per instance and heartbeat period. Each link carries one message
// per direction and period.
func measurePeers(ctx context.Context, instances []*meshInstance) []float64 {
	messages0, bytes0 := meshTraffic(instances)
	cpu := cpuOf(func() { sleep(ctx, measureWindow) })
	messages1, bytes1 := meshTraffic(instances)
	links := float64(len(instances) * (len(instances) - 1))
	periods := (messages1 - messages0) / links
	scale := periods * float64(len(instances))
	return []float64{cpu / scale, (bytes1 - bytes0) / scale, (messages1 - messages0) / scale}
}

func meshTraffic(instances []*meshInstance) (messages, bytes float64) {
	for _, m := range instances {
		messages += float64(m.mesh.Stats().MessagesSent)
		in, out := m.server.traffic()
		bytes += in + out
	}
	return messages, bytes
}
