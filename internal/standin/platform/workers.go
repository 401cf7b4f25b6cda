package platform

import (
	"context"
	"time"

	"connectrpc.com/connect"

	platformv1 "github.com/lentilwinch/lentilwinch/gen/platform/v1"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// workerService serves the agents of all fake.Workers at one address.
type workerService struct {
	workers *fake.Workers
	// address is the address of all agents.
	address string
}

// List implements platformv1connect.WorkerServiceHandler.
func (s *workerService) List(
	ctx context.Context, _ *connect.Request[platformv1.ListWorkersRequest],
) (*connect.Response[platformv1.ListWorkersResponse], error) {
	listed, err := s.workers.List(ctx)
	resp := &platformv1.ListWorkersResponse{}
	for _, w := range listed {
		resp.Workers = append(resp.Workers, s.wireWorker(w))
	}
	return reply(resp, err)
}

// Reserve implements platformv1connect.WorkerServiceHandler.
func (s *workerService) Reserve(
	ctx context.Context, r *connect.Request[platformv1.ReserveRequest],
) (*connect.Response[platformv1.ReserveResponse], error) {
	m := r.Msg
	err := s.workers.Reserve(ctx, workerOf(m), leaseOf(m), int(m.GetAccelerators()), millis(m.GetTtlMs()))
	return reply(&platformv1.ReserveResponse{}, err)
}

// Renew implements platformv1connect.WorkerServiceHandler.
func (s *workerService) Renew(
	ctx context.Context, r *connect.Request[platformv1.RenewRequest],
) (*connect.Response[platformv1.RenewResponse], error) {
	m := r.Msg
	statuses, err := s.workers.Renew(ctx, workerOf(m), leasesOf(m.GetLeaseIds()), millis(m.GetTtlMs()))
	resp := &platformv1.RenewResponse{}
	for _, status := range statuses {
		resp.Leases = append(resp.Leases, wireStatus(status))
	}
	return reply(resp, err)
}

// Start implements platformv1connect.WorkerServiceHandler.
func (s *workerService) Start(
	ctx context.Context, r *connect.Request[platformv1.StartRequest],
) (*connect.Response[platformv1.StartResponse], error) {
	m := r.Msg
	err := s.workers.Start(ctx, workerOf(m), leaseOf(m), m.GetPayload(), m.GetCheckpoint())
	return reply(&platformv1.StartResponse{}, err)
}

// Checkpoint implements platformv1connect.WorkerServiceHandler.
func (s *workerService) Checkpoint(
	ctx context.Context, r *connect.Request[platformv1.CheckpointRequest],
) (*connect.Response[platformv1.CheckpointResponse], error) {
	m := r.Msg
	err := s.workers.Checkpoint(ctx, workerOf(m), leaseOf(m), m.GetObjectName())
	return reply(&platformv1.CheckpointResponse{}, err)
}

// Throttle implements platformv1connect.WorkerServiceHandler.
func (s *workerService) Throttle(
	ctx context.Context, r *connect.Request[platformv1.ThrottleRequest],
) (*connect.Response[platformv1.ThrottleResponse], error) {
	m := r.Msg
	err := s.workers.Throttle(ctx, workerOf(m), leaseOf(m), int(m.GetPercent()))
	return reply(&platformv1.ThrottleResponse{}, err)
}

// Release implements platformv1connect.WorkerServiceHandler.
func (s *workerService) Release(
	ctx context.Context, r *connect.Request[platformv1.ReleaseRequest],
) (*connect.Response[platformv1.ReleaseResponse], error) {
	m := r.Msg
	err := s.workers.Release(ctx, workerOf(m), leasesOf(m.GetLeaseIds()))
	return reply(&platformv1.ReleaseResponse{}, err)
}

// workerOf returns the worker whose ID is in a message.
func workerOf(m interface{ GetWorkerId() string }) structs.Worker {
	return structs.Worker{ID: m.GetWorkerId()}
}

func leaseOf(m interface{ GetLeaseId() string }) structs.LeaseID {
	return structs.LeaseID(m.GetLeaseId())
}

func leasesOf(ids []string) []structs.LeaseID {
	out := make([]structs.LeaseID, 0, len(ids))
	for _, id := range ids {
		out = append(out, structs.LeaseID(id))
	}
	return out
}

func millis(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

func (s *workerService) wireWorker(w structs.Worker) *platformv1.Worker {
	return &platformv1.Worker{
		Id:           w.ID,
		Domain:       w.Domain,
		Rack:         w.Rack,
		Accelerators: int32(w.Accelerators),
		Cores:        int32(w.Cores),
		MemoryBytes:  w.MemoryBytes,
		Address:      s.address,
		State:        wireState(w.State),
	}
}

func wireStatus(s structs.LeaseStatus) *platformv1.LeaseStatus {
	return &platformv1.LeaseStatus{
		LeaseId: string(s.Lease),
		State:   wireTaskState(s.State),
		UsageMs: s.Usage.Milliseconds(),
	}
}

func wireTaskState(s structs.TaskState) platformv1.TaskState {
	switch s {
	case structs.TaskReserved:
		return platformv1.TaskState_TASK_STATE_RESERVED
	case structs.TaskRunning:
		return platformv1.TaskState_TASK_STATE_RUNNING
	case structs.TaskSucceeded:
		return platformv1.TaskState_TASK_STATE_SUCCEEDED
	case structs.TaskFailed:
		return platformv1.TaskState_TASK_STATE_FAILED
	default:
		return platformv1.TaskState_TASK_STATE_GONE
	}
}
