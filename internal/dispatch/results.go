package dispatch

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/breaker"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// Done completes an attempt. After any result but Succeeded the item is kept
// until Retry or Cancel is called for it, unless it was cancelled while in flight.
// A result for an unknown assignment is ignored.
func (d *Dispatcher) Done(now time.Time, a Assignment, r Result) {
	d.advance(now)
	i, ok := d.pool.find(a.Item)
	if !ok {
		return
	}
	it := &d.pool.items[i]
	if it.state != stateInFlight || it.attempt != a.Attempt {
		return
	}
	v := it.server
	d.release(i)
	d.correctCharge(it, r)
	d.observeRun(it, r)
	d.recordHealth(v, r)
	if r.Load != nil {
		d.applyLoad(v, *r.Load)
	} else if r.Kind == RefusedFull {
		d.applyLoad(v, port.BackendLoad{Slots: v.slots, Busy: v.slots})
	}
	d.refresh(v)
	if r.Kind == Succeeded || it.cancelled {
		d.pool.remove(i)
		return
	}
	it.state = stateAwaitingRetry
}

// release removes the item from its server and from the counts of items in
// flight.
func (d *Dispatcher) release(i int32) {
	it := &d.pool.items[i]
	v := it.server
	v.inFlight--
	it.service.workspace.inFlight--
	d.levels[it.level].inFlight--
	if it.long {
		v.longInFlight--
		d.longInFlight--
	} else {
		d.shortInFlight.remove(&d.pool, i)
	}
	it.server = nil
}

// correctCharge adjusts the workspace's charge from the expected slot time to the
// attempt's elapsed time.
func (d *Dispatcher) correctCharge(it *item, r Result) {
	if !it.charged {
		return
	}
	it.service.workspace.charge(it.level, r.Elapsed-it.cost)
}

// observeRun records the run times of completed runs, and of failed runs that
// exceeded the high estimate: without them the upper quantiles would be too
// low.
func (d *Dispatcher) observeRun(it *item, r Result) {
	run := it.service.run
	switch {
	case r.Kind == Succeeded:
		run.Observe(r.Elapsed)
	case r.Kind == Failed && r.Elapsed > run.Estimate().High:
		run.Observe(r.Elapsed)
	}
}

// recordHealth updates the retry budget and the server's circuit, and marks a
// server that refused because it is leaving.
func (d *Dispatcher) recordHealth(v *server, r Result) {
	switch r.Kind {
	case Succeeded:
		d.retryBudget.RecordSuccess()
		if v.circuit.RecordSuccess(d.now) {
			v.slowStart = breaker.NewSlowStart(d.now, d.settings.SlowStart)
		}
	case RefusedFull:
		d.counters.RefusedFull++
	case RefusedLeaving:
		d.counters.RefusedLeaving++
		v.leaving = true
	case Withdrawn:
	default:
		if !r.Abandoned {
			v.circuit.RecordFailure(d.now, d.settings.Circuit, d.settings.Rand.Float64())
		}
	}
}

// applyLoad applies the load that a server reported.
func (d *Dispatcher) applyLoad(v *server, l port.BackendLoad) {
	v.leaving = v.leaving || l.Leaving
	v.others = min(max(l.Busy-v.inFlight, 0), v.slots)
	v.reportedAt = d.now
}

// Retry queues an item again after an attempt that didn't succeed, or removes
// the item if a retry isn't permitted. It reports whether the item was queued.
// An item that may have started is queued only if it is repeatable.
func (d *Dispatcher) Retry(now time.Time, a Assignment, r Result) bool {
	d.advance(now)
	i, ok := d.pool.find(a.Item)
	if !ok {
		return false
	}
	it := &d.pool.items[i]
	if it.state != stateAwaitingRetry || it.attempt != a.Attempt {
		return false
	}
	if !d.mayRetry(it, r) {
		d.pool.remove(i)
		return false
	}
	d.counters.Retried++
	d.queue(i, true)
	return true
}

// mayRetry reports whether an item may be queued again. It takes a token of the
// retry budget, but a refused item may be queued without one. A withdrawn item was
// never sent, so that it takes none.
func (d *Dispatcher) mayRetry(it *item, r Result) bool {
	if r.Kind == Failed && !it.repeatable {
		return false
	}
	if r.Kind == Failed && r.Abandoned && !d.demoteForRetry(it, r.Elapsed) {
		return false
	}
	if d.now+it.service.run.Estimate().Low >= it.deadline {
		return false
	}
	if r.Kind == Withdrawn {
		return true
	}
	hasToken := d.retryBudget.Take()
	refused := r.Kind == RefusedFull || r.Kind == RefusedLeaving
	return hasToken || refused
}

// demoteForRetry moves an item that exceeded its time limit to the next lower
// class if a retry can still meet the deadline, and reports whether it can. Run
// times are heavy-tailed: a run that exceeded its limit is expected to take
// several times as long.
func (d *Dispatcher) demoteForRetry(it *item, ran time.Duration) bool {
	if it.timeLimit == 0 || d.now+stragglerRetryFactor*ran >= it.deadline {
		return false
	}
	it.level = max(it.level, 1)
	return true
}
