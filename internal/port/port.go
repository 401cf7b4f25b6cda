// Package port defines the interfaces through which the duties of an instance
// (the packages in internal/duty) reach external services, workers and other
// instances.
package port

import (
	"context"
	"strings"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Row is a row of the table service.
type Row struct {
	Key   string
	Value []byte
	// Revision is the revision of the commit that last wrote the row.
	Revision int64
}

// ConditionKind is the kind of check that a Condition makes on a row.
type ConditionKind int

// The condition kinds.
const (
	// Absent requires that the row doesn't exist.
	Absent ConditionKind = iota + 1
	// Present requires that the row exists.
	Present
	// AtRevision requires that the row was last written at Condition.Revision.
	AtRevision
)

// Condition is a precondition of a transaction.
type Condition struct {
	Key      string
	Kind     ConditionKind
	Revision int64
}

// Write puts or deletes a row.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is an atomic transaction. Its writes are applied only if all conditions
// hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the platform's transactional table service.
//
// Every method fails with fault.Unavailable when the call had no effect, which
// includes a read without a reply, and with fault.Invalid or fault.Refused when
// the service rejected it. Commit fails with *ConflictError when a condition
// didn't hold, and with fault.Uncertain when the transaction may have taken
// effect.
type Table interface {
	// Get returns the existing rows among keys in no particular order.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows that have the prefix and a key greater than
	// after, in key order, and reports whether more follow.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, bool, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// ConflictError reports a transaction that was rejected because conditions
// didn't hold.
type ConflictError struct {
	// Keys are the keys of the conditions that didn't hold.
	Keys []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "conflict: condition on " + strings.Join(e.Keys, ", ") + " did not hold"
}

// FaultCode implements fault.Coder.
func (e *ConflictError) FaultCode() fault.Code {
	return fault.Conflict
}

// Objects is the platform's object store. Its methods fail with
// fault.Unavailable, Put also when the object may have been stored: objects are
// immutable, so it may be repeated. Get also fails with fault.NotFound.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Instances is the platform's instance list, which lags behind the actual
// state. List fails with fault.Unavailable.
type Instances interface {
	List(ctx context.Context) ([]structs.Instance, error)
}

// Workers is a client of the worker agents. A lease that is not renewed within
// its TTL expires, which stops its task.
//
// Methods fail with fault.Unavailable when the call had no effect, with
// fault.Uncertain when it may have taken effect, with fault.Refused or
// fault.Invalid when the agent rejected it, and with fault.Fenced when the agent
// doesn't hold the lease.
type Workers interface {
	// List returns the inventory of workers.
	List(ctx context.Context) ([]structs.Worker, error)
	// Reserve allocates accelerators under a lease. It is idempotent per lease.
	Reserve(ctx context.Context, w structs.Worker, lease structs.LeaseID, accelerators int, ttl time.Duration) error
	// Renew extends leases and returns the state of each.
	Renew(ctx context.Context, w structs.Worker, leases []structs.LeaseID, ttl time.Duration) ([]structs.LeaseStatus, error)
	// Start starts the task of a lease. It is idempotent per lease.
	Start(ctx context.Context, w structs.Worker, lease structs.LeaseID, payload []byte, checkpoint string) error
	// Checkpoint stores a task's progress as the named object.
	Checkpoint(ctx context.Context, w structs.Worker, lease structs.LeaseID, object string) error
	// Throttle limits a task to a percentage of its full speed.
	Throttle(ctx context.Context, w structs.Worker, lease structs.LeaseID, percent int) error
	// Release stops tasks and releases their leases. It is idempotent. A
	// released lease can't be reserved again.
	Release(ctx context.Context, w structs.Worker, leases []structs.LeaseID) error
}

// BackendLoad is the load that a backend server reports.
type BackendLoad struct {
	Slots   int
	Busy    int
	Leaving bool
}

// Execution is one dispatch of a request to a backend server.
type Execution struct {
	Request structs.Request
	// Attempt distinguishes the dispatches of one request.
	Attempt string
}

// Answer is a complete and verified answer of a backend server.
type Answer struct {
	Body []byte
	Load BackendLoad
}

// RefusedError means that a backend server rejected a request without starting
// it.
type RefusedError struct {
	Reason RefusalReason
	Load   BackendLoad
}

// RefusalReason is the reason why a backend server rejected a request.
type RefusalReason string

// The refusal reasons.
const (
	RefusedSlotsFull      RefusalReason = "slots_full"
	RefusedLeaving        RefusalReason = "leaving"
	RefusedUnknownService RefusalReason = "unknown_service"
)

// Error implements error.
func (e *RefusedError) Error() string {
	return "refused: backend server declined: " + string(e.Reason)
}

// FaultCode implements fault.Coder.
func (e *RefusedError) FaultCode() fault.Code {
	return fault.Refused
}

// Backends is a client of the backend servers.
type Backends interface {
	// Execute runs a request on a server. It fails with *RefusedError or
	// fault.Unavailable when the server did not start the request, and with
	// fault.Uncertain when it may have started it.
	Execute(ctx context.Context, server structs.Instance, e Execution) (Answer, error)
	// Probe returns a server's current load. It fails with fault.Unavailable.
	Probe(ctx context.Context, server structs.Instance) (BackendLoad, error)
}
