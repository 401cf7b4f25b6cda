package port

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// RowKey names a row of a partitioned store.
type RowKey struct {
	Table, Part, Key string
}

// VersionedRow is a row with the version of the transaction that wrote it.
type VersionedRow struct {
	RowKey
	Value   []byte
	Version int64
	// Deleted marks a removed row in a feed.
	Deleted bool
}

// RowTxn is a transaction on the rows of one part.
type RowTxn struct {
	// Expect gives the version that each row must have; 0 means absent.
	Expect  map[RowKey]int64
	Puts    map[RowKey][]byte
	Removes []RowKey
}

// RowConflict reports the present rows where an expectation didn't hold.
type RowConflict struct {
	Rows []VersionedRow
}

// Error implements error.
func (c *RowConflict) Error() string { return "conflict: a row has another version" }

// FaultCode implements fault.Coder.
func (c *RowConflict) FaultCode() fault.Code { return fault.Conflict }

// Row returns the present row under key.
func (c *RowConflict) Row(key RowKey) (VersionedRow, bool) {
	for _, r := range c.Rows {
		if r.RowKey == key {
			return r, true
		}
	}
	return VersionedRow{}, false
}

// RowStore is a partitioned store with transactions and change feeds.
//
// Methods fail with fault.Unavailable when the store did nothing, with
// fault.Overloaded when it did nothing because of a rate limit, and with
// fault.Uncertain when the call may have been or may still be carried out.
type RowStore interface {
	// Commit returns the transaction's version. It fails with *RowConflict
	// when an expectation doesn't hold.
	Commit(ctx context.Context, txn RowTxn) (int64, error)
	// Scan returns all rows of a part with from <= key < to in key order, and
	// the store's version before the first was read. An empty to is unbounded.
	Scan(ctx context.Context, table, part, from, to string) ([]VersionedRow, int64, error)
	// Parts lists the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// Feed waits for changes of a table after a version and returns them in
	// order with the version to continue from. It fails with fault.NotFound
	// when the history is gone.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]VersionedRow, int64, error)
	// Now estimates the store's steady clock.
	Now() time.Duration
}

// RunState is a task that a worker runs.
type RunState struct {
	Task       work.TaskID
	Run        int64
	Checkpoint string
	Percent    int
}

// EndKind says how a run ended.
type EndKind int

// The kinds of end.
const (
	EndSucceeded EndKind = iota + 1
	EndFailed
	EndStopped
	EndLeaseExpired
	// EndPeerEnded means that another member of the gang ended.
	EndPeerEnded
	// EndIncomplete means that the gang's other members didn't arrive in time.
	EndIncomplete
)

// RunEnd is an ended run that the worker keeps until it is acknowledged.
type RunEnd struct {
	// Sequence numbers the ends of one life of a worker, from 1.
	Sequence   int64
	Task       work.TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// WorkerTarget addresses one worker.
type WorkerTarget struct {
	ID, Address string
}

// StartOrder tells a worker to start a run of a task.
type StartOrder struct {
	Task       work.TaskID
	Run        int64
	Spec       string
	Checkpoint string
	// Ticket is the policy service's, empty where none is needed.
	Ticket string
	Fence  int64
	// LeaseUntil is on the worker's clock.
	LeaseUntil time.Duration
}

// Rejection says why a worker declined a start.
type Rejection int

// The reasons.
const (
	NotRejected Rejection = iota
	// RejectedFence means that the worker has seen a higher fencing token.
	RejectedFence
	// RejectedOld means that the run's number isn't higher than an ended one.
	RejectedOld
	// RejectedLate means that the lease would have expired already.
	RejectedLate
	// RejectedRoom means that the task doesn't fit.
	RejectedRoom
	// RejectedUnhealthy means that the worker does no work at present.
	RejectedUnhealthy
	// RejectedInvalid means that the worker can't read the order.
	RejectedInvalid
	// RejectedTicket means that the start carries no valid ticket.
	RejectedTicket
	// RejectedLife means that another life of the worker answered.
	RejectedLife
)

// WorkerClock is a worker's steady clock as an answer gave it.
type WorkerClock struct {
	Now time.Duration
	// Born identifies the life of the worker; 0 where it wasn't told.
	Born int64
}

// HoldRequest renews the lease of all runs on a worker and asks what runs.
type HoldRequest struct {
	Fence int64
	// Acknowledged is the highest end that the worker may forget.
	Acknowledged int64
	// LeaseUntil is on the worker's clock; 0 leaves the lease as it is.
	LeaseUntil time.Duration
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// HoldReply is what runs and what ended on a worker.
type HoldReply struct {
	Clock   WorkerClock
	Running []RunState
	Ended   []RunEnd
}

// WorkerCaller sends orders to workers. An order that fails with
// fault.Uncertain may be carried out later; fault.Fenced means that the worker
// has seen a higher fencing token.
type WorkerCaller interface {
	Start(ctx context.Context, target WorkerTarget, order StartOrder) (WorkerClock, Rejection, error)
	Stop(ctx context.Context, target WorkerTarget, task work.TaskID, run, fence int64) (WorkerClock, error)
	Hold(ctx context.Context, target WorkerTarget, req HoldRequest) (HoldReply, error)
}

var endNames = map[EndKind]string{
	EndSucceeded: "succeeded", EndFailed: "failed", EndStopped: "stopped", EndLeaseExpired: "lease expired",
	EndPeerEnded: "peer ended", EndIncomplete: "incomplete",
}

// String implements fmt.Stringer.
func (k EndKind) String() string {
	if name, ok := endNames[k]; ok {
		return name
	}
	return "unknown"
}

var rejectionNames = map[Rejection]string{
	NotRejected: "not rejected", RejectedFence: "higher fencing token seen", RejectedOld: "run number not higher",
	RejectedLate: "lease over", RejectedRoom: "no room", RejectedUnhealthy: "unhealthy", RejectedInvalid: "order not read",
	RejectedLife: "another life of the worker", RejectedTicket: "no valid ticket",
}

// String implements fmt.Stringer.
func (r Rejection) String() string {
	if name, ok := rejectionNames[r]; ok {
		return name
	}
	return "unknown"
}
