package dispatch

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/breaker"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// Done ends an attempt. After any result but Succeeded the item is kept until
// Retry or Cancel is called for it. A result for an unknown assignment is
// ignored.
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
	d.settle(it, r)
	d.learnFrom(it, r)
	d.judge(v, r)
	if r.Load != nil {
		d.report(v, *r.Load)
	} else if r.Kind == RefusedFull {
		d.report(v, port.BackendLoad{Slots: v.slots, Busy: v.slots})
	}
	d.refresh(v)
	if r.Kind == Succeeded || it.cancelled {
		d.pool.remove(i)
		return
	}
	it.state = stateEnded
}

// release gives back what the item held.
func (d *Dispatcher) release(i int32) {
	it := &d.pool.items[i]
	v := it.server
	v.inFlight--
	it.service.workspace.inFlight--
	d.level[it.level].inFlight--
	if it.long {
		v.long--
		d.longInFlight--
	} else {
		d.shorts.remove(&d.pool, i)
	}
	it.server = nil
}

// settle charges the workspace for the slot time that the item really took.
func (d *Dispatcher) settle(it *item, r Result) {
	if !it.charged {
		return
	}
	it.service.workspace.charge(it.level, r.Elapsed-it.cost)
}

// learnFrom notes whole runs, and those cut short after more than the usual
// time, which would else be missing from the upper quantiles.
func (d *Dispatcher) learnFrom(it *item, r Result) {
	run := it.service.run
	switch {
	case r.Kind == Succeeded:
		run.Observe(r.Elapsed)
	case r.Kind == Failed && r.Elapsed > run.Estimate().High:
		run.Observe(r.Elapsed)
	}
}

// judge updates the retry budget and the server's circuit.
func (d *Dispatcher) judge(v *server, r Result) {
	switch r.Kind {
	case Succeeded:
		d.budget.Succeed()
		if v.circuit.Succeed(d.now) {
			v.ramp = breaker.StartSlow(d.now, d.settings.SlowStart)
		}
	case RefusedFull:
		d.counters.RefusedFull++
	case RefusedLeaving:
		d.counters.RefusedLeave++
		v.leaving = true
	default:
		if !r.Abandoned {
			v.circuit.Fail(d.now, d.settings.Circuit, d.settings.Rand.Float64())
		}
	}
}

// report takes in what a server said about itself.
func (d *Dispatcher) report(v *server, l port.BackendLoad) {
	v.leaving = v.leaving || l.Leaving
	v.others = min(max(l.Busy-v.inFlight, 0), v.slots)
	v.reportedAt = d.now
}

// Retry reports whether an item whose attempt ended without success is queued
// again; if not, it has ended. An item that may have started is queued again
// only when it is repeatable.
func (d *Dispatcher) Retry(now time.Time, a Assignment, r Result) bool {
	d.advance(now)
	i, ok := d.pool.find(a.Item)
	if !ok {
		return false
	}
	it := &d.pool.items[i]
	if it.state != stateEnded || it.attempt != a.Attempt {
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

func (d *Dispatcher) mayRetry(it *item, r Result) bool {
	if r.Kind == Failed && !it.repeatable {
		return false
	}
	if r.Kind == Failed && r.Abandoned && !d.drop(it, r.Elapsed) {
		return false
	}
	if d.now+it.service.run.Estimate().Low >= it.deadline {
		return false
	}
	paid := d.budget.Take()
	refused := r.Kind == RefusedFull || r.Kind == RefusedLeaving
	return paid || refused
}

// drop moves an item that outlived its limit to the next lower class, and
// reports whether it may still be done. Run times have heavy tails: a run that
// outlived its limit is expected to take several times as long.
func (d *Dispatcher) drop(it *item, ran time.Duration) bool {
	if it.limit == 0 || d.now+stragglerRest*ran >= it.deadline {
		return false
	}
	it.level = max(it.level, 1)
	return true
}
