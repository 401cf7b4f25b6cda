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

// maxAgents bounds the cached clients; beyond it they are made anew.
const maxAgents = 8192

// Workers implements port.Workers. It is safe for concurrent use.
type Workers struct {
	settings  Settings
	http      *httpclient.Client
	inventory platformv1connect.WorkerServiceClient

	mu     sync.Mutex
	agents map[string]platformv1connect.WorkerServiceClient
}

// NewWorkers returns a client of the inventory and of the workers' agents.
func NewWorkers(s Settings) *Workers {
	client := s.client(s.MaxWorkerConns)
	return &Workers{
		settings:  s,
		http:      client,
		inventory: platformv1connect.NewWorkerServiceClient(client, baseURL(s.Address), options(s)...),
		agents:    make(map[string]platformv1connect.WorkerServiceClient),
	}
}

func (w *Workers) agent(worker structs.Worker) platformv1connect.WorkerServiceClient {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a, ok := w.agents[worker.Address]; ok {
		return a
	}
	if len(w.agents) >= maxAgents {
		clear(w.agents)
	}
	a := platformv1connect.NewWorkerServiceClient(w.http, baseURL(worker.Address), options(w.settings)...)
	w.agents[worker.Address] = a
	return a
}

// List implements port.Workers.
func (w *Workers) List(ctx context.Context) ([]structs.Worker, error) {
	op := operation{name: "worker list"}
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
	_, err := call(ctx, leaseOperation("reserve"), w.settings.WorkerTimeout, w.agent(worker).Reserve, req)
	return err
}

// Renew implements port.Workers.
func (w *Workers) Renew(
	ctx context.Context, worker structs.Worker, leases []structs.LeaseID, ttl time.Duration,
) ([]structs.LeaseStatus, error) {
	req := &platformv1.RenewRequest{WorkerId: worker.ID, LeaseIds: leaseIDs(leases), TtlMs: ttl.Milliseconds()}
	op := leaseOperation("renew")
	resp, err := call(ctx, op, w.settings.WorkerTimeout, w.agent(worker).Renew, req)
	if err != nil {
		return nil, err
	}
	return statuses(leases, resp.GetLeases())
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
	_, err := call(ctx, leaseOperation("start"), w.settings.WorkerTimeout, w.agent(worker).Start, req)
	return err
}

// Checkpoint implements port.Workers.
func (w *Workers) Checkpoint(
	ctx context.Context, worker structs.Worker, lease structs.LeaseID, object string,
) error {
	req := &platformv1.CheckpointRequest{WorkerId: worker.ID, LeaseId: string(lease), ObjectName: object}
	op := leaseOperation("checkpoint")
	_, err := call(ctx, op, w.settings.CheckpointTimeout, w.agent(worker).Checkpoint, req)
	return err
}

// Throttle implements port.Workers.
func (w *Workers) Throttle(
	ctx context.Context, worker structs.Worker, lease structs.LeaseID, percent int,
) error {
	req := &platformv1.ThrottleRequest{WorkerId: worker.ID, LeaseId: string(lease), Percent: int32(percent)}
	_, err := call(ctx, leaseOperation("throttle"), w.settings.WorkerTimeout, w.agent(worker).Throttle, req)
	return err
}

// Release implements port.Workers.
func (w *Workers) Release(ctx context.Context, worker structs.Worker, leases []structs.LeaseID) error {
	req := &platformv1.ReleaseRequest{WorkerId: worker.ID, LeaseIds: leaseIDs(leases)}
	_, err := call(ctx, leaseOperation("release"), w.settings.WorkerTimeout, w.agent(worker).Release, req)
	return err
}

func leaseOperation(verb string) operation {
	return operation{name: "worker " + verb, mutates: true, notFound: fault.Fenced}
}

func leaseIDs(leases []structs.LeaseID) []string {
	out := make([]string, 0, len(leases))
	for _, l := range leases {
		out = append(out, string(l))
	}
	return out
}

// statuses checks that the answer speaks of exactly the leases asked for.
func statuses(asked []structs.LeaseID, in []*platformv1.LeaseStatus) ([]structs.LeaseStatus, error) {
	pending := make(map[structs.LeaseID]struct{}, len(asked))
	for _, l := range asked {
		pending[l] = struct{}{}
	}
	out := make([]structs.LeaseStatus, 0, len(in))
	for _, s := range in {
		status := statusOf(s)
		if _, ok := pending[status.Lease]; !ok {
			return nil, fault.New(fault.Uncertain, "worker renew answered for another lease")
		}
		delete(pending, status.Lease)
		out = append(out, status)
	}
	if len(pending) > 0 {
		return nil, fault.New(fault.Uncertain, "worker renew left out a lease")
	}
	return out, nil
}

func statusOf(s *platformv1.LeaseStatus) structs.LeaseStatus {
	return structs.LeaseStatus{
		Lease: structs.LeaseID(s.GetLeaseId()),
		State: taskStateOf(s.GetState()),
		Usage: time.Duration(s.GetUsageMs()) * time.Millisecond,
	}
}

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
		return structs.TaskGone
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
