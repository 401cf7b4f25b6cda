package gangs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/gang"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// operationRetryInterval is the delay after a failed operation on a job.
const operationRetryInterval = 250 * time.Millisecond

// event is an input of the runner's goroutine. Exactly one field is set.
type event struct {
	done   *operationDone
	inbox  *inboxRead
	leases *leaseReport
}

// operationDone is the result of an operation.
type operationDone struct {
	operation *operation
	err       error
}

// leaseReport holds the lease states that a worker returned, or TaskNotFound for
// each lease of a worker that has been unreachable for a lease TTL.
type leaseReport struct {
	statuses []structs.LeaseStatus
}

// handle processes an event. It fails with fault.Fenced if the grant was lost.
func (d *Runner) handle(ctx context.Context, ev event) error {
	switch {
	case ev.done != nil:
		return d.handleResult(ctx, ev.done)
	case ev.inbox != nil:
		d.handleInbox(ctx, ev.inbox)
	case ev.leases != nil:
		d.handleReport(ctx, ev.leases)
	}
	return nil
}

// handleResult applies the result of an operation to its entry.
func (d *Runner) handleResult(ctx context.Context, done *operationDone) error {
	o := done.operation
	if fault.Is(done.err, fault.Fenced) {
		return done.err
	}
	e, ok := d.entries[o.job.Spec.Key]
	if !ok {
		return nil
	}
	d.recordTransition(e.job, o.job)
	d.logState(o)
	e.busy = false
	e.stoppingSince = time.Time{}
	d.stateChanged = true
	d.setJob(e, o.job, o.revision)
	// Reports from before the operation's end must not trigger another one.
	clear(e.memberStates)
	if done.err != nil {
		d.log.Warn("operation_failed", zap.Stringer("job", o.job.Spec.Key), zap.Error(done.err))
		e.retryAt = time.Now().Add(operationRetryInterval)
	}
	if o.moved || o.job.State.Final() {
		d.health.forgetJob(o.job.Spec.Key)
		d.removeEntry(e)
		return nil
	}
	if o.job.State == structs.JobQueued {
		e.leaseExpiry = time.Time{}
		e.queuedAt = time.Now()
		e.avoidWorkers = append(e.avoidWorkers, o.failedWorkers...)
	}
	d.advance(ctx, e)
	return nil
}

// recordTransition reports a job's state change to the observer and learns its
// run time.
func (d *Runner) recordTransition(before, after structs.Job) {
	switch {
	case after.State.Final():
		d.learnRunTime(after)
		d.deps.Observer.JobEnded(after.State)
	case after.State == structs.JobRunning && after.Attempt == 1 && before.State != structs.JobRunning:
		d.deps.Observer.GangStarted(after.Spec.Class, after.Started.Sub(after.Submitted))
	case after.State == structs.JobQueued && before.State != structs.JobQueued:
		d.deps.Observer.AttemptStopped()
	}
}

// logState logs the job's state after an operation.
func (d *Runner) logState(o *operation) {
	d.log.Info("job_state",
		zap.Stringer("job", o.job.Spec.Key),
		zap.String("state", string(o.job.State)),
		zap.Int64("attempt", o.job.Attempt),
		zap.Int("members", len(o.job.Members)),
		zap.Bool("lent", o.job.Borrowed),
		zap.String("reason", o.job.Reason),
		zap.String("moved_to", o.movedTo()))
}

// learnRunTime records the run time of a job that succeeded in one attempt.
func (d *Runner) learnRunTime(j structs.Job) {
	if j.State == structs.JobSucceeded && j.Spec.Service != "" && j.Checkpoint == "" {
		d.estimates.Observe(serviceKey(j.Spec), j.Ended.Sub(j.Started))
	}
}

func (d *Runner) removeEntry(e *entry) {
	d.setJob(e, structs.Job{Spec: e.job.Spec}, e.revision)
	delete(d.entries, e.job.Spec.Key)
}

// handleInbox adds submitted jobs and marks cancelled ones. A submission's
// inbox row is dropped once the job has an entry, as the next owner finds the
// job through the index. A cancellation's row is kept until the job reaches a
// final state.
func (d *Runner) handleInbox(ctx context.Context, in *inboxRead) {
	d.readingInbox = false
	var processed []inboxRow
	for _, s := range in.submissions {
		if s.found {
			d.add(s.job)
			d.stateChanged = true
			processed = append(processed, s.inboxRow)
		}
	}
	for _, c := range in.cancels {
		e, ok := d.entries[c.job]
		if !ok {
			processed = append(processed, c.inboxRow)
			continue
		}
		e.cancelled = true
		d.advance(ctx, e)
	}
	if len(processed) > 0 {
		d.spawn(func() { d.dropInbox(ctx, processed) })
	}
}

// handleReport records the members' states and advances their jobs.
func (d *Runner) handleReport(ctx context.Context, r *leaseReport) {
	touched := make(map[structs.JobKey]*entry)
	for _, s := range r.statuses {
		ref, ok := d.byLease[s.Lease]
		if !ok {
			continue
		}
		e := d.entries[ref.key]
		e.memberStates[ref.member] = s.State
		touched[ref.key] = e
	}
	for _, e := range touched {
		d.advance(ctx, e)
	}
}

// advance starts the job's next operation, if it needs one other than a
// placement.
func (d *Runner) advance(ctx context.Context, e *entry) {
	if e.busy || time.Now().Before(e.retryAt) {
		return
	}
	switch e.job.State {
	case structs.JobQueued:
		if e.cancelled {
			d.finish(ctx, e, structs.JobCancelled, "cancelled by the caller")
		}
	case structs.JobReserving:
		d.stop(ctx, e, structs.JobQueued, "reservation was not completed", false)
	case structs.JobRunning:
		d.advanceRunning(ctx, e)
	case structs.JobStopping:
		d.startOperation(ctx, e, func(ctx context.Context, o *operation) error { return o.finishStop(ctx) })
	}
}

func (d *Runner) advanceRunning(ctx context.Context, e *entry) {
	if e.cancelled {
		d.stop(ctx, e, structs.JobCancelled, "cancelled by the caller", false)
		return
	}
	switch gang.Evaluate(e.memberStates) {
	case gang.AllSucceeded:
		for _, m := range e.job.Members {
			d.health.taskSucceeded(m.Worker)
		}
		d.stop(ctx, e, structs.JobSucceeded, "", false)
	case gang.MemberLost:
		d.stop(ctx, e, structs.JobQueued, "a member's lease was lost", false)
	case gang.MemberFailed:
		d.stopAfterFailure(ctx, e)
	case gang.InProgress:
		d.startReserved(ctx, e)
	}
}

// startReserved resends the starts of a running gang that has members which
// are still only reserved.
func (d *Runner) startReserved(ctx context.Context, e *entry) {
	for _, s := range e.memberStates {
		if s == structs.TaskReserved {
			d.startOperation(ctx, e, func(ctx context.Context, o *operation) error { return o.startAll(ctx) })
			return
		}
	}
}

func (d *Runner) stopAfterFailure(ctx context.Context, e *entry) {
	next := structs.JobQueued
	e.job.Failures++
	for i, s := range e.memberStates {
		if s == structs.TaskFailed {
			d.health.taskFailed(e.job.Members[i].Worker, e.job.Spec.Key)
			e.avoidWorkers = append(e.avoidWorkers, e.job.Members[i].Worker)
		}
	}
	if e.job.Failures >= d.settings.MaxFailures {
		next = structs.JobFailed
	}
	d.stop(ctx, e, next, "a member's task failed", false)
}

func (d *Runner) stop(ctx context.Context, e *entry, next structs.JobState, reason string, checkpoint bool) {
	e.stoppingSince = time.Now()
	d.startOperation(ctx, e, func(ctx context.Context, o *operation) error {
		return o.stop(ctx, next, reason, checkpoint)
	})
}

func (d *Runner) finish(ctx context.Context, e *entry, state structs.JobState, reason string) {
	d.startOperation(ctx, e, func(ctx context.Context, o *operation) error {
		return o.finish(ctx, state, reason)
	})
}
