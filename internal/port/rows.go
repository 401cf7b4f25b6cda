package port

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// RowKey identifies a row of a partitioned store.
type RowKey struct {
	Table, Partition, Key string
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
	// ExpectedVersions maps rows to the version that each must have, 0 for a row
	// that must not exist.
	ExpectedVersions map[RowKey]int64
	Puts             map[RowKey][]byte
	Deletes          []RowKey
}

// RowLimits are a store's limits. It rejects calls beyond them with fault.Invalid,
// however often they are repeated.
type RowLimits struct {
	// Entries limits the expected versions, puts and deletes of a transaction together.
	Entries int
	// TxnBytes limits the values of a transaction together, and ValueBytes each.
	TxnBytes, ValueBytes int
}

// RowConflictError reports a transaction that was rejected because rows didn't have
// their expected versions.
type RowConflictError struct {
	// Current are the current rows whose version differs from the expected one. A
	// row that doesn't exist is left out.
	Current []VersionedRow
}

// Error implements error.
func (c *RowConflictError) Error() string { return "conflict: a row has another version" }

// FaultCode implements fault.Coder.
func (c *RowConflictError) FaultCode() fault.Code { return fault.Conflict }

// Row returns the current row with the key, if the conflict reports one.
func (c *RowConflictError) Row(key RowKey) (VersionedRow, bool) {
	for _, r := range c.Current {
		if r.RowKey == key {
			return r, true
		}
	}
	return VersionedRow{}, false
}

// RowStore is the partitioned store with transactions and watches that holds the
// state of the worker pools. The state of gangs and requests is kept in a Table.
//
// Methods fail with fault.Unavailable when the call had no effect, with
// fault.Overloaded when a rate limit rejected it, also without effect, with
// fault.Uncertain when the call may have taken effect or may still do so, or a
// read got no usable response, and with fault.Invalid when the store rejected it
// for another reason.
type RowStore interface {
	// Commit applies a transaction and returns its version. It fails with
	// *RowConflictError when a row doesn't have its expected version.
	Commit(ctx context.Context, txn RowTxn) (int64, error)
	// Scan returns all rows of a partition with from <= key < to in key order,
	// and the store's version before the first row was read. An empty to means
	// no upper bound.
	Scan(ctx context.Context, table, partition, from, to string) ([]VersionedRow, int64, error)
	// Partitions lists the partitions of a table.
	Partitions(ctx context.Context, table string) ([]string, error)
	// Watch waits for changes to a table after a version, for the time wait at
	// most. It returns them in order, or none, with the version from which to
	// continue. It fails with fault.NotFound when the store no longer has the
	// history since the version.
	Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]VersionedRow, int64, error)
	// Limits returns the store's limits, which don't change.
	Limits() RowLimits
	// Now returns an estimate of the store's monotonic clock. It reports false until
	// the store has answered a call.
	Now() (time.Duration, bool)
}

// RunState is the state of a run in progress on a worker.
type RunState struct {
	Task       work.TaskID
	Run        int64
	Checkpoint string
	// ProgressPercent is the run's progress, 0 to 100.
	ProgressPercent int
}

// ResultKind is the way in which a run ended.
type ResultKind int

// The results of a run.
const (
	ResultSucceeded ResultKind = iota + 1
	ResultFailed
	// ResultStopped means that an order stopped the run.
	ResultStopped
	// ResultLeaseExpired means that the worker's lease expired during the run.
	ResultLeaseExpired
	// ResultGangMemberEnded means that the run was stopped because another member of
	// its gang ended.
	ResultGangMemberEnded
	// ResultGangIncomplete means that the other members of the gang didn't start in
	// time.
	ResultGangIncomplete
)

// RunResult is a worker's report of a completed run. The worker keeps it until it
// is acknowledged.
type RunResult struct {
	// Sequence numbers the reports of one incarnation of a worker, from 1.
	Sequence   int64
	Task       work.TaskID
	Run        int64
	Kind       ResultKind
	Checkpoint string
}

// WorkerTarget identifies a worker, its address and its failure domain.
type WorkerTarget struct {
	ID, Address, Domain string
}

// StartOrder is an order to a worker to start a run of a task.
type StartOrder struct {
	Task work.TaskID
	Run  int64
	// Spec is the task specification, opaque to the scheduler.
	Spec string
	// Checkpoint is the checkpoint to resume from, or empty if there is none.
	Checkpoint string
	// Ticket is the policy service's ticket, or empty if the task needs none.
	Ticket string
	// FencingToken is the sender's fencing token.
	FencingToken int64
	// LeaseEnd is the lease's expiry on the worker's clock.
	LeaseEnd time.Duration
}

// StartRejection is the reason why a worker rejected a start.
type StartRejection int

// The rejection reasons.
const (
	NotRejected StartRejection = iota
	// RejectedFencingToken means that the worker has seen a higher fencing token.
	RejectedFencingToken
	// RejectedStaleRun means that the run's number is not higher than that of a run
	// that has ended.
	RejectedStaleRun
	// RejectedLeaseExpired means that the lease in the order has already expired.
	RejectedLeaseExpired
	// RejectedCapacity means that the worker lacks free capacity for the task.
	RejectedCapacity
	// RejectedUnhealthy means that the worker is unhealthy and starts no tasks.
	RejectedUnhealthy
	// RejectedInvalid means that the worker could not decode the order or gave an
	// unknown reason.
	RejectedInvalid
	// RejectedTicket means that the order has no valid ticket of the policy service.
	RejectedTicket
	// RejectedIncarnation means that the order reached another incarnation of the
	// worker or another worker at its address.
	RejectedIncarnation
)

// WorkerClock is a reading of a worker's monotonic clock, taken from one of its
// replies.
type WorkerClock struct {
	Now time.Duration
	// Incarnation identifies one run of the worker's process. It is 0 if the reply
	// had none.
	Incarnation int64
}

// HoldRequest renews the lease of all runs on a worker and requests their
// state.
type HoldRequest struct {
	// FencingToken is the sender's fencing token.
	FencingToken int64
	// AcknowledgedSequence is the highest RunResult.Sequence that the worker may
	// discard.
	AcknowledgedSequence int64
	// LeaseEnd is the lease's new expiry on the worker's clock. 0 leaves the
	// lease unchanged.
	LeaseEnd time.Duration
	// Wait is how long the worker may delay its reply until a run completes.
	Wait time.Duration
}

// HoldReply is a worker's report of its current and completed runs.
type HoldReply struct {
	Clock   WorkerClock
	Running []RunState
	Results []RunResult
	// Incomplete is set if runs or results may be missing: the worker sends only some
	// of many results at a time, or an entry was invalid.
	Incomplete bool
}

// WorkerClient sends orders to the workers of a pool. An order that fails with
// fault.Uncertain may still be carried out later, one that fails with
// fault.Unavailable was not. Stop and Hold fail with fault.Fenced when the worker
// has seen a higher fencing token.
type WorkerClient interface {
	// Start orders a worker to start a run. Without an error, the result is
	// NotRejected or the reason why the worker rejected the order.
	Start(ctx context.Context, target WorkerTarget, order StartOrder) (WorkerClock, StartRejection, error)
	// Stop orders a worker to stop a run. Hold returns the run's result.
	Stop(ctx context.Context, target WorkerTarget, task work.TaskID, run, fencingToken int64) (WorkerClock, error)
	// Hold renews the lease of a worker's runs and returns their state and the
	// results that are not yet acknowledged.
	Hold(ctx context.Context, target WorkerTarget, req HoldRequest) (HoldReply, error)
}

var resultNames = map[ResultKind]string{
	ResultSucceeded: "succeeded", ResultFailed: "failed", ResultStopped: "stopped", ResultLeaseExpired: "lease expired",
	ResultGangMemberEnded: "peer ended", ResultGangIncomplete: "incomplete",
}

// String implements fmt.Stringer.
func (k ResultKind) String() string {
	if name, ok := resultNames[k]; ok {
		return name
	}
	return "unknown"
}

var rejectionNames = map[StartRejection]string{
	NotRejected: "not rejected", RejectedFencingToken: "higher fencing token seen", RejectedStaleRun: "run number not higher",
	RejectedLeaseExpired: "lease over", RejectedCapacity: "no room", RejectedUnhealthy: "unhealthy", RejectedInvalid: "order not read",
	RejectedIncarnation: "another life of the worker", RejectedTicket: "no valid ticket",
}

// String implements fmt.Stringer.
func (r StartRejection) String() string {
	if name, ok := rejectionNames[r]; ok {
		return name
	}
	return "unknown"
}
