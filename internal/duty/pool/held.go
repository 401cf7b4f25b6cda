package pool

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// heldStart is a start order that waits until its placement and its worker are stored,
// because the next owner relies on them to find running tasks.
type heldStart struct {
	order     planner.Order
	plan      int64 // planSequence of the plan that ordered the start
	heldSince time.Duration
	stored    bool // the placement is stored
}

// handleOrders sends stops at once and holds starts until they may be sent. A stop
// drops the held start of its run.
func (o *Owner) handleOrders(ctx context.Context, orders []planner.Order) {
	if len(orders) == 0 {
		return
	}
	o.planSequence++
	now := o.now()
	for _, order := range orders {
		if order.Kind == planner.OrderStart {
			o.held = append(o.held, heldStart{order: order, plan: o.planSequence, heldSince: now})
			continue
		}
		o.held = slices.DeleteFunc(o.held, func(h heldStart) bool {
			return h.order.Task == order.Task && h.order.Run == order.Run
		})
		o.dispatch(ctx, order)
	}
}

// releaseStored sends the starts whose placements the stored records contain.
// plan is the last plan included in the records.
func (o *Owner) releaseStored(ctx context.Context, records []work.Record, plan int64) {
	stored := make(map[string]bool, len(records))
	for i := range records {
		stored[records[i].Job.ID] = true
	}
	for i := range o.held {
		h := &o.held[i]
		h.stored = h.stored || h.plan <= plan && stored[h.order.Task.Job]
	}
	o.releaseReady(ctx)
}

// releaseReady sends the starts with stored placements, some of which had to wait for a
// confirmed heartbeat or the stored list of workers.
func (o *Owner) releaseReady(ctx context.Context) {
	o.releaseIf(ctx, func(h *heldStart) bool { return h.stored })
}

// awaitRecords waits until the replica holds what was stored before a transaction with
// placements, as the previous owner may have stored results in other partitions of the
// jobs. The starts are then released.
func (o *Owner) awaitRecords(ctx context.Context, r commitResult) {
	o.wg.Go(func() {
		if o.deps.Replica.Await(ctx, r.version) == nil {
			o.send(ctx, event{kind: evRecordsRead, commit: r})
		}
	})
}

// recordsRead merges the records that the previous owner stored, and releases the starts
// that this leaves.
func (o *Owner) recordsRead(ctx context.Context, r commitResult) {
	for i := range r.records {
		if v, ok := o.deps.Replica.Job(r.records[i].Job.ID); ok && v.Record.Job.Pool == o.pool {
			o.mergeRows(&v)
		}
	}
	o.releaseStored(ctx, r.records, r.plan)
}

// releaseOverdue sends starts that have waited for placementCommitWait. It waits
// until the previous owner's records are merged: until then that owner may still
// store and acknowledge results, and only a stored placement rules out that the
// task has completed. It first announces early starts, so that the next owner does
// not take the stored placements for complete. In an outage that affects all
// instances, it does not wait for the announcement. Starts on workers with long leases go
// on waiting: the next owner counts these leases only where it finds a placement.
func (o *Owner) releaseOverdue(ctx context.Context, now time.Duration) {
	overdue := func(h heldStart) bool { return !h.stored && now-h.heldSince >= placementCommitWait }
	if !o.previous.merged || !slices.ContainsFunc(o.held, overdue) {
		return
	}
	if !o.announcement.stored {
		o.announceEarlyStarts(ctx, now)
		if !o.isGlobalOutage(now) {
			return
		}
	}
	o.releaseIf(ctx, func(h *heldStart) bool {
		if !overdue(*h) || o.planner.HasLongLease(h.order.Worker, now) {
			return false
		}
		o.earlyStarts.sent(h.order.Task.Job, h.plan)
		o.recorded.Store(false)
		o.log.Info("start before its placement is stored", zap.String("job", h.order.Task.Job), zap.Int64("run", h.order.Run))
		return true
	})
}

// releaseIf sends the held starts for which ready reports true and whose workers are in
// the stored list and described, unless mayStart forbids it. Those in an evacuated failure domain
// are withdrawn. A unit that lost a run needs a heartbeat
// that was confirmed since: another owner that reached the worker may have stored and
// acknowledged the run's result. Starts whose runs have been given up are dropped: the
// order that says so may wait for the next planning pass.
func (o *Owner) releaseIf(ctx context.Context, ready func(*heldStart) bool) {
	o.withdrawEvacuated(o.now())
	mayStart := o.mayStart()
	confirmedAt := o.confirmedAt()
	kept := o.held[:0]
	for i := range o.held {
		order := &o.held[i].order
		if !o.planner.IsStarting(order.Worker, order.Task, order.Run) {
			o.log.Info("start dropped, its run was lost", zap.String("job", order.Task.Job), zap.Int64("run", order.Run), zap.String("worker", order.Worker))
			continue
		}
		confirmed := !order.AfterLoss || confirmedAt >= o.held[i].heldSince
		if mayStart && confirmed && o.planner.Described(order.Worker) && o.writer.workers.contains(order.Worker) && ready(&o.held[i]) {
			o.dispatch(ctx, o.held[i].order)
			continue
		}
		kept = append(kept, o.held[i])
	}
	o.held = kept
}

// dropHeldStarts drops the held starts of a job whose record another owner wrote.
func (o *Owner) dropHeldStarts(job string) {
	kept := o.held[:0]
	for _, h := range o.held {
		if h.order.Task.Job != job {
			kept = append(kept, h)
			continue
		}
		o.log.Info("start dropped, another owner holds the job", zap.String("job", job), zap.Int64("run", h.order.Run))
		o.planner.StartAnswered(o.now(), h.order.Worker, h.order.Task, h.order.Run, port.RejectedFencingToken)
	}
	o.held = kept
}
