package port

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// RowKey identifies a row of a partitioned store.
type RowKey struct {
	Table, Part, Key string
}

// VersionedRow is a row with the version of the transaction that last wrote it.
type VersionedRow struct {
	RowKey
	Value   []byte
	Version int64
	// Deleted marks a removed row in the results of a watch.
	Deleted bool
}

// RowTxn is an atomic transaction on the rows of one partition.
type RowTxn struct {
	// Expect maps rows to the version that each must have, 0 for a row that must
	// not exist.
	Expect  map[RowKey]int64
	Puts    map[RowKey][]byte
	Removes []RowKey
}

// RowConflict reports a transaction that was rejected because rows didn't have
// their expected versions.
type RowConflict struct {
	// Rows are the current rows whose version differs from the expected one.
	Rows []VersionedRow
}

// Error implements error.
func (c *RowConflict) Error() string { return "conflict: a row has another version" }

// FaultCode implements fault.Coder.
func (c *RowConflict) FaultCode() fault.Code { return fault.Conflict }

// Row returns the current row with the key, if the conflict reports one.
func (c *RowConflict) Row(key RowKey) (VersionedRow, bool) {
	for _, r := range c.Rows {
		if r.RowKey == key {
			return r, true
		}
	}
	return VersionedRow{}, false
}

// RowStore is a partitioned store with transactions and watches.
//
// Methods fail with fault.Unavailable when the call had no effect, with
// fault.Overloaded when a rate limit rejected it, also without effect, and with
// fault.Uncertain when the call may have taken effect or may still do so.
type RowStore interface {
	// Commit applies a transaction and returns its version. It fails with
	// *RowConflict when a row doesn't have its expected version.
	Commit(ctx context.Context, txn RowTxn) (int64, error)
	// Scan returns all rows of a partition with from <= key < to in key order,
	// and the store's version before the first row was read. An empty to means
	// no upper bound.
	Scan(ctx context.Context, table, part, from, to string) ([]VersionedRow, int64, error)
	// Parts lists the partitions of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// Feed waits for changes to a table after a version. It returns them in
	// order, with the version from which to continue. It fails with
	// fault.NotFound when the store no longer has the history since that
	// version.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]VersionedRow, int64, error)
	// Now returns an estimate of the store's monotonic clock.
	Now() time.Duration
}

// RunState is the state of a run in progress on a worker.
type RunState struct {
	Task       work.TaskID
	Run        int64
	Checkpoint string
	// Percent is the run's progress, 0 to 100.
	Percent int
}

// EndKind is the result of a run.
type EndKind int

// The results of a run.
const (
	EndSucceeded EndKind = iota + 1
	EndFailed
	EndStopped
	EndLeaseExpired
	// EndPeerEnded means that the run was ended because another member of its
	// gang ended.
	EndPeerEnded
	// EndIncomplete means that the other members of the gang didn't start in
	// time.
	EndIncomplete
)

// RunEnd is a worker's report of a completed run. The worker keeps it until it
// is acknowledged.
type RunEnd struct {
	// Sequence numbers the reports of one incarnation of a worker, from 1.
	Sequence   int64
	Task       work.TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// WorkerTarget identifies a worker and its address.
type WorkerTarget struct {
	ID, Address string
}

// StartOrder is an order to a worker to start a run of a task.
type StartOrder struct {
	Task       work.TaskID
	Run        int64
	Spec       string
	Checkpoint string
	// Ticket is the policy service's ticket, or empty if the task needs none.
	Ticket string
	// Fence is the sender's fencing token.
	Fence int64
	// LeaseUntil is the lease's expiry on the worker's clock.
	LeaseUntil time.Duration
}

// Rejection is the reason why a worker rejected a start.
type Rejection int

// The rejection reasons.
const (
	NotRejected Rejection = iota
	// RejectedFence means that the worker has seen a higher fencing token.
	RejectedFence
	// RejectedOld means that the run's number is not higher than that of a run
	// that has ended.
	RejectedOld
	// RejectedLate means that the lease in the order has already expired.
	RejectedLate
	// RejectedRoom means that the worker lacks free capacity for the task.
	RejectedRoom
	// RejectedUnhealthy means that the worker is unhealthy and starts no tasks.
	RejectedUnhealthy
	// RejectedInvalid means that the worker could not decode the order.
	RejectedInvalid
	// RejectedTicket means that the order has no valid ticket.
	RejectedTicket
	// RejectedLife means that the order reached another incarnation of the
	// worker.
	RejectedLife
)

// WorkerClock is a reading of a worker's monotonic clock, taken from one of its
// replies.
type WorkerClock struct {
	Now time.Duration
	// Born identifies the worker's incarnation. It is 0 if the reply had none.
	Born int64
}

// HoldRequest renews the lease of all runs on a worker and requests their
// state.
type HoldRequest struct {
	// Fence is the sender's fencing token.
	Fence int64
	// Acknowledged is the highest RunEnd.Sequence that the worker may discard.
	Acknowledged int64
	// LeaseUntil is the lease's new expiry on the worker's clock. 0 leaves the
	// lease unchanged.
	LeaseUntil time.Duration
	// Wait is how long the worker may delay its reply until a run completes.
	Wait time.Duration
}

// HoldReply is a worker's report of its current and completed runs.
type HoldReply struct {
	Clock   WorkerClock
	Running []RunState
	Ended   []RunEnd
}

// WorkerCaller sends orders to workers. An order that fails with
// fault.Uncertain may still be carried out later. fault.Fenced means that the
// worker has seen a higher fencing token.
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
