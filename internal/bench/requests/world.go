package requests

import (
	"time"
)

const (
	// peerTimeout is the time until peers and the balancer notice a death.
	peerTimeout = 3 * time.Second
	// listLag is that of the instance list.
	listLag = 5 * time.Second
	// advertiseEvery is the time between two heartbeats to the peers.
	advertiseEvery = 200 * time.Millisecond
	// failAfter is the time for which a failing server runs a request.
	failAfter = 5 * time.Millisecond
)

// node is an instance that takes in requests.
type node interface {
	// arrive takes a request in.
	arrive(now time.Duration, req int32)
	// answer takes an attempt's end in.
	answer(now time.Duration, e event)
	// wake runs at the time that the node asked for.
	wake(now time.Duration)
	// share tells the node which instances are alive.
	share(now time.Duration, alive []int)
	// listed tells the node which servers are leaving, by number.
	listed(now time.Duration, leaving []int)
	// demand tells the node what the instances have queued or in flight.
	demand(now time.Duration, adverts []advert)
	// load returns the node's queued requests and free slots.
	load(now time.Duration) advert
}

// backend is a server of the world.
type backend struct {
	busy int
	// queue holds requests where servers queue.
	queue   []event
	leaving bool
	down    bool
	failing bool
}

// outcome is how a request ended.
type outcome struct {
	started time.Duration
	// slotEnd is when the last attempt gave its slot back.
	slotEnd   time.Duration
	ended     time.Duration
	starts    int
	attempts  int
	done      bool
	refused   bool
	forwarded bool
}

// world runs one trace under one policy.
type world struct {
	trace    *trace
	agenda   agenda
	servers  []backend
	nodes    []node
	lives    []int32
	alive    []bool
	outcomes []outcome
	// queueing servers hold requests that find no free slot.
	queueing bool
	// make creates an instance's node.
	make    func(w *world, id int) node
	adverts []advert
}

// advert is what an instance tells its peers about itself.
type advert struct {
	free   int
	demand int
}

func newWorld(t *trace, queueing bool, make_ func(*world, int) node) *world {
	w := &world{
		trace:    t,
		servers:  make([]backend, servers),
		nodes:    make([]node, t.instances),
		lives:    make([]int32, t.instances),
		alive:    make([]bool, t.instances),
		outcomes: make([]outcome, len(t.requests)),
		adverts:  make([]advert, t.instances),
		queueing: queueing,
		make:     make_,
	}
	for i := range w.nodes {
		w.alive[i] = true
		w.nodes[i] = make_(w, i)
	}
	for _, n := range w.nodes {
		n.share(0, w.living())
	}
	return w
}

func (w *world) living() []int {
	var ids []int
	for i, alive := range w.alive {
		if alive {
			ids = append(ids, i)
		}
	}
	return ids
}

// run plays the trace to its end.
func (w *world) run() {
	f := w.trace.faults
	if f.instanceDies > 0 {
		w.agenda.add(event{at: f.instanceDies, kind: evDie})
		w.agenda.add(event{at: f.instanceBack, kind: evBack})
	}
	if f.serversFail > 0 {
		w.agenda.add(event{at: f.serversFail, kind: evServersFail})
		w.agenda.add(event{at: f.serversFail + listLag, kind: evServersListed})
	}
	w.agenda.add(event{at: advertiseEvery, kind: evAdvertise})
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

// arrive hands a request to a living instance. Whoever is sent to a dead one
// tries the next.
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
	case evReach:
		w.reach(e)
	case evFinish:
		w.finish(e)
	case evAnswer:
		if w.alive[e.node] && w.lives[e.node] == e.life {
			w.nodes[e.node].answer(e.at, e)
		}
	case evWake:
		if w.alive[e.node] && w.lives[e.node] == e.life {
			w.nodes[e.node].wake(e.at)
		}
	case evAdvertise:
		w.advertise(e.at)
	default:
		w.fault(e)
	}
}

// fault plays what fails or comes back.
func (w *world) fault(e event) {
	switch e.kind {
	case evDie:
		w.alive[0] = false
		w.lives[0]++
		w.agenda.add(event{at: e.at + peerTimeout, kind: evShare})
	case evBack:
		w.alive[0] = true
		w.nodes[0] = w.make(w, 0)
		w.tellShare(e.at)
	case evShare:
		w.tellShare(e.at)
	case evServersFail:
		w.servers[0].failing = true
		w.servers[1].down = true
		w.servers[2].leaving = true
	case evServersListed:
		for i, n := range w.nodes {
			if w.alive[i] {
				n.listed(e.at, []int{2})
			}
		}
	}
}

func (w *world) tellShare(now time.Duration) {
	for i, n := range w.nodes {
		if w.alive[i] {
			n.share(now, w.living())
		}
	}
}

func (w *world) advertise(now time.Duration) {
	for i, n := range w.nodes {
		w.adverts[i] = advert{}
		if w.alive[i] {
			w.adverts[i] = n.load(now)
		}
	}
	for i, n := range w.nodes {
		if w.alive[i] {
			n.demand(now, w.adverts)
		}
	}
	if now < w.trace.end {
		w.agenda.add(event{at: now + advertiseEvery, kind: evAdvertise})
	}
}

// send starts an attempt on its way to a server.
func (w *world) send(now time.Duration, node int, server int, req int32, attempt int, limit time.Duration) {
	w.outcomes[req].attempts++
	w.agenda.add(event{
		at:      now + w.trace.hop,
		kind:    evReach,
		req:     req,
		node:    int32(node),
		server:  int32(server),
		attempt: int32(attempt),
		life:    w.lives[node],
		started: now,
		limit:   limit,
	})
}

// reach is an attempt's arrival at its server.
func (w *world) reach(e event) {
	s := &w.servers[e.server]
	switch {
	case s.down:
		w.reply(e, resUnreachable)
	case s.leaving:
		w.reply(e, resLeaving)
	case s.busy < slotsPerServer:
		w.start(e)
	case w.queueing:
		s.queue = append(s.queue, e)
	default:
		w.reply(e, resFull)
	}
}

// start runs a request until it is done or its deadline passes.
func (w *world) start(e event) {
	r := &w.trace.requests[e.req]
	s := &w.servers[e.server]
	s.busy++
	o := &w.outcomes[e.req]
	o.starts++
	o.started = e.at
	run := r.run
	e.result = resDone
	if s.failing {
		run = failAfter
		e.result = resFailed
	}
	if left := max(r.deadline-e.at, 0); run > left {
		run = left
		e.result = resCut
	}
	if e.limit > 0 && run > e.limit {
		run = e.limit
		e.result = resCut
	}
	e.kind = evFinish
	e.at += run
	o.slotEnd = e.at
	w.agenda.add(e)
}

func (w *world) finish(e event) {
	s := &w.servers[e.server]
	s.busy--
	w.reply(e, e.result)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next.at = e.at
		w.start(next)
	}
}

// reply sends an attempt's end back with the server's load.
func (w *world) reply(e event, result attemptResult) {
	e.kind = evAnswer
	e.result = result
	e.busy = int32(w.servers[e.server].busy)
	e.at += w.trace.hop
	w.agenda.add(e)
}

// done notes a whole answer, refuse that a request was not run.
func (w *world) done(now time.Duration, req int32) {
	w.outcomes[req].done = true
	w.outcomes[req].ended = now
}

func (w *world) refuse(now time.Duration, req int32) {
	w.outcomes[req].refused = true
	w.outcomes[req].ended = now
}
