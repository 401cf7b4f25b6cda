// Package intake serves callers' submissions, cancellations and queries on any
// instance. The pool's owner receives them through the store.
package intake

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/keylease"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// commitTimeout bounds one attempt of a commit. The store normally answers
	// within 12 ms, and within 1.2 s at its slowest.
	commitTimeout = 1500 * time.Millisecond
	// commitRetryDelay is the delay between attempts of an unanswered commit.
	commitRetryDelay = 60 * time.Millisecond
	// outageRetryAfter is the delay after which a caller may retry during a store
	// outage, or while its key can't be confirmed. The Retry-After header counts
	// whole seconds, and callers wait for three seconds in all.
	outageRetryAfter = time.Second
)

// Log events for the outcomes of calls.
const (
	EventAccepted    = "job accepted"
	EventRejected    = "job rejected"     // before a write was sent
	EventRefused     = "job refused"      // because of the forecast, before a write was sent
	EventNotAccepted = "job not accepted" // the write failed, or its outcome is unknown
	EventCancelled   = "cancellation stored"
	// EventUnconfirmed tells of submissions that weren't refused because the store couldn't
	// be read in time.
	EventUnconfirmed = "refusals not confirmed"
)

// Deps are the dependencies of an intake.
type Deps struct {
	Store   port.RowStore
	Health  Health
	Replica *replica.Replica
	Log     *zap.Logger
	// Now is a monotonic clock that includes time spent suspended.
	Now func() time.Duration
	// KeyPolicy returns the policy in force for the callers' keys.
	KeyPolicy func() keylease.Policy
	// Observer is nil if nothing observes the intake.
	Observer Observer
}

// Intake serves callers. It is safe for concurrent use.
type Intake struct {
	deps    Deps
	store   port.RowStore
	replica *replica.Replica
	log     *zap.Logger
	health  Health
	// observer is never nil.
	observer      Observer
	confirmations confirmations

	applying    sync.Mutex // serializes ApplyReading
	inForce     atomic.Pointer[inForce]
	evacuation  atomic.Pointer[work.Evacuation]
	keysRefused atomic.Bool // whether the last check refused keys, to log changes
}

// Health reports the state of the store as this instance observes it.
type Health interface {
	// UnavailableFor returns how long the store has been unavailable, 0 if it
	// answers.
	UnavailableFor() time.Duration
	// PartitionDown reports whether a partition failed recently.
	PartitionDown(partition string) bool
	// HedgeDelay returns how long a call may take before it is also sent through a
	// peer.
	HedgeDelay() time.Duration
}

// New returns an intake without a configuration.
func New(deps Deps) *Intake {
	in := &Intake{deps: deps, store: deps.Store, health: deps.Health, replica: deps.Replica, log: deps.Log, observer: deps.Observer}
	if in.observer == nil {
		in.observer = noObserver{}
	}
	return in
}

// Route returns the queue for a host and a path, by the longest matching prefix, and
// the rest of the path after that prefix. It fails with fault.NotReady if there is
// no configuration yet, or with fault.NotFound.
func (in *Intake) Route(host, path string) (*work.Queue, string, error) {
	c := in.Config()
	if c == nil {
		return nil, "", fault.New(fault.NotReady, "no configuration yet")
	}
	var longestMatch *work.Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (longestMatch == nil || len(q.Prefix) > len(longestMatch.Prefix)) {
			longestMatch = q
		}
	}
	if longestMatch == nil {
		return nil, "", fault.New(fault.NotFound, "no queue for this host and path")
	}
	return longestMatch, path[len(longestMatch.Prefix):], nil
}

// MaxBodyBytes returns the size of the largest submission accepted, in bytes.
func (in *Intake) MaxBodyBytes() int64 {
	const fallback = 1 << 20 // used if the configuration sets no limit
	if c := in.Config(); c != nil && c.MaxBodyBytes > 0 {
		return c.MaxBodyBytes
	}
	return fallback
}

// Submit stores a job. Submitting the same ID again succeeds, even with other
// content or after the queue has moved to another pool, where the job might be refused. It
// fails with fault.Invalid, with fault.Unavailable if the job is
// certainly not stored, and with fault.Uncertain if it may be. During a store outage
// it fails at once, with a *fault.RetryError of code fault.Unavailable. It fails with one
// of code fault.Overloaded if the job certainly can't complete in useful time. The caller's
// key is verified again before each write and before success is reported, with the
// errors of Authorize if nothing was stored. A configuration must be in force.
func (in *Intake) Submit(ctx context.Context, caller Caller, id string, sub work.Submission) error {
	q := caller.Queue
	if v, ok := in.replica.Job(id); ok {
		return in.knownAlready(caller, id, v.Record.Job.Pool)
	}
	job, clockKnown := in.newJob(caller, id, sub)
	value, away, err := in.check(&job, clockKnown)
	if errors.Is(err, errStoreUnavailable) {
		in.log.Info(EventRejected, zap.String("job", id), zap.String("queue", q.Name), zap.String("why", "the store is away"), zap.Duration("away", away))
		return err
	}
	if err != nil {
		in.log.Info(EventRejected, zap.String("job", id), zap.String("queue", q.Name), zap.Error(err))
		return err
	}
	if err := in.checkForecast(ctx, caller, &job); err != nil {
		return err
	}
	version, err := in.commit(ctx, caller, replica.JobKeys(q.Pool, id), func(key port.RowKey) port.RowTxn {
		return port.RowTxn{
			ExpectedVersions: map[port.RowKey]int64{key: 0},
			Puts:             map[port.RowKey][]byte{key: value},
		}
	})
	if fault.Is(err, fault.Conflict) {
		return in.knownAlready(caller, id, q.Pool)
	}
	if err != nil {
		in.log.Warn(EventNotAccepted, zap.String("job", id), zap.String("queue", q.Name), zap.Error(err))
		return err
	}
	in.log.Info(EventAccepted, zap.String("job", id), zap.String("queue", q.Name), zap.String("workspace", caller.Workspace),
		zap.Int("priority", q.Priority), zap.Int("steps", len(sub.Steps)), zap.Int("occurrences", job.Occurrences()), zap.Float64("core_seconds", job.Weight()),
		zap.Duration("objective", job.Objective(job.CriticalPaths())), zap.Int64("version", version), zap.Int64("config", in.Config().Version))
	return in.verifyDone(caller)
}

// knownAlready accepts a job that is stored in a pool.
func (in *Intake) knownAlready(caller Caller, id, pool string) error {
	in.log.Info("job known already", zap.String("job", id), zap.String("queue", caller.Queue.Name), zap.String("pool", pool))
	return in.verifyDone(caller)
}

// newJob returns the job of a submission, and whether the store's clock is known, by which
// the job is dated.
func (in *Intake) newJob(caller Caller, id string, sub work.Submission) (work.Job, bool) {
	q := caller.Queue
	storeNow, clockKnown := in.store.Now()
	return work.Job{
		ID: id, Pool: q.Pool, Queue: q.Name, Workspace: caller.Workspace, Priority: q.Priority,
		MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target, Spec: sub.Spec, Steps: sub.Steps, Schedule: sub.Schedule, PolicyControlled: q.PolicyControlled,
		SubmittedAt: storeNow,
	}, clockKnown
}

// check returns the row of a new job. It fails with fault.Invalid or, during a store
// outage, with errStoreUnavailable and the time for which the store has been away.
func (in *Intake) check(job *work.Job, clockKnown bool) (value []byte, away time.Duration, err error) {
	if err := in.validate(job); err != nil {
		return nil, 0, err
	}
	if away := in.health.UnavailableFor(); away > 0 || !clockKnown {
		return nil, away, errStoreUnavailable
	}
	value, err = in.encode(job)
	return value, 0, err
}

// errStoreUnavailable rejects a job before any write was sent.
var errStoreUnavailable = &fault.RetryError{RetryAfter: outageRetryAfter, Err: fault.New(fault.Unavailable, "the store is away")}

// commit sends a transaction until its outcome is known or ctx ends. Each attempt
// uses the next key whose partition hasn't failed recently. Rows under several keys
// are merged into one job. commit fails with *port.RowConflictError or, once ctx has
// ended, with fault.Unavailable if nothing was stored and with fault.Uncertain if it
// may have been. It verifies the caller before each attempt and fails with the
// errors of verify, or of verifyDone after an attempt that may have taken effect.
func (in *Intake) commit(ctx context.Context, caller Caller, keys []port.RowKey, txn func(port.RowKey) port.RowTxn) (int64, error) {
	uncertain := false
	for try := 0; ; try++ {
		verify := in.verify
		if uncertain {
			verify = in.verifyDone
		}
		if err := verify(caller); err != nil {
			return 0, err
		}
		key := replica.ChooseKey(keys, try, in.health.PartitionDown)
		call, cancel := context.WithTimeout(ctx, min(commitTimeout, 2*in.health.HedgeDelay()))
		version, err := in.store.Commit(call, txn(key))
		cancel()
		var conflict *port.RowConflictError
		if err == nil || errors.As(err, &conflict) {
			return version, err
		}
		uncertain = uncertain || !fault.NoEffect(err)
		in.log.Info("commit not answered", zap.String("part", key.Partition), zap.String("key", key.Key), zap.Int("try", try), zap.Error(err))
		if waitErr := wait.For(ctx, commitRetryDelay); waitErr != nil {
			if uncertain {
				return 0, fault.Wrap(fault.Uncertain, "the store did not answer", err)
			}
			return 0, fault.Wrap(fault.Unavailable, "the store does not take writes", err)
		}
	}
}

// find looks a job up in the replica and, if it is not there, in the store, where it
// doesn't look for a cancellation. It fails with fault.NotFound, with the store's
// error, or with fault.Invalid if a row can't be decoded.
func (in *Intake) find(ctx context.Context, q *work.Queue, id string) (replica.JobView, error) {
	if v, ok := in.replica.Job(id); ok {
		return v, nil
	}
	var rows []port.VersionedRow
	var failure error
	for _, pool := range in.poolsOf(q) {
		row, err := in.readRow(ctx, pool, id)
		switch {
		case err == nil:
			rows = append(rows, row)
		case !fault.Is(err, fault.NotFound):
			failure = err
		}
	}
	switch {
	case len(rows) > 0:
		return replica.NewJobView(rows)
	case failure != nil:
		return replica.JobView{}, failure
	}
	return replica.JobView{}, fault.New(fault.NotFound, "no such job")
}

// readRow reads the first row that a job has in a pool. It fails with fault.NotFound or with
// the store's error.
func (in *Intake) readRow(ctx context.Context, pool, id string) (port.VersionedRow, error) {
	failure := error(fault.New(fault.NotFound, "no such row"))
	for _, key := range replica.JobKeys(pool, id) {
		rows, _, err := in.store.Scan(ctx, key.Table, key.Partition, key.Key, key.Key+"\x00")
		if err == nil && len(rows) > 0 {
			return rows[0], nil
		}
		if err != nil {
			failure = err
		}
	}
	return port.VersionedRow{}, failure
}

// poolsOf returns the pools that may have a job of the queue: its present one, and those
// that it may have had before.
func (in *Intake) poolsOf(q *work.Queue) []string {
	pools := append(in.replica.PoolNames(), q.Pool)
	if c := in.Config(); c != nil {
		pools = append(pools, c.Pools...)
	}
	slices.Sort(pools)
	return slices.Compact(pools)
}

// State returns a job's state. A job with a stored cancellation counts as cancelled
// unless it has ended. It fails with fault.NotFound, with the store's error, with
// fault.Invalid if the row can't be decoded, or with the errors of Authorize if the
// caller's key is no longer accepted.
func (in *Intake) State(ctx context.Context, caller Caller, id string) (work.State, error) {
	v, err := in.find(ctx, caller.Queue, id)
	if err != nil {
		return "", err
	}
	if err := in.verify(caller); err != nil {
		return "", err
	}
	if v.Cancelled && !v.Record.State.Ended() {
		return work.Cancelled, nil
	}
	return v.Record.State, nil
}

// Cancel stores a job's cancellation. It succeeds without a write if the job has
// ended or is already cancelled. It fails with fault.NotFound, with the store's
// error or fault.Invalid if the job can't be looked up, with fault.Unavailable if
// the cancellation is certainly not stored, and with fault.Uncertain if it may be.
// It verifies the caller's key like Submit.
func (in *Intake) Cancel(ctx context.Context, caller Caller, id string) error {
	v, err := in.find(ctx, caller.Queue, id)
	if err != nil {
		return err
	}
	if v.Cancelled || v.Record.State.Ended() {
		return in.verify(caller)
	}
	version, err := in.commit(ctx, caller, replica.CancelKeys(v.Record.Job.Pool, id), func(key port.RowKey) port.RowTxn {
		return port.RowTxn{Puts: map[port.RowKey][]byte{key: {1}}}
	})
	if err != nil {
		in.log.Warn("cancellation not stored", zap.String("job", id), zap.Error(err))
		return err
	}
	in.log.Info(EventCancelled, zap.String("job", id), zap.Int64("version", version))
	return in.verifyDone(caller)
}

// Waiting returns the number of the queue's jobs without a started task. Cancelled
// jobs don't count.
func (in *Intake) Waiting(q *work.Queue) int { return in.replica.Waiting(q.Name) }
