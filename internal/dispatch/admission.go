package dispatch

import "time"

const (
	// scanInterval is the time between looks for items that came too late.
	scanInterval = 20 * time.Millisecond
	// earlyShare is the part of an item's time, as a divisor, within which it
	// may be refused on a forecast.
	earlyShare = 10
)

// admits reports whether an item that arrives now can meet its deadline.
func (d *Dispatcher) admits(q *service, level uint8, deadline time.Duration) bool {
	e := q.run.Estimate()
	wait := d.forecast(q.workspace, level, q.workspace.work[level])
	run := e.Low
	if wait > 0 && e.Learned {
		run = e.High
	}
	return d.now+wait+run < deadline
}

// forecast returns the expected time until work queued ahead in a workspace
// has been started.
func (d *Dispatcher) forecast(w *workspace, level uint8, ahead time.Duration) time.Duration {
	if ahead == 0 {
		return 0
	}
	total, weights := time.Duration(0), 0
	for _, a := range d.level[level].active {
		total += a.work[level]
		weights += a.weight
	}
	held := max(d.heldBy(level), 1)
	own := ahead * time.Duration(weights) / time.Duration(w.weight)
	return min(own, total) / time.Duration(held)
}

// heldBy is the number of slots whose work a level's queue follows on.
func (d *Dispatcher) heldBy(level uint8) int {
	if kindOf(level) == short {
		return d.level[0].inFlight
	}
	return d.longInFlight
}

// Expire removes the queued items that are to be refused now: their deadline
// can't be met any more. The result is valid until the next call.
func (d *Dispatcher) Expire(now time.Time) []uint64 {
	d.advance(now)
	d.expired = d.expired[:0]
	if d.queued == 0 || d.now < d.scanAt {
		return nil
	}
	d.scanAt = d.now + scanInterval
	for _, w := range d.workspaces {
		for level := range uint8(levels) {
			if w.queued[level] > 0 {
				d.expireIn(w, level)
			}
		}
	}
	return d.expired
}

func (d *Dispatcher) expireIn(w *workspace, level uint8) {
	for _, q := range w.services {
		ahead := time.Duration(0)
		next := none
		for i := q.fifo[level].head; i != none; i = next {
			it := &d.pool.items[i]
			next = it.next
			if !d.tooLate(it, ahead) {
				ahead += it.cost
				continue
			}
			d.expired = append(d.expired, it.id)
			d.counters.Expired++
			d.unqueue(i)
			d.pool.remove(i)
		}
	}
}

// tooLate reports whether an item's deadline can't be met: for certain, or by
// the forecast while its caller still has time to go elsewhere.
func (d *Dispatcher) tooLate(it *item, ahead time.Duration) bool {
	low := it.service.run.Estimate().Low
	if d.now+low >= it.deadline {
		return true
	}
	early := d.now-it.queuedAt <= (it.deadline-it.queuedAt)/earlyShare
	if !early {
		return false
	}
	wait := d.forecast(it.service.workspace, it.level, ahead)
	return d.now+wait+low >= it.deadline
}

// Wake returns when Expire and Next should be called next without an event,
// and false when there is nothing to wait for.
func (d *Dispatcher) Wake(now time.Time) (time.Time, bool) {
	d.advance(now)
	if d.queued == 0 {
		return time.Time{}, false
	}
	at := d.scanAt
	if v, ok := d.timers.first(); ok {
		at = min(at, v.wakeAt)
	}
	return d.epoch.Add(max(at, d.now)), true
}
