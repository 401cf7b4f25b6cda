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
	try    *tryQuery
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
func (r *Runner) handle(ctx context.Context, ev event) error {
	switch {
	case ev.done != nil:
		return r.handleResult(ctx, ev.done)
	case ev.inbox != nil:
		r.handleInbox(ctx, ev.inbox)
	case ev.leases != nil:
		r.handleReport(ctx, ev.leases)
	case ev.try != nil:
		r.answerTry(ev.try)
	}
	return nil
}

// handleResult applies the result of an operation to its entry.
func (r *Runner) handleResult(ctx context.Context, done *operationDone) error {
	o := done.operation
	if fault.Is(done.err, fault.Fenced) {
		return done.err
	}
	e, ok := r.entries[o.job.Spec.Key]
	if !ok {
		return nil
	}
	if !o.withdrawn {
		r.recordTransition(e.job, o.job)
	}
	r.logState(o)
	e.busy = false
	e.stoppingSince = time.Time{}
	r.decisionInputChanged = true
	r.setJob(e, o.job, o.revision)
	// Lease reports received before the operation ended must not trigger another
	// operation.
	clear(e.memberStates)
	if done.err != nil {
		r.log.Warn("operation_failed", zap.Stringer("job", o.job.Spec.Key), zap.Error(done.err))
		e.retryAt = time.Now().Add(operationRetryInterval)
	}
	if o.moved || o.job.State.Final() {
		r.health.forgetJob(o.job.Spec.Key)
		r.removeEntry(e)
		return nil
	}
	if o.job.State == structs.JobQueued {
		e.leaseExpiry = time.Time{}
		if !o.withdrawn {
			e.queuedAt = time.Now()
		}
		e.avoidWorkers = append(e.avoidWorkers, o.failedWorkers...)
	}
	r.advance(ctx, e)
	return nil
}

// recordTransition reports a job's state change to the observer and learns its
// run time.
func (r *Runner) recordTransition(before, after structs.Job) {
	switch {
	case after.State.Final():
		r.learnRunTime(after)
		r.deps.Observer.JobEnded(after.State)
	case after.State == structs.JobRunning && after.Attempt == 1 && before.State != structs.JobRunning:
		r.deps.Observer.GangStarted(after.Spec.Class, after.Started.Sub(after.Submitted))
	case after.State == structs.JobQueued && before.State != structs.JobQueued:
		r.deps.Observer.AttemptStopped()
	}
}

// logState logs the job's state after an operation.
func (r *Runner) logState(o *operation) {
	r.log.Info("job_state",
		zap.Stringer("job", o.job.Spec.Key),
		zap.String("state", string(o.job.State)),
		zap.Int64("attempt", o.job.Attempt),
		zap.Int("members", len(o.job.Members)),
		zap.Bool("lent", o.job.Borrowed),
		zap.String("reason", o.job.Reason),
		zap.String("moved_to", o.movedTo()))
}

// learnRunTime records the run time of a job that succeeded. A job that resumed
// from a checkpoint is left out, as its last attempt ran only part of the work.
func (r *Runner) learnRunTime(j structs.Job) {
	if j.State == structs.JobSucceeded && j.Spec.Service != "" && j.Checkpoint == "" {
		r.estimates.Observe(serviceKey(j.Spec), j.Ended.Sub(j.Started))
	}
}

func (r *Runner) removeEntry(e *entry) {
	r.setJob(e, structs.Job{Spec: e.job.Spec}, e.revision)
	delete(r.entries, e.job.Spec.Key)
}

// handleInbox adds submitted jobs to r.entries and marks cancelled ones. A
// submission's inbox row is deleted after that, because the next owner finds the
// job through the queue index. A cancellation's row is kept until the job
// reaches a final state, and is deleted if r.entries doesn't have the job.
func (r *Runner) handleInbox(ctx context.Context, in *inboxRead) {
	r.readingInbox = false
	var processed []inboxRow
	for _, s := range in.submissions {
		if s.found {
			r.add(s.job)
			r.decisionInputChanged = true
			processed = append(processed, s.inboxRow)
		}
	}
	for _, c := range in.cancellations {
		e, ok := r.entries[c.job]
		if !ok {
			processed = append(processed, c.inboxRow)
			continue
		}
		e.cancelled = true
		r.advance(ctx, e)
	}
	if len(processed) > 0 {
		r.spawn(func() { r.deleteInboxRows(ctx, processed) })
	}
}

// handleReport records the members' states and advances their jobs.
func (r *Runner) handleReport(ctx context.Context, report *leaseReport) {
	reported := make(map[structs.JobKey]*entry)
	for _, s := range report.statuses {
		holder, ok := r.byLease[s.Lease]
		if !ok {
			continue
		}
		e := r.entries[holder.key]
		e.memberStates[holder.member] = s.State
		reported[holder.key] = e
	}
	for _, e := range reported {
		r.advance(ctx, e)
	}
}

// advance starts the job's next operation, if it needs one other than a
// placement.
func (r *Runner) advance(ctx context.Context, e *entry) {
	if e.busy || time.Now().Before(e.retryAt) {
		return
	}
	switch e.job.State {
	case structs.JobQueued:
		if e.cancelled {
			r.finish(ctx, e, structs.JobCancelled, "cancelled by the caller")
		}
	case structs.JobReserving:
		r.stop(ctx, e, structs.JobQueued, "reservation was not completed", false)
	case structs.JobRunning:
		r.advanceRunning(ctx, e)
	case structs.JobStopping:
		r.startOperation(ctx, e, func(ctx context.Context, o *operation) error { return o.finishStop(ctx) })
	}
}

func (r *Runner) advanceRunning(ctx context.Context, e *entry) {
	if e.cancelled {
		r.stop(ctx, e, structs.JobCancelled, "cancelled by the caller", false)
		return
	}
	switch gang.Evaluate(e.memberStates) {
	case gang.AllSucceeded:
		for _, m := range e.job.Members {
			r.health.taskSucceeded(m.Worker)
		}
		r.stop(ctx, e, structs.JobSucceeded, "", false)
	case gang.MemberLost:
		r.stop(ctx, e, structs.JobQueued, "a member's lease was lost", false)
	case gang.MemberFailed:
		r.stopAfterFailure(ctx, e)
	case gang.InProgress:
		r.startReserved(ctx, e)
	}
}

// startReserved sends the starts of a running gang again if a member is still
// only reserved because its start was lost or never sent.
func (r *Runner) startReserved(ctx context.Context, e *entry) {
	for _, s := range e.memberStates {
		if s == structs.TaskReserved {
			r.startOperation(ctx, e, func(ctx context.Context, o *operation) error { return o.startAll(ctx) })
			return
		}
	}
}

func (r *Runner) stopAfterFailure(ctx context.Context, e *entry) {
	next := structs.JobQueued
	e.job.Failures++
	for i, s := range e.memberStates {
		if s == structs.TaskFailed {
			r.health.taskFailed(e.job.Members[i].Worker, e.job.Spec.Key)
			e.avoidWorkers = append(e.avoidWorkers, e.job.Members[i].Worker)
		}
	}
	if e.job.Failures >= r.settings.MaxFailures {
		next = structs.JobFailed
	}
	r.stop(ctx, e, next, "a member's task failed", false)
}

func (r *Runner) stop(ctx context.Context, e *entry, next structs.JobState, reason string, checkpoint bool) {
	e.stoppingSince = time.Now()
	r.startOperation(ctx, e, func(ctx context.Context, o *operation) error {
		return o.stop(ctx, next, reason, checkpoint)
	})
}

func (r *Runner) finish(ctx context.Context, e *entry, state structs.JobState, reason string) {
	r.startOperation(ctx, e, func(ctx context.Context, o *operation) error {
		return o.finish(ctx, state, reason)
	})
}
