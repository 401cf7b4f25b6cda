package platform

import (
	"context"
	"sync"
	"time"

	platformv1 "github.com/lentilwinch/lentilwinch/gen/platform/v1"
	"github.com/lentilwinch/lentilwinch/gen/platform/v1/platformv1connect"
	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// maxAgents bounds the number of cached clients. The cache is cleared when it is
// full.
const maxAgents = 8192

// Workers implements port.Workers. It is safe for concurrent use.
type Workers struct {
	settings Settings
	// inventory is the client of the platform's worker inventory, which has the
	// same service as the worker agents.
	inventory *agent

	mu     sync.Mutex
	agents map[string]*agent
}

// agent is the client of the worker agent at one address. Each has its own
// connections, so that all idle ones can be closed when one of them stalls.
type agent struct {
	platformv1connect.WorkerServiceClient
	http *httpclient.Client
}

// NewWorkers returns a client of the worker inventory and of the worker agents.
func NewWorkers(s Settings) *Workers {
	return &Workers{
		settings:  s,
		inventory: newAgent(s, s.Address),
		agents:    make(map[string]*agent),
	}
}

func newAgent(s Settings, address string) *agent {
	client := s.client(s.MaxWorkerConns)
	return &agent{
		WorkerServiceClient: platformv1connect.NewWorkerServiceClient(client, baseURL(address), options(s)...),
		http:                client,
	}
}

func (w *Workers) agent(worker structs.Worker) *agent {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a, ok := w.agents[worker.Address]; ok {
		return a
	}
	if len(w.agents) >= maxAgents {
		// Idle connections of the dropped clients close after IdleTimeout.
		clear(w.agents)
	}
	a := newAgent(w.settings, worker.Address)
	w.agents[worker.Address] = a
	return a
}

// operation returns the operation for a call with lease IDs, in which "not
// found" means that the lease isn't held.
func (a *agent) operation(verb string) operation {
	return operation{name: "worker " + verb, mutates: true, notFound: fault.Fenced, closeIdle: a.http.CloseIdle}
}

// List implements port.Workers.
func (w *Workers) List(ctx context.Context) ([]structs.Worker, error) {
	op := operation{name: "worker list", closeIdle: w.inventory.http.CloseIdle}
	resp, err := call(ctx, op, w.settings.ReadTimeout, w.inventory.List, &platformv1.ListWorkersRequest{})
	if err != nil {
		return nil, err
	}
	out := make([]structs.Worker, 0, len(resp.GetWorkers()))
	for _, in := range resp.GetWorkers() {
		out = append(out, workerOf(in))
	}
	return out, nil
}

// Reserve implements port.Workers.
func (w *Workers) Reserve(
	ctx context.Context, worker structs.Worker, lease structs.LeaseID, accelerators int, ttl time.Duration,
) error {
	req := &platformv1.ReserveRequest{
		WorkerId:     worker.ID,
		LeaseId:      string(lease),
		Accelerators: int32(accelerators),
		TtlMs:        ttl.Milliseconds(),
	}
	a := w.agent(worker)
	_, err := call(ctx, a.operation("reserve"), w.settings.WorkerTimeout, a.Reserve, req)
	return err
}

// Renew implements port.Workers.
func (w *Workers) Renew(
	ctx context.Context, worker structs.Worker, leases []structs.LeaseID, ttl time.Duration,
) ([]structs.LeaseStatus, error) {
	req := &platformv1.RenewRequest{WorkerId: worker.ID, LeaseIds: leaseIDs(leases), TtlMs: ttl.Milliseconds()}
	a := w.agent(worker)
	resp, err := call(ctx, a.operation("renew"), w.settings.WorkerTimeout, a.Renew, req)
	if err != nil {
		return nil, err
	}
	return leaseStatuses(leases, resp.GetLeases())
}

// Start implements port.Workers.
func (w *Workers) Start(
	ctx context.Context, worker structs.Worker, lease structs.LeaseID, payload []byte, checkpoint string,
) error {
	req := &platformv1.StartRequest{
		WorkerId:   worker.ID,
		LeaseId:    string(lease),
		Payload:    payload,
		Checkpoint: checkpoint,
	}
	a := w.agent(worker)
	_, err := call(ctx, a.operation("start"), w.settings.WorkerTimeout, a.Start, req)
	return err
}

// Checkpoint implements port.Workers.
func (w *Workers) Checkpoint(
	ctx context.Context, worker structs.Worker, lease structs.LeaseID, object string,
) error {
	req := &platformv1.CheckpointRequest{WorkerId: worker.ID, LeaseId: string(lease), ObjectName: object}
	a := w.agent(worker)
	_, err := call(ctx, a.operation("checkpoint"), w.settings.CheckpointTimeout, a.Checkpoint, req)
	return err
}

// Throttle implements port.Workers.
func (w *Workers) Throttle(
	ctx context.Context, worker structs.Worker, lease structs.LeaseID, percent int,
) error {
	req := &platformv1.ThrottleRequest{WorkerId: worker.ID, LeaseId: string(lease), Percent: int32(percent)}
	a := w.agent(worker)
	_, err := call(ctx, a.operation("throttle"), w.settings.WorkerTimeout, a.Throttle, req)
	return err
}

// Release implements port.Workers.
func (w *Workers) Release(ctx context.Context, worker structs.Worker, leases []structs.LeaseID) error {
	req := &platformv1.ReleaseRequest{WorkerId: worker.ID, LeaseIds: leaseIDs(leases)}
	a := w.agent(worker)
	_, err := call(ctx, a.operation("release"), w.settings.WorkerTimeout, a.Release, req)
	return err
}

func leaseIDs(leases []structs.LeaseID) []string {
	out := make([]string, 0, len(leases))
	for _, l := range leases {
		out = append(out, string(l))
	}
	return out
}

// leaseStatuses converts the statuses of a response. It fails with fault.Uncertain
// unless the response has each requested lease once and no other.
func leaseStatuses(requested []structs.LeaseID, in []*platformv1.LeaseStatus) ([]structs.LeaseStatus, error) {
	pending := make(map[structs.LeaseID]struct{}, len(requested))
	for _, l := range requested {
		pending[l] = struct{}{}
	}
	out := make([]structs.LeaseStatus, 0, len(in))
	for _, s := range in {
		status := leaseStatusOf(s)
		if _, ok := pending[status.Lease]; !ok {
			return nil, fault.New(fault.Uncertain, "worker renew returned a lease that was not requested")
		}
		delete(pending, status.Lease)
		out = append(out, status)
	}
	if len(pending) > 0 {
		return nil, fault.New(fault.Uncertain, "worker renew omitted a requested lease")
	}
	return out, nil
}

func leaseStatusOf(s *platformv1.LeaseStatus) structs.LeaseStatus {
	return structs.LeaseStatus{
		Lease: structs.LeaseID(s.GetLeaseId()),
		State: taskStateOf(s.GetState()),
		Usage: time.Duration(s.GetUsageMs()) * time.Millisecond,
	}
}

// taskStateOf maps every state that it doesn't know to TaskNotFound.
func taskStateOf(s platformv1.TaskState) structs.TaskState {
	switch s {
	case platformv1.TaskState_TASK_STATE_RESERVED:
		return structs.TaskReserved
	case platformv1.TaskState_TASK_STATE_RUNNING:
		return structs.TaskRunning
	case platformv1.TaskState_TASK_STATE_SUCCEEDED:
		return structs.TaskSucceeded
	case platformv1.TaskState_TASK_STATE_FAILED:
		return structs.TaskFailed
	default:
		return structs.TaskNotFound
	}
}

func workerOf(in *platformv1.Worker) structs.Worker {
	return structs.Worker{
		ID:           in.GetId(),
		Domain:       in.GetDomain(),
		Rack:         in.GetRack(),
		Accelerators: int(in.GetAccelerators()),
		Cores:        int(in.GetCores()),
		MemoryBytes:  in.GetMemoryBytes(),
		Address:      in.GetAddress(),
		State:        stateOf(in.GetState()),
	}
}
