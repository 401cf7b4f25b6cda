package dispatch

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// scanInterval is the time between scans of the queues for expired items.
const scanInterval = 20 * time.Millisecond

// admission is what the decision to accept an item is based on.
type admission struct {
	service  *service
	level    uint8
	deadline time.Duration
	// ahead is the number of queued items of the workspace that are expected to start
	// first, and wait the forecast of the time that this takes. forecast is set once both
	// are known.
	ahead    int
	wait     time.Duration
	forecast bool
}

// examine decides whether an item is accepted now. It fails with the errors of Enqueue,
// and then returns what was known until then.
func (d *Dispatcher) examine(it Item) (admission, error) {
	q, ok := d.services[structs.ServiceKey{Workspace: it.Workspace, Name: it.Service}]
	if !ok || q.removed {
		return admission{}, errUnknownService
	}
	if _, exists := d.pool.find(it.ID); exists {
		return admission{}, errDuplicate
	}
	class := it.Class
	if class == "" {
		class = q.class
	}
	a := admission{service: q, level: q.levelFor(class), deadline: it.Deadline.Sub(d.origin)}
	w := q.workspace
	if w.queuedItems() >= w.queueLimit {
		return a, errQueueFull
	}
	a.ahead = d.itemsAhead(q, a.level, a.deadline)
	a.wait = d.forecastWait(q, a.level, a.ahead)
	a.forecast = true
	if !d.admits(q, a.level, a.deadline, a.wait) {
		return a, errDeadline
	}
	return a, nil
}

// admits reports whether an item that is queued now with the forecast wait is
// expected to meet its deadline: with a low run time if it needn't wait or run
// times aren't learned, otherwise with a high one and a wait beyond the forecast.
func (d *Dispatcher) admits(q *service, level uint8, deadline, wait time.Duration) bool {
	e := q.run.Estimate()
	if wait == 0 || !e.Learned {
		return d.now+wait+e.Low < deadline
	}
	wait += q.workspace.excess[level].bound()
	return d.now+wait+e.High < deadline
}

// itemsAhead estimates how many queued items of the workspace are ahead of an item
// that is queued now.
func (d *Dispatcher) itemsAhead(q *service, level uint8, deadline time.Duration) int {
	if q.workspace.queued[level] == 0 {
		return 0
	}
	ahead := q.fifo[level].len
	for _, other := range q.workspace.services {
		if other != q {
			ahead += d.countBefore(other, level, deadline)
		}
	}
	return ahead
}

// forecastWait returns the expected wait of an item that is queued now: the
// time to start the items ahead of it in its workspace. It follows from the
// queue's drain rate or, until that is measured, from levelSlots and the expected
// run times.
func (d *Dispatcher) forecastWait(q *service, level uint8, ahead int) time.Duration {
	w := q.workspace
	if w.queued[level] == 0 {
		return 0
	}
	if wait, ok := w.drain[level].timeToDrain(d.now, ahead); ok {
		return wait
	}
	work := w.work[level] * time.Duration(ahead) / time.Duration(w.queued[level])
	total, weights := time.Duration(0), 0
	for _, a := range d.levels[level].active {
		total += a.work[level]
		weights += a.weight
	}
	slots := max(d.levelSlots(level), 1)
	weightedWork := work * time.Duration(weights) / time.Duration(max(w.weight, 1))
	return min(weightedWork, total) / time.Duration(slots)
}

// forecastComplete reports whether items that arrive later are expected to be
// queued behind one with this deadline, so that its forecast covers every item
// ahead of it.
func (d *Dispatcher) forecastComplete(q *service, level uint8, deadline time.Duration) bool {
	for _, other := range q.workspace.services {
		l := &other.fifo[level]
		if other != q && l.len > 0 && d.pool.items[l.tail].deadline < deadline {
			return false
		}
	}
	return true
}

// countBefore estimates how many of a service's queued items have an earlier
// deadline, assuming that deadlines are evenly distributed between those of the
// first and the last item.
func (d *Dispatcher) countBefore(q *service, level uint8, deadline time.Duration) int {
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

// levelSlots returns the number of slots that serve a level's queue: those that
// the level occupies or, if more, those of this instance's share that it may
// occupy.
func (d *Dispatcher) levelSlots(level uint8) int {
	if isLong(level) {
		return max(d.longInFlight, d.longLimit)
	}
	return max(d.levels[0].inFlight, d.totalOwnSlots-d.longInFlight)
}

// Expire removes the queued items that can no longer meet their deadline and
// returns their IDs. It returns nil if the last scan was less than scanInterval
// ago. The result is valid until the next call.
func (d *Dispatcher) Expire(now time.Time) []uint64 {
	d.advance(now)
	d.expired = d.expired[:0]
	if d.queued == 0 || d.now < d.scanAt {
		return nil
	}
	d.scanAt = d.now + scanInterval
	for _, w := range d.workspaces {
		for level := range uint8(levelCount) {
			if w.queued[level] > 0 {
				d.expireQueue(w, level)
			}
		}
	}
	return d.expired
}

func (d *Dispatcher) expireQueue(w *workspace, level uint8) {
	for _, q := range w.services {
		next := noItem
		for i := q.fifo[level].head; i != noItem; i = next {
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

// Wake returns when Expire and Next should next be called if no event occurs
// before, and false if nothing is queued.
func (d *Dispatcher) Wake(now time.Time) (time.Time, bool) {
	d.advance(now)
	if d.queued == 0 {
		return time.Time{}, false
	}
	at := d.scanAt
	if v, ok := d.timers.first(); ok {
		at = min(at, v.wakeAt)
	}
	return d.origin.Add(max(at, d.now)), true
}
