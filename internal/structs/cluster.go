package structs

import "time"

// InstanceKind tells entry instances from backend servers.
type InstanceKind int

// The instance kinds.
const (
	KindEntry InstanceKind = iota + 1
	KindBackend
)

// InstanceState is the state that the platform reports, with a lag.
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
	// Address is host:port by IP number.
	Address string
	// Slots is the number of requests a backend server runs at once.
	Slots int
	// Services names what a backend server runs; empty means every service.
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
	// Address is host:port by IP number.
	Address string
	State   InstanceState
}

// LeaseID names a reservation on one worker: a job, an attempt and a member.
// It is never used again once released or lapsed.
type LeaseID string

// TaskState is the state of a lease's task.
type TaskState int

// The task states.
const (
	TaskReserved TaskState = iota + 1
	TaskRunning
	TaskSucceeded
	TaskFailed
	// TaskGone means that the worker doesn't hold the lease.
	TaskGone
)

// LeaseStatus is a worker's report on one lease.
type LeaseStatus struct {
	Lease LeaseID
	State TaskState
	// Usage is the busy accelerator time as of the last, lagging, report.
	Usage time.Duration
}
