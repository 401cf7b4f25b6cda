// Package port holds the narrow interfaces between the duties and the outside.
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
	// Revision is that of the commit that last wrote the row.
	Revision int64
}

// ConditionKind says what a condition asks of a row.
type ConditionKind int

// The condition kinds.
const (
	// Absent asks that the row doesn't exist.
	Absent ConditionKind = iota + 1
	// Present asks that the row exists.
	Present
	// AtRevision asks that the row was last written at a revision.
	AtRevision
)

// Condition must hold for a transaction to take effect.
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

// Txn is a transaction: all of its writes when all conditions hold, or none.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the platform's transactional table service.
//
// Every method fails with fault.Unavailable when the service certainly did
// nothing. Commit fails with *ConflictError when a condition didn't hold and
// with fault.Uncertain when the transaction may have taken effect.
type Table interface {
	// Get returns the rows that exist among keys, in no particular order.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows with the prefix whose key is greater than
	// after, in key order, and whether more follow.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, bool, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (int64, error)
}

// ConflictError names the keys whose condition did not hold.
type ConflictError struct {
	Keys []string
}

// Error lists the keys.
func (e *ConflictError) Error() string {
	return "conflict: condition on " + strings.Join(e.Keys, ", ") + " did not hold"
}

// FaultCode returns fault.Conflict.
func (e *ConflictError) FaultCode() fault.Code {
	return fault.Conflict
}

// Objects is the platform's object store. Its methods fail with
// fault.Unavailable, Get also with fault.NotFound.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
}

// Instances is the platform's instance list, which lags. List fails with
// fault.Unavailable.
type Instances interface {
	List(ctx context.Context) ([]structs.Instance, error)
}

// Workers reaches the agents of the workers. A lease that is not renewed
// within its TTL lapses, which stops its task.
//
// Methods fail with fault.Unavailable when nothing was sent, with
// fault.Uncertain when the call may have taken effect, with fault.Refused when
// the agent declined and with fault.Fenced when the agent doesn't hold the
// lease.
type Workers interface {
	// List returns the inventory.
	List(ctx context.Context) ([]structs.Worker, error)
	// Reserve takes accelerators under a lease; idempotent by lease.
	Reserve(ctx context.Context, w structs.Worker, lease structs.LeaseID, accelerators int, ttl time.Duration) error
	// Renew extends leases and returns the state of each.
	Renew(ctx context.Context, w structs.Worker, leases []structs.LeaseID, ttl time.Duration) ([]structs.LeaseStatus, error)
	// Start runs the task of a lease; idempotent by lease.
	Start(ctx context.Context, w structs.Worker, lease structs.LeaseID, payload []byte, checkpoint string) error
	// Checkpoint saves a task's progress under an object name.
	Checkpoint(ctx context.Context, w structs.Worker, lease structs.LeaseID, object string) error
	// Throttle limits a task to a percentage of its speed.
	Throttle(ctx context.Context, w structs.Worker, lease structs.LeaseID, percent int) error
	// Release stops tasks and ends their leases; idempotent. A released lease
	// can't be reserved again.
	Release(ctx context.Context, w structs.Worker, leases []structs.LeaseID) error
}

// BackendLoad is what a backend server says about itself.
type BackendLoad struct {
	Slots   int
	Busy    int
	Leaving bool
}

// Execution is one dispatch of a request.
type Execution struct {
	Request structs.Request
	// Attempt distinguishes dispatches of one request.
	Attempt string
}

// Answer is a backend server's whole, checked answer.
type Answer struct {
	Body []byte
	Load BackendLoad
}

// RefusedError means that a backend server declined before it started.
type RefusedError struct {
	Reason RefusalReason
	Load   BackendLoad
}

// RefusalReason says why a backend server declined.
type RefusalReason string

// The refusal reasons.
const (
	RefusedSlotsFull      RefusalReason = "slots_full"
	RefusedLeaving        RefusalReason = "leaving"
	RefusedUnknownService RefusalReason = "unknown_service"
)

// Error returns the reason.
func (e *RefusedError) Error() string {
	return "refused: backend server declined: " + string(e.Reason)
}

// FaultCode returns fault.Refused.
func (e *RefusedError) FaultCode() fault.Code {
	return fault.Refused
}

// Backends reaches the backend servers.
type Backends interface {
	// Execute runs a request on a server. It fails with *RefusedError or
	// fault.Unavailable when the server certainly did not start the request
	// and with fault.Uncertain when it may have.
	Execute(ctx context.Context, server structs.Instance, e Execution) (Answer, error)
	// Probe returns a server's load. It fails with fault.Unavailable.
	Probe(ctx context.Context, server structs.Instance) (BackendLoad, error)
}
