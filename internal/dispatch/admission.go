package dispatch

import "time"

// scanInterval is the time between looks for items that came too late.
const scanInterval = 20 * time.Millisecond

// admits reports whether an item that arrives now and would wait as forecast
// can meet its deadline.
func (d *Dispatcher) admits(q *service, level uint8, deadline, wait time.Duration) bool {
	e := q.run.Estimate()
	if wait == 0 || !e.Learned {
		return d.now+wait+e.Low < deadline
	}
	wait += q.workspace.surplus[level].bound()
	return d.now+wait+e.High < deadline
}

// forecast returns the expected wait of an item that arrives now: the time in
// which what goes before it in its workspace is started, by the rate at which
// the queue drains, or by the slots held while that isn't known.
func (d *Dispatcher) forecast(q *service, level uint8, deadline time.Duration) time.Duration {
	w := q.workspace
	if w.queued[level] == 0 {
		return 0
	}
	ahead := q.fifo[level].len
	for _, other := range w.services {
		if other != q {
			ahead += d.before(other, level, deadline)
		}
	}
	if wait, ok := w.drain[level].timeFor(d.now, ahead); ok {
		return wait
	}
	work := w.work[level] * time.Duration(ahead) / time.Duration(w.queued[level])
	total, weights := time.Duration(0), 0
	for _, a := range d.level[level].active {
		total += a.work[level]
		weights += a.weight
	}
	held := max(d.heldBy(level), 1)
	own := work * time.Duration(weights) / time.Duration(max(w.weight, 1))
	return min(own, total) / time.Duration(held)
}

// whole reports whether items that arrive later are expected to go after one
// with this deadline, so that its forecast covers all that goes before it.
func (d *Dispatcher) whole(q *service, level uint8, deadline time.Duration) bool {
	for _, other := range q.workspace.services {
		l := &other.fifo[level]
		if other != q && l.len > 0 && d.pool.items[l.tail].deadline < deadline {
			return false
		}
	}
	return true
}

// before estimates how many of a service's queued items have an earlier
// deadline, as if the deadlines were spread evenly between the first's and the
// last's.
func (d *Dispatcher) before(q *service, level uint8, deadline time.Duration) int {
	l := &q.fifo[level]
	if l.len == 0 {
		return 0
	}
	first := d.pool.items[l.head].deadline
	last := d.pool.items[l.tail].deadline
	if deadline <= first {
		return 0
	}
	if deadline >= last {
		return l.len
	}
	return int(time.Duration(l.len) * (deadline - first) / (last - first))
}

// heldBy is the number of slots whose work a level's queue follows on: those
// it holds, or those of this instance's part that it could.
func (d *Dispatcher) heldBy(level uint8) int {
	if isLong(level) {
		return max(d.longInFlight, d.longLimit)
	}
	return max(d.level[0].inFlight, d.partSlots-d.longInFlight)
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
		next := none
		for i := q.fifo[level].head; i != none; i = next {
			it := &d.pool.items[i]
			next = it.next
			if d.now+q.run.Estimate().Low < it.deadline {
				continue
			}
			d.expired = append(d.expired, it.id)
			d.counters.Expired++
			d.unqueue(i)
			d.pool.remove(i)
		}
	}
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
