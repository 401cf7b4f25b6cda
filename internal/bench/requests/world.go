package requests

import (
	"time"
)

const (
	// failureDetection is the time until peers detect an instance's failure.
	failureDetection = 3 * time.Second
	// listLag is the delay of the instance list.
	listLag = 5 * time.Second
	// advertiseInterval is the interval of heartbeats to the peers.
	advertiseInterval = 200 * time.Millisecond
	// failedRunTime is the run time of a request on a failing server.
	failedRunTime = 5 * time.Millisecond
)

// node is the request-handling policy of one instance.
type node interface {
	// arrive admits a request.
	arrive(now time.Duration, req int32)
	// handleResult handles the result of an attempt.
	handleResult(now time.Duration, e event)
	// wake handles a wakeup that the node scheduled.
	wake(now time.Duration)
	// setInstances sets the IDs of the live instances.
	setInstances(now time.Duration, alive []int)
	// markLeaving marks servers, given by index, as leaving.
	markLeaving(now time.Duration, leaving []int)
	// setAdverts passes the latest adverts of all instances, by instance ID.
	setAdverts(now time.Duration, adverts []advert)
	// advertise returns the node's free slots and demand.
	advertise(now time.Duration) advert
}

// backend is a simulated backend server.
type backend struct {
	busy int
	// queue holds waiting attempts. It is used only with world.queueing.
	queue   []event
	leaving bool
	down    bool
	failing bool
}

// outcome is the simulated outcome of a request.
type outcome struct {
	started time.Duration
	// slotEnd is when the last attempt releases its slot.
	slotEnd   time.Duration
	ended     time.Duration
	starts    int
	attempts  int
	done      bool
	refused   bool
	forwarded bool
}

// world simulates one trace under one policy.
type world struct {
	trace        *trace
	agenda       agenda
	servers      []backend
	nodes        []node
	incarnations []int32
	alive        []bool
	outcomes     []outcome
	// queueing makes servers queue attempts that find no free slot.
	queueing bool
	// newNode creates an instance's node.
	newNode func(w *world, id int) node
	adverts []advert
}

// advert is the load that an instance advertises to its peers.
type advert struct {
	free   int
	demand int
}

func newWorld(t *trace, queueing bool, newNode func(*world, int) node) *world {
	w := &world{
		trace:        t,
		servers:      make([]backend, servers),
		nodes:        make([]node, t.instances),
		incarnations: make([]int32, t.instances),
		alive:        make([]bool, t.instances),
		outcomes:     make([]outcome, len(t.requests)),
		adverts:      make([]advert, t.instances),
		queueing:     queueing,
		newNode:      newNode,
	}
	for i := range w.nodes {
		w.alive[i] = true
		w.nodes[i] = newNode(w, i)
	}
	for _, n := range w.nodes {
		n.setInstances(0, w.aliveInstances())
	}
	return w
}

func (w *world) aliveInstances() []int {
	var ids []int
	for i, alive := range w.alive {
		if alive {
			ids = append(ids, i)
		}
	}
	return ids
}

// run simulates the whole trace.
func (w *world) run() {
	f := w.trace.faults
	if f.instanceFails > 0 {
		w.agenda.add(event{at: f.instanceFails, kind: evInstanceFails})
		w.agenda.add(event{at: f.instanceRestarts, kind: evInstanceRestarts})
	}
	if f.serversFail > 0 {
		w.agenda.add(event{at: f.serversFail, kind: evServersFail})
		w.agenda.add(event{at: f.serversFail + listLag, kind: evServersLeaving})
	}
	w.agenda.add(event{at: advertiseInterval, kind: evAdvertise})
	next := 0
	for {
		arrival := w.trace.end
		if next < len(w.trace.requests) {
			arrival = w.trace.requests[next].at
		}
		if len(w.agenda.heap) > 0 && w.agenda.heap[0].at <= arrival {
			e, _ := w.agenda.next()
			w.handle(e)
			continue
		}
		if next == len(w.trace.requests) {
			return
		}
		w.arrive(int32(next))
		next++
	}
}

// arrive passes a request to its entry instance, or to the next live one if
// that instance has failed.
func (w *world) arrive(req int32) {
	r := &w.trace.requests[req]
	id := r.entry
	for !w.alive[id] {
		id = (id + 1) % len(w.nodes)
	}
	w.nodes[id].arrive(r.at, req)
}

func (w *world) handle(e event) {
	switch e.kind {
	case evArrive:
		if w.alive[e.node] {
			w.nodes[e.node].arrive(e.at, e.req)
		}
	case evAttemptArrives:
		w.attemptArrives(e)
	case evAttemptEnds:
		w.endAttempt(e)
	case evResult:
		if w.alive[e.node] && w.incarnations[e.node] == e.incarnation {
			w.nodes[e.node].handleResult(e.at, e)
		}
	case evWake:
		if w.alive[e.node] && w.incarnations[e.node] == e.incarnation {
			w.nodes[e.node].wake(e.at)
		}
	case evAdvertise:
		w.advertise(e.at)
	default:
		w.fault(e)
	}
}

// fault applies failures, restarts and their detection.
func (w *world) fault(e event) {
	switch e.kind {
	case evInstanceFails:
		w.alive[0] = false
		w.incarnations[0]++
		w.agenda.add(event{at: e.at + failureDetection, kind: evInstancesChanged})
	case evInstanceRestarts:
		w.alive[0] = true
		w.nodes[0] = w.newNode(w, 0)
		w.notifyInstances(e.at)
	case evInstancesChanged:
		w.notifyInstances(e.at)
	case evServersFail:
		w.servers[0].failing = true
		w.servers[1].down = true
		w.servers[2].leaving = true
	case evServersLeaving:
		for i, n := range w.nodes {
			if w.alive[i] {
				n.markLeaving(e.at, []int{2})
			}
		}
	}
}

func (w *world) notifyInstances(now time.Duration) {
	for i, n := range w.nodes {
		if w.alive[i] {
			n.setInstances(now, w.aliveInstances())
		}
	}
}

func (w *world) advertise(now time.Duration) {
	for i, n := range w.nodes {
		w.adverts[i] = advert{}
		if w.alive[i] {
			w.adverts[i] = n.advertise(now)
		}
	}
	for i, n := range w.nodes {
		if w.alive[i] {
			n.setAdverts(now, w.adverts)
		}
	}
	if now < w.trace.end {
		w.agenda.add(event{at: now + advertiseInterval, kind: evAdvertise})
	}
}

// send schedules an attempt's arrival at a server.
func (w *world) send(now time.Duration, node int, server int, req int32, attempt int, limit time.Duration) {
	w.outcomes[req].attempts++
	w.agenda.add(event{
		at:          now + w.trace.hop,
		kind:        evAttemptArrives,
		req:         req,
		node:        int32(node),
		server:      int32(server),
		attempt:     int32(attempt),
		incarnation: w.incarnations[node],
		started:     now,
		limit:       limit,
	})
}

// attemptArrives starts, queues or rejects an attempt at its server.
func (w *world) attemptArrives(e event) {
	s := &w.servers[e.server]
	switch {
	case s.down:
		w.sendResult(e, resUnreachable)
	case s.leaving:
		w.sendResult(e, resLeaving)
	case s.busy < slotsPerServer:
		w.startAttempt(e)
	case w.queueing:
		s.queue = append(s.queue, e)
	default:
		w.sendResult(e, resFull)
	}
}

// startAttempt runs a request until it completes or its deadline or the
// attempt's time limit passes.
func (w *world) startAttempt(e event) {
	r := &w.trace.requests[e.req]
	s := &w.servers[e.server]
	s.busy++
	o := &w.outcomes[e.req]
	o.starts++
	o.started = e.at
	run := r.run
	e.result = resDone
	if s.failing {
		run = failedRunTime
		e.result = resFailed
	}
	if left := max(r.deadline-e.at, 0); run > left {
		run = left
		e.result = resTimeout
	}
	if e.limit > 0 && run > e.limit {
		run = e.limit
		e.result = resTimeout
	}
	e.kind = evAttemptEnds
	e.at += run
	o.slotEnd = e.at
	w.agenda.add(e)
}

func (w *world) endAttempt(e event) {
	s := &w.servers[e.server]
	s.busy--
	w.sendResult(e, e.result)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next.at = e.at
		w.startAttempt(next)
	}
}

// sendResult schedules the return of an attempt's result with the server's load.
func (w *world) sendResult(e event, result attemptResult) {
	e.kind = evResult
	e.result = result
	e.busy = int32(w.servers[e.server].busy)
	e.at += w.trace.hop
	w.agenda.add(e)
}

// done records that a request was answered.
func (w *world) done(now time.Duration, req int32) {
	w.outcomes[req].done = true
	w.outcomes[req].ended = now
}

// refuse records that a request was refused without being run.
func (w *world) refuse(now time.Duration, req int32) {
	w.outcomes[req].refused = true
	w.outcomes[req].ended = now
}
