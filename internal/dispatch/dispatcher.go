package dispatch

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/breaker"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// The refusals of Enqueue.
var (
	errUnknownService = fault.New(fault.NotFound, "unknown service")
	errDuplicate      = fault.New(fault.Exists, "item is known already")
	errQueueFull      = fault.New(fault.Overloaded, "the workspace's queue is full")
	errTooLate        = fault.New(fault.Timeout, "the deadline can't be met")
)

// Dispatcher holds the queues and what is known of the backend servers. It is
// not safe for concurrent use.
type Dispatcher struct {
	settings Settings
	// epoch is the first time seen; now is the latest, relative to it.
	epoch      time.Time
	now        time.Duration
	pool       pool
	workspaces []*workspace
	services   map[structs.ServiceKey]*service
	level      [levels]levelState
	queued     int
	// shorts are the short items in flight, oldest first.
	shorts  list
	servers []*server
	byID    map[string]*server
	open    [kinds][]*server
	timers  timers
	uniform bool
	warm    bool
	// peers are the instances that share the slots, this one included.
	peers []peer
	self  string
	// partSlots is the number of slots of this instance's part.
	partSlots int
	// longLimit bounds longInFlight.
	longLimit    int
	longInFlight int
	budget       breaker.RetryBudget
	expired      []uint64
	scanAt       time.Duration
	counters     Stats
}

// New returns a dispatcher without servers or services.
func New(s Settings) *Dispatcher {
	s = s.withDefaults()
	return &Dispatcher{
		settings: s,
		pool:     newPool(s.QueueLimit),
		services: make(map[structs.ServiceKey]*service),
		shorts:   newList(),
		byID:     make(map[string]*server),
		uniform:  true,
		peers:    []peer{{}},
		budget:   breaker.NewRetryBudget(float64(s.RetryPercent)/100, float64(s.RetryBurst)),
	}
}

// advance moves the time on. Time never goes back.
func (d *Dispatcher) advance(now time.Time) {
	if d.epoch.IsZero() {
		d.epoch = now
	}
	d.now = max(d.now, now.Sub(d.epoch))
}

// Enqueue queues an item. It fails with fault.NotFound for an unknown service,
// fault.Exists for an item that is known, fault.Overloaded when the
// workspace's queue is full and fault.Timeout when the deadline can't be met.
// A refused item was not run and is not kept.
func (d *Dispatcher) Enqueue(now time.Time, it Item) error {
	d.advance(now)
	q, ok := d.services[structs.ServiceKey{Workspace: it.Workspace, Name: it.Service}]
	if !ok || q.gone {
		return d.refuse(errUnknownService)
	}
	if _, known := d.pool.find(it.ID); known {
		return d.refuse(errDuplicate)
	}
	w := q.workspace
	if w.queuedItems() >= w.limit {
		return d.refuse(errQueueFull)
	}
	class := it.Class
	if class == "" {
		class = q.class
	}
	level := q.levelFor(class)
	deadline := it.Deadline.Sub(d.epoch)
	wait := d.forecast(q, level, deadline)
	if !d.admits(q, level, deadline, wait) {
		return d.refuse(errTooLate)
	}
	expected := wait
	if !d.whole(q, level, deadline) {
		expected = 0
	}
	i := d.pool.add(item{
		id:         it.ID,
		service:    q,
		deadline:   deadline,
		queuedAt:   d.now,
		forecast:   expected,
		attempt:    it.Attempt,
		level:      level,
		repeatable: it.Repeatable,
	})
	d.queue(i, false)
	return nil
}

func (d *Dispatcher) refuse(err *fault.Error) error {
	d.counters.Refused++
	return err
}

// queue puts an item into its service's queue, in front after a retry.
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
	l := &d.level[it.level]
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

// unqueue takes an item out of its service's queue.
func (d *Dispatcher) unqueue(i int32) {
	it := &d.pool.items[i]
	it.service.fifo[it.level].remove(&d.pool, i)
	w := it.service.workspace
	l := &d.level[it.level]
	w.queued[it.level]--
	w.work[it.level] -= it.cost
	l.queued--
	d.queued--
	if w.queued[it.level] == 0 {
		w.deficit[it.level] = min(w.deficit[it.level], 0)
		l.deactivate(w)
	}
}

// Next binds a queued item to a server. Call it until it returns false, after
// each event and at the time that Wake names.
func (d *Dispatcher) Next(now time.Time) (Assignment, bool) {
	d.advance(now)
	d.runTimers()
	d.demote()
	if d.queued == 0 {
		return Assignment{}, false
	}
	for level := range uint8(levels) {
		if q, ok := d.pick(level, d.pickNominal); ok {
			return d.assign(q, level, false), true
		}
	}
	for level := range uint8(levels) {
		if q, ok := d.pick(level, d.pickFair); ok {
			return d.assign(q, level, true), true
		}
	}
	return Assignment{}, false
}

func (d *Dispatcher) pick(level uint8, by func(uint8) (*service, bool)) (*service, bool) {
	if d.level[level].queued == 0 {
		return nil, false
	}
	if isLong(level) && d.longInFlight >= d.longLimit {
		return nil, false
	}
	return by(level)
}

func (d *Dispatcher) assign(q *service, level uint8, charged bool) Assignment {
	i := q.fifo[level].head
	v, _ := d.choose(level, q.key.Name)
	d.unqueue(i)
	q.workspace.drain[level].add(d.now)
	it := &d.pool.items[i]
	if it.forecast > 0 {
		q.workspace.surplus[level].observe(d.now - it.queuedAt - it.forecast)
	}
	it.state = stateInFlight
	it.server = v
	it.startedAt = d.now
	it.attempt++
	it.limit = d.limitFor(it)
	it.charged = charged
	it.long = isLong(level)
	if charged {
		q.workspace.charge(level, it.cost)
	}
	q.workspace.inFlight++
	d.level[level].inFlight++
	v.inFlight++
	if it.long {
		v.long++
		d.longInFlight++
	} else {
		d.shorts.pushBack(&d.pool, i)
	}
	d.refresh(v)
	d.counters.Dispatched++
	return Assignment{Item: it.id, Server: v.id, Attempt: it.attempt, Limit: it.limit}
}

// limitFor caps the first attempt of a repeatable short item while others wait
// behind it, so that a straggler gives its slot back and drops a class.
func (d *Dispatcher) limitFor(it *item) time.Duration {
	e := it.service.run.Estimate()
	if !it.repeatable || it.level != 0 || !e.Learned || d.level[0].queued == 0 {
		return 0
	}
	return time.Duration(stragglerFactor * float64(e.High))
}

// demote moves short items that outlived their class down: their slots count
// as taken by long work, so that short work regains its reserve.
func (d *Dispatcher) demote() {
	for d.shorts.len > 0 {
		i := d.shorts.head
		it := &d.pool.items[i]
		if d.now-it.startedAt <= d.settings.ShortRunLimit {
			return
		}
		d.shorts.remove(&d.pool, i)
		d.level[it.level].inFlight--
		it.level++
		d.level[it.level].inFlight++
		it.long = true
		it.server.long++
		d.longInFlight++
		d.counters.Stragglers++
		d.refresh(it.server)
	}
}

// Demand returns the requests queued or in flight. Instances tell it to their
// peers, for SetDemand.
func (d *Dispatcher) Demand() int {
	n := d.queued
	for l := range d.level {
		n += d.level[l].inFlight
	}
	return n
}

// Cancel ends a queued item and reports whether it did. An item in flight goes
// on, but isn't queued again.
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
	case stateEnded:
		d.pool.remove(i)
		return false
	default:
		it.cancelled = true
		return false
	}
}
