package dispatch

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/breaker"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// The errors of Enqueue.
var (
	errUnknownService = fault.New(fault.NotFound, "unknown service")
	errDuplicate      = fault.New(fault.Exists, "item is known already")
	errQueueFull      = fault.New(fault.Overloaded, "the workspace's queue is full")
	errDeadline       = fault.New(fault.Timeout, "the deadline can't be met")
)

// Dispatcher holds the request queues and the state of the backend servers. It
// is not safe for concurrent use.
type Dispatcher struct {
	settings Settings
	// origin is the time of the first call; now is the latest time, relative to
	// origin.
	origin     time.Time
	now        time.Duration
	pool       pool
	workspaces []*workspace
	services   map[structs.ServiceKey]*service
	levels     [levelCount]levelState
	queued     int
	// shortInFlight lists the short items in flight, oldest first.
	shortInFlight list
	servers       []*server
	serversByID   map[string]*server
	// available lists, for each kind of slot, the servers with a free one.
	available [slotKindCount][]*server
	timers    timers
	// allServersOfferAll is set while every server offers every service, so
	// that no server needs to be checked for a service.
	allServersOfferAll bool
	// serversSet is set once SetServers has been called.
	serversSet bool
	// instances lists the instances that share the slots, including this one,
	// in order of their IDs.
	instances []instance
	self      string
	// totalOwnSlots is the number of slots in this instance's share of the
	// servers that are listed and neither leaving nor evacuated.
	totalOwnSlots int
	// longLimit is the value of longInFlight, the number of long items in
	// flight, from which no long item is dispatched. Stragglers may exceed it.
	longLimit    int
	longInFlight int
	retryBudget  breaker.RetryBudget
	// expired is the buffer of Expire's result.
	expired []uint64
	// tryItems is the buffer of Try's copy of the items.
	tryItems []item
	// scanAt is the time of the next scan for expired items.
	scanAt   time.Duration
	counters Stats
}

// New returns a dispatcher without servers or services.
func New(s Settings) *Dispatcher {
	s = s.withDefaults()
	return &Dispatcher{
		settings:           s,
		pool:               newPool(s.QueueLimit),
		services:           make(map[structs.ServiceKey]*service),
		shortInFlight:      newList(),
		serversByID:        make(map[string]*server),
		allServersOfferAll: true,
		instances:          []instance{{}},
		retryBudget:        breaker.NewRetryBudget(float64(s.RetryPercent)/100, float64(s.RetryBurst)),
	}
}

// advance sets the current time, which never decreases.
func (d *Dispatcher) advance(now time.Time) {
	if d.origin.IsZero() {
		d.origin = now
	}
	d.now = max(d.now, now.Sub(d.origin))
}

// Enqueue queues an item. It fails with fault.NotFound for an unknown service,
// fault.Exists for an item that already exists, fault.Overloaded when the
// workspace's queue is full and fault.Timeout when the deadline can't be met. A
// rejected item was not run and is not kept.
func (d *Dispatcher) Enqueue(now time.Time, it Item) error {
	d.advance(now)
	a, err := d.examine(it)
	if err != nil {
		d.counters.Refused++
		return err
	}
	d.add(it, a)
	return nil
}

// add queues an accepted item and returns its index.
func (d *Dispatcher) add(it Item, a admission) int32 {
	expected := a.wait
	if !d.forecastComplete(a.service, a.level, a.deadline) {
		expected = 0
	}
	i := d.pool.add(item{
		id:           it.ID,
		service:      a.service,
		deadline:     a.deadline,
		arrivedAt:    d.now,
		expectedWait: expected,
		attempt:      it.Attempt,
		level:        a.level,
		repeatable:   it.Repeatable,
	})
	d.queue(i, false)
	return i
}

// queue adds an item to its service's queue, at the front after a retry.
func (d *Dispatcher) queue(i int32, front bool) {
	it := &d.pool.items[i]
	it.state = stateQueued
	fifo := &it.service.fifo[it.level]
	if front {
		fifo.pushFront(&d.pool, i)
	} else {
		fifo.pushBack(&d.pool, i)
	}
	it.cost = it.service.cost()
	w := it.service.workspace
	l := &d.levels[it.level]
	if w.queued[it.level] == 0 {
		l.activate(w)
		w.drain[it.level].reset(d.now)
	}
	w.queued[it.level]++
	w.work[it.level] += it.cost
	l.queued++
	if d.queued == 0 {
		d.scanAt = d.now + scanInterval
	}
	d.queued++
}

// unqueue removes an item from its service's queue.
func (d *Dispatcher) unqueue(i int32) {
	it := &d.pool.items[i]
	it.service.fifo[it.level].remove(&d.pool, i)
	w := it.service.workspace
	l := &d.levels[it.level]
	w.queued[it.level]--
	w.work[it.level] -= it.cost
	l.queued--
	d.queued--
	if w.queued[it.level] == 0 {
		w.deficit[it.level] = min(w.deficit[it.level], 0)
		l.deactivate(w)
	}
}

// Next assigns a queued item to a server. Call it until it returns false, after
// each event and at the time that Wake returns.
func (d *Dispatcher) Next(now time.Time) (Assignment, bool) {
	d.advance(now)
	d.runTimers()
	d.demoteStragglers()
	if d.queued == 0 {
		return Assignment{}, false
	}
	for level := range uint8(levelCount) {
		if q, ok := d.pick(level, d.pickNominal); ok {
			return d.assign(q, level, false), true
		}
	}
	for level := range uint8(levelCount) {
		if q, ok := d.pick(level, d.pickFair); ok {
			return d.assign(q, level, true), true
		}
	}
	return Assignment{}, false
}

// pick applies a policy, pickNominal or pickFair. It also returns false if nothing
// is queued at the level, or if the level is long and longLimit is reached.
func (d *Dispatcher) pick(level uint8, policy func(uint8) (*service, bool)) (*service, bool) {
	if d.levels[level].queued == 0 {
		return nil, false
	}
	if isLong(level) && d.longInFlight >= d.longLimit {
		return nil, false
	}
	return policy(level)
}

func (d *Dispatcher) assign(q *service, level uint8, charged bool) Assignment {
	i := q.fifo[level].head
	v, _ := d.chooseServer(level, q.key.Name)
	d.unqueue(i)
	q.workspace.drain[level].add(d.now)
	it := &d.pool.items[i]
	if it.expectedWait > 0 {
		q.workspace.excess[level].observe(d.now - it.arrivedAt - it.expectedWait)
	}
	it.state = stateInFlight
	it.server = v
	it.startedAt = d.now
	it.attempt++
	it.timeLimit = d.stragglerLimit(it)
	it.charged = charged
	it.long = isLong(level)
	if charged {
		q.workspace.charge(level, it.cost)
	}
	q.workspace.inFlight++
	d.levels[level].inFlight++
	v.inFlight++
	if it.long {
		v.longInFlight++
		d.longInFlight++
	} else {
		d.shortInFlight.pushBack(&d.pool, i)
	}
	d.refresh(v)
	d.counters.Dispatched++
	return Assignment{Item: it.id, Server: v.id, Attempt: it.attempt, Limit: it.timeLimit}
}

// stragglerLimit returns the time limit of a repeatable short item's attempt
// while other short items are queued, so that a straggler frees its slot and is
// retried in a lower class. It returns 0, no limit, in all other cases and until
// the service's run times are learned.
func (d *Dispatcher) stragglerLimit(it *item) time.Duration {
	e := it.service.run.Estimate()
	if !it.repeatable || it.level != 0 || !e.Learned || d.levels[0].queued == 0 {
		return 0
	}
	return time.Duration(stragglerFactor * float64(e.High))
}

// demoteStragglers lowers the class of short items in flight that run longer
// than ShortRunLimit. Their slots then count as long work, which restores the
// reserve for short work.
func (d *Dispatcher) demoteStragglers() {
	for d.shortInFlight.len > 0 {
		i := d.shortInFlight.head
		it := &d.pool.items[i]
		if d.now-it.startedAt <= d.settings.ShortRunLimit {
			return
		}
		d.shortInFlight.remove(&d.pool, i)
		d.levels[it.level].inFlight--
		it.level++
		d.levels[it.level].inFlight++
		it.long = true
		it.server.longInFlight++
		d.longInFlight++
		d.counters.Stragglers++
		d.refresh(it.server)
	}
}

// Demand returns the number of requests queued or in flight, which the caller
// passes to SetDemand for this instance.
func (d *Dispatcher) Demand() int {
	n := d.queued
	for l := range d.levels {
		n += d.levels[l].inFlight
	}
	return n
}

// Cancel removes a queued item and reports whether it did. An item in flight
// continues, but isn't queued again. An item that awaits Retry is also removed,
// but Cancel then returns false.
func (d *Dispatcher) Cancel(id uint64) bool {
	i, ok := d.pool.find(id)
	if !ok {
		return false
	}
	it := &d.pool.items[i]
	switch it.state {
	case stateQueued:
		d.unqueue(i)
		d.pool.remove(i)
		return true
	case stateAwaitingRetry:
		d.pool.remove(i)
		return false
	default:
		it.cancelled = true
		return false
	}
}
