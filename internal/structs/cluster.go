package structs

import "time"

// InstanceKind distinguishes the scheduler's own instances from backend servers.
type InstanceKind int

// The instance kinds.
const (
	// KindEntry is an instance of the scheduler, an entry instance in the platform's
	// terms. It serves the callers.
	KindEntry InstanceKind = iota + 1
	// KindBackend is a backend server.
	KindBackend
)

// InstanceState is the state that the platform reports. Reports lag behind the
// actual state.
type InstanceState int

// The instance states.
const (
	StateLive InstanceState = iota + 1
	StateLeaving
)

// Instance is a row of the platform's instance list.
type Instance struct {
	ID     string
	Kind   InstanceKind
	State  InstanceState
	Domain string
	// Address has the form IP:port.
	Address string
	// Slots is the number of requests that a backend server runs concurrently.
	Slots int
	// Services names the services that a backend server runs. Empty means all
	// services.
	Services []string
}

// Worker is a machine with accelerators.
type Worker struct {
	ID           string
	Domain       string
	Rack         string
	Accelerators int
	Cores        int
	MemoryBytes  int64
	// Address has the form IP:port.
	Address string
	State   InstanceState
}

// LeaseID identifies a reservation on one worker by job, attempt and member. It
// is never reused after the lease was released or has expired.
type LeaseID string

// TaskState is the state of a lease's task.
type TaskState int

// The task states.
const (
	TaskReserved TaskState = iota + 1
	TaskRunning
	TaskSucceeded
	TaskFailed
	// TaskNotFound means that the worker has no such lease.
	TaskNotFound
)

// LeaseStatus is a worker's report on one lease.
type LeaseStatus struct {
	Lease LeaseID
	State TaskState
	// Usage is the busy accelerator time in the last usage report, which lags.
	Usage time.Duration
}
