package pool

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// heldStart is a start that waits until its placement is stored: the next owner
// has to know where a task may run.
type heldStart struct {
	order planner.Order
	plan  int64
	since time.Duration
}

// bypass is the state of telling the next owner that starts may go before their
// placements are stored.
type bypass struct {
	paced
	announced bool
}

// takeOrders sends the stops at once and holds the starts.
func (o *Owner) takeOrders(ctx context.Context, orders []planner.Order) {
	if len(orders) == 0 {
		return
	}
	o.plans++
	now := o.now()
	for _, order := range orders {
		if order.Kind == planner.OrderStart {
			o.held = append(o.held, heldStart{order, o.plans, now})
			continue
		}
		o.held = slices.DeleteFunc(o.held, func(h heldStart) bool {
			return h.order.Task == order.Task && h.order.Run == order.Run
		})
		o.dispatch(ctx, order)
	}
}

// release sends the starts whose placements the stored records hold. plan is
// the last one that the records follow from.
func (o *Owner) release(ctx context.Context, records []work.Record, plan int64) {
	stored := make(map[string]bool, len(records))
	for i := range records {
		stored[records[i].Job.ID] = true
	}
	o.releaseIf(ctx, func(h *heldStart) bool { return h.plan <= plan && stored[h.order.Task.Job] })
}

// releaseOverdue sends the starts that waited long enough. While a former owner
// may still store and acknowledge ends, only a stored placement tells that it
// hasn't. The next owner must not take this one's placements for complete then.
func (o *Owner) releaseOverdue(ctx context.Context, now time.Duration) {
	overdue := func(h heldStart) bool { return now-h.since >= recordWait }
	if !o.former.over || !slices.ContainsFunc(o.held, overdue) {
		return
	}
	if !o.bypass.announced {
		o.announceBypass(ctx, now)
		if o.deps.Health.Outage() < outageSeenByAll {
			return
		}
	}
	o.releaseIf(ctx, func(h *heldStart) bool {
		if !overdue(*h) {
			return false
		}
		o.log.Info("start before its placement is stored", zap.String("job", h.order.Task.Job), zap.Int64("run", h.order.Run))
		return true
	})
}

// announceBypass stores that this epoch's placements may be incomplete.
func (o *Owner) announceBypass(ctx context.Context, now time.Duration) {
	if !o.bypass.may(now) {
		return
	}
	value, err := work.Encode(o.epoch)
	if err != nil {
		o.log.Error("epoch can't be encoded", zap.Error(err))
		return
	}
	o.bypass.busy = true
	o.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		_, err := o.deps.Store.Commit(call, o.underEpoch(map[port.RowKey][]byte{
			replica.PoolKey(o.pool, replica.BypassedKey): value,
		}))
		o.send(ctx, event{kind: evAnnounced, err: err})
	})
}

func (o *Owner) announced(err error) {
	o.bypass.busy = false
	if err != nil {
		o.bypass.resumes = o.now() + storePause
		o.log.Info("starts wait for their records, a bypass could not be announced", zap.Error(err))
		return
	}
	o.bypass.announced = true
	o.log.Info("starts may go before their placements are stored")
}

func (o *Owner) releaseIf(ctx context.Context, ready func(*heldStart) bool) {
	if !o.mayStart(o.now()) {
		return
	}
	kept := o.held[:0]
	for i := range o.held {
		if ready(&o.held[i]) {
			o.dispatch(ctx, o.held[i].order)
			continue
		}
		kept = append(kept, o.held[i])
	}
	o.held = kept
}

// dropHeld gives up the starts of a job that another owner wrote.
func (o *Owner) dropHeld(job string) {
	kept := o.held[:0]
	for _, h := range o.held {
		if h.order.Task.Job != job {
			kept = append(kept, h)
			continue
		}
		o.log.Info("start dropped, another owner holds the job", zap.String("job", job), zap.Int64("run", h.order.Run))
		o.planner.Started(o.now(), h.order.Worker, h.order.Task, h.order.Run, port.RejectedFence)
	}
	o.held = kept
}
