// Package intake takes callers' jobs, cancellations and questions. Any instance
// does so; the pool's owner learns of them through the store.
package intake

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// commitTimeout is how long one sending of a commit may take; the store
	// answers within 12 ms at its usual speed, and within 1.2 s at its slowest.
	commitTimeout = 1500 * time.Millisecond
	// resendPause spaces the sendings of a commit that wasn't answered.
	resendPause = 60 * time.Millisecond
	// awayRetryAfter is when a caller is asked back while the store is away. The
	// header counts whole seconds, and callers wait for three in all.
	awayRetryAfter = time.Second
)

// Events by which a call's outcome is logged.
const (
	EventAccepted    = "job accepted"
	EventRejected    = "job rejected"
	EventNotAccepted = "job not accepted"
	EventCancelled   = "cancellation stored"
)

// Intake serves callers. It is safe for concurrent use.
type Intake struct {
	store   port.RowStore
	replica *replica.Replica
	log     *zap.Logger
	config  atomic.Pointer[work.Config]
	health  Health
}

// Health tells what is known of the store's present state.
type Health interface {
	// Outage is for how long the store has been away, 0 where it answers.
	Outage() time.Duration
	// PartDown reports whether a part failed lately.
	PartDown(part string) bool
	// Patience is how long a call may take before it counts as unanswered.
	Patience() time.Duration
}

// New returns an intake without a configuration.
func New(store port.RowStore, health Health, rep *replica.Replica, log *zap.Logger) *Intake {
	return &Intake{store: store, health: health, replica: rep, log: log}
}

// SetConfig puts a configuration into force, unless a newer one is.
func (in *Intake) SetConfig(c *work.Config) bool {
	for {
		old := in.config.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if in.config.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Config returns the configuration in force, nil where there is none yet.
func (in *Intake) Config() *work.Config { return in.config.Load() }

// Route finds the queue for a host and a path, and the path's rest after the
// queue's prefix. It fails with fault.NotReady or fault.NotFound.
func (in *Intake) Route(host, path string) (*work.Queue, string, error) {
	c := in.config.Load()
	if c == nil {
		return nil, "", fault.New(fault.NotReady, "no configuration yet")
	}
	var best *work.Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, "", fault.New(fault.NotFound, "no queue for this host and path")
	}
	return best, path[len(best.Prefix):], nil
}

// Authorize returns the workspace of a key. It fails with
// fault.Unauthenticated.
func (in *Intake) Authorize(q *work.Queue, key string) (string, error) {
	if key != "" {
		for _, w := range in.config.Load().Workspaces {
			if slices.Contains(w.Keys, key) {
				return w.Name, nil
			}
		}
	}
	if q.Anonymous {
		return "", nil
	}
	return "", fault.New(fault.Unauthenticated, "unknown key")
}

// MaxBody returns the largest submission taken, in bytes.
func (in *Intake) MaxBody() int64 {
	const fallback = 1 << 20 // where the configuration sets no bound
	if c := in.config.Load(); c != nil && c.MaxBodyBytes > 0 {
		return c.MaxBodyBytes
	}
	return fallback
}

// Submit stores a job. Submitting the same ID again is no failure. It fails
// with fault.Invalid, with fault.Unavailable when the job is surely not stored
// and with fault.Uncertain when it may be.
func (in *Intake) Submit(ctx context.Context, q *work.Queue, workspace, id string, sub work.Submission) error {
	job := work.Job{
		ID: id, Pool: q.Pool, Queue: q.Name, Workspace: workspace, Priority: q.Priority,
		MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target, Spec: sub.Spec, Steps: sub.Steps, Schedule: sub.Schedule, Advised: q.Advised,
		SubmittedAt: in.store.Now(),
	}
	if err := in.check(&job); err != nil {
		in.log.Info(EventRejected, zap.String("job", id), zap.String("queue", q.Name), zap.Error(err))
		return err
	}
	if away := in.health.Outage(); away > 0 {
		in.log.Info(EventRejected, zap.String("job", id), zap.String("queue", q.Name), zap.String("why", "the store is away"), zap.Duration("away", away))
		return errAway
	}
	value, err := work.Encode(work.Record{Job: job, State: work.Queued})
	if err != nil {
		return err
	}
	version, err := in.commit(ctx, replica.JobKeys(q.Pool, id), func(key port.RowKey) port.RowTxn {
		return port.RowTxn{
			Expect: map[port.RowKey]int64{key: 0},
			Puts:   map[port.RowKey][]byte{key: value},
		}
	})
	if fault.Is(err, fault.Conflict) {
		in.log.Info("job known already", zap.String("job", id), zap.String("queue", q.Name))
		return nil
	}
	if err != nil {
		in.log.Warn(EventNotAccepted, zap.String("job", id), zap.String("queue", q.Name), zap.Error(err))
		return err
	}
	in.log.Info(EventAccepted, zap.String("job", id), zap.String("queue", q.Name), zap.String("workspace", workspace),
		zap.Int("priority", q.Priority), zap.Int("steps", len(sub.Steps)), zap.Int("occurrences", job.Occurrences()), zap.Float64("core_seconds", job.Weight()),
		zap.Duration("objective", job.Objective()), zap.Int64("version", version), zap.Int64("config", in.config.Load().Version))
	return nil
}

// errAway rejects a job before anything of it was sent.
var errAway = &fault.RetryError{After: awayRetryAfter, Err: fault.New(fault.Unavailable, "the store is away")}

// commit sends a transaction, to one place after another as parts fail, until
// its outcome is known or ctx ends. Rows in several places are one job's.
func (in *Intake) commit(ctx context.Context, places []port.RowKey, txn func(port.RowKey) port.RowTxn) (int64, error) {
	uncertain := false
	for try := 0; ; try++ {
		key := replica.Place(places, try, in.health.PartDown)
		call, cancel := context.WithTimeout(ctx, min(commitTimeout, 2*in.health.Patience()))
		version, err := in.store.Commit(call, txn(key))
		cancel()
		var conflict *port.RowConflict
		if err == nil || errors.As(err, &conflict) {
			return version, err
		}
		uncertain = uncertain || !fault.NoEffect(err)
		in.log.Info("commit not answered", zap.String("part", key.Part), zap.String("key", key.Key), zap.Int("try", try), zap.Error(err))
		if waitErr := wait.For(ctx, resendPause); waitErr != nil {
			if uncertain {
				return 0, fault.Wrap(fault.Uncertain, "the store's answer is missing", err)
			}
			return 0, fault.Wrap(fault.Unavailable, "the store does not take writes", err)
		}
	}
}

// find returns a job by the copy or, where that doesn't know it, by the store.
func (in *Intake) find(ctx context.Context, q *work.Queue, id string) (replica.JobView, error) {
	if v, ok := in.replica.Job(id); ok {
		return v, nil
	}
	var failed error
	for _, key := range replica.JobKeys(q.Pool, id) {
		rows, _, err := in.store.Scan(ctx, key.Table, key.Part, key.Key, key.Key+"\x00")
		if err != nil {
			failed = err
			continue
		}
		if len(rows) > 0 {
			var v replica.JobView
			err := work.Decode(rows[0].Value, &v.Record)
			return v, err
		}
	}
	if failed != nil {
		return replica.JobView{}, failed
	}
	return replica.JobView{}, fault.New(fault.NotFound, "no such job")
}

// State returns a job's state. It fails with fault.NotFound, or with what the
// store fails with.
func (in *Intake) State(ctx context.Context, q *work.Queue, id string) (work.State, error) {
	v, err := in.find(ctx, q, id)
	if err != nil {
		return "", err
	}
	if v.Cancelled && !v.Record.State.Ended() {
		return work.Cancelled, nil
	}
	return v.Record.State, nil
}

// Cancel stores that the caller wants the job no more. It fails with
// fault.NotFound, or as Submit does.
func (in *Intake) Cancel(ctx context.Context, q *work.Queue, id string) error {
	v, err := in.find(ctx, q, id)
	if err != nil {
		return err
	}
	if v.Cancelled || v.Record.State.Ended() {
		return nil
	}
	version, err := in.commit(ctx, replica.CancelKeys(v.Record.Job.Pool, id), func(key port.RowKey) port.RowTxn {
		return port.RowTxn{Puts: map[port.RowKey][]byte{key: {1}}}
	})
	if err != nil {
		in.log.Warn("cancellation not stored", zap.String("job", id), zap.Error(err))
		return err
	}
	in.log.Info(EventCancelled, zap.String("job", id), zap.Int64("version", version))
	return nil
}

// Waiting counts the queue's jobs of which no task has started.
func (in *Intake) Waiting(q *work.Queue) int { return in.replica.Waiting(q.Name) }
