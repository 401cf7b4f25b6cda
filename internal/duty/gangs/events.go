package gangs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/gang"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// operationRetry is the time between a failed operation on a job and the next.
const operationRetry = 250 * time.Millisecond

// event is what the runner's goroutine reacts to; exactly one field is set.
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

// leaseReport is what a worker said about leases, or that it can't be reached
// any more.
type leaseReport struct {
	statuses []structs.LeaseStatus
}

// handle fails with fault.Fenced when the grant was lost.
func (d *Domain) handle(ctx context.Context, ev event) error {
	switch {
	case ev.done != nil:
		return d.finished(ctx, ev.done)
	case ev.inbox != nil:
		d.received(ctx, ev.inbox)
	case ev.leases != nil:
		d.reported(ctx, ev.leases)
	}
	return nil
}

// finished takes over what an operation left in the table.
func (d *Domain) finished(ctx context.Context, done *operationDone) error {
	o := done.operation
	if fault.Is(done.err, fault.Fenced) {
		return done.err
	}
	e, ok := d.entries[o.job.Spec.Key]
	if !ok {
		return nil
	}
	d.observe(e.job, o.job)
	d.logState(o)
	e.busy = false
	e.stopping = time.Time{}
	d.changed = true
	d.setJob(e, o.job, o.revision)
	// Only a report that comes after the operation can ask for another.
	clear(e.states)
	if done.err != nil {
		d.log.Warn("operation_failed", zap.Stringer("job", o.job.Spec.Key), zap.Error(done.err))
		e.retryAt = time.Now().Add(operationRetry)
	}
	if o.moved || o.job.State.Final() {
		d.health.forget(o.job.Spec.Key)
		d.forget(e)
		return nil
	}
	if o.job.State == structs.JobQueued {
		e.lapse = time.Time{}
		e.queued = time.Now()
		e.avoid = append(e.avoid, o.failedOn...)
	}
	d.advance(ctx, e)
	return nil
}

// observe counts what an operation did and learns from it.
func (d *Domain) observe(before, after structs.Job) {
	switch {
	case after.State.Final():
		d.learn(after)
		d.deps.Observer.JobEnded(after.State)
	case after.State == structs.JobRunning && after.Attempt == 1 && before.State != structs.JobRunning:
		d.deps.Observer.GangStarted(after.Spec.Class, after.Started.Sub(after.Submitted))
	case after.State == structs.JobQueued && before.State != structs.JobQueued:
		d.deps.Observer.AttemptStopped()
	}
}

// logState tells where an operation left a job.
func (d *Domain) logState(o *operation) {
	d.log.Info("job_state",
		zap.Stringer("job", o.job.Spec.Key),
		zap.String("state", string(o.job.State)),
		zap.Int64("attempt", o.job.Attempt),
		zap.Int("members", len(o.job.Members)),
		zap.Bool("lent", o.job.Lent),
		zap.String("reason", o.job.Reason),
		zap.String("moved_to", o.movedTo()))
}

// learn notes the run time of a job that succeeded in one attempt.
func (d *Domain) learn(j structs.Job) {
	if j.State == structs.JobSucceeded && j.Spec.Service != "" && j.Checkpoint == "" {
		d.learned.Observe(serviceKey(j.Spec), j.Ended.Sub(j.Started))
	}
}

func (d *Domain) forget(e *entry) {
	d.setJob(e, structs.Job{Spec: e.job.Spec}, e.revision)
	delete(d.entries, e.job.Spec.Key)
}

// received adds submissions and notes cancellations. A submission's inbox row
// has served its purpose once the job is known here: the next owner finds the
// job by the index. A cancellation's row stays until the job's end.
func (d *Domain) received(ctx context.Context, in *inboxRead) {
	d.inboxing = false
	var served []inboxRow
	for _, s := range in.submissions {
		if s.found {
			d.add(s.job)
			d.changed = true
			served = append(served, s.inboxRow)
		}
	}
	for _, c := range in.cancels {
		e, ok := d.entries[c.job]
		if !ok {
			served = append(served, c.inboxRow)
			continue
		}
		e.cancelled = true
		d.advance(ctx, e)
	}
	if len(served) > 0 {
		d.spawn(func() { d.dropInbox(ctx, served) })
	}
}

// reported notes the members' states.
func (d *Domain) reported(ctx context.Context, r *leaseReport) {
	touched := make(map[structs.JobKey]*entry)
	for _, s := range r.statuses {
		owner, ok := d.byLease[s.Lease]
		if !ok {
			continue
		}
		e := d.entries[owner.key]
		e.states[owner.member] = s.State
		touched[owner.key] = e
	}
	for _, e := range touched {
		d.advance(ctx, e)
	}
}

// advance takes the next step that doesn't need a placement.
func (d *Domain) advance(ctx context.Context, e *entry) {
	if e.busy || time.Now().Before(e.retryAt) {
		return
	}
	switch e.job.State {
	case structs.JobQueued:
		if e.cancelled {
			d.end(ctx, e, structs.JobCancelled, "cancelled by the caller")
		}
	case structs.JobReserving:
		d.stop(ctx, e, structs.JobQueued, "reservation was not completed", false)
	case structs.JobRunning:
		d.advanceRunning(ctx, e)
	case structs.JobStopping:
		d.operate(ctx, e, func(ctx context.Context, o *operation) error { return o.finishStop(ctx) })
	}
}

func (d *Domain) advanceRunning(ctx context.Context, e *entry) {
	if e.cancelled {
		d.stop(ctx, e, structs.JobCancelled, "cancelled by the caller", false)
		return
	}
	switch gang.Evaluate(e.states) {
	case gang.AllSucceeded:
		for _, m := range e.job.Members {
			d.health.succeeded(m.Worker)
		}
		d.stop(ctx, e, structs.JobSucceeded, "", false)
	case gang.MemberLost:
		d.stop(ctx, e, structs.JobQueued, "a member's lease was lost", false)
	case gang.MemberFailed:
		d.stopFailed(ctx, e)
	case gang.InProgress:
		d.startReserved(ctx, e)
	}
}

// startReserved starts members of a running gang whose start was lost.
func (d *Domain) startReserved(ctx context.Context, e *entry) {
	for _, s := range e.states {
		if s == structs.TaskReserved {
			d.operate(ctx, e, func(ctx context.Context, o *operation) error { return o.startAll(ctx) })
			return
		}
	}
}

func (d *Domain) stopFailed(ctx context.Context, e *entry) {
	next := structs.JobQueued
	e.job.Failures++
	for i, s := range e.states {
		if s == structs.TaskFailed {
			d.health.failed(e.job.Members[i].Worker, e.job.Spec.Key)
			e.avoid = append(e.avoid, e.job.Members[i].Worker)
		}
	}
	if e.job.Failures >= d.settings.MaxFailures {
		next = structs.JobFailed
	}
	d.stop(ctx, e, next, "a member's task failed", false)
}

func (d *Domain) stop(ctx context.Context, e *entry, next structs.JobState, reason string, checkpoint bool) {
	e.stopping = time.Now()
	d.operate(ctx, e, func(ctx context.Context, o *operation) error {
		return o.stop(ctx, next, reason, checkpoint)
	})
}

func (d *Domain) end(ctx context.Context, e *entry, state structs.JobState, reason string) {
	d.operate(ctx, e, func(ctx context.Context, o *operation) error {
		return o.end(ctx, state, reason)
	})
}
