package requests

import (
	"time"
)

const (
	// failureDetection is the time until peers detect an instance's failure.
	failureDetection = 3 * time.Second
	// listLag is the time until the instance list shows that a server is leaving.
	listLag = 5 * time.Second
	// advertiseInterval is the interval of heartbeats to the peers.
	advertiseInterval = 200 * time.Millisecond
	// failedRunTime is the run time of a request on a failing server.
	failedRunTime = 5 * time.Millisecond
)

// instance handles requests under one policy.
type instance interface {
	// arrive dispatches, queues, forwards or refuses a new request.
	arrive(now time.Duration, req int32)
	// handleResult ends an attempt that the instance sent to a server, and
	// completes, retries or gives up its request.
	handleResult(now time.Duration, e event)
	// wake handles a wakeup that the instance scheduled.
	wake(now time.Duration)
	// setInstances sets the IDs of the live instances.
	setInstances(now time.Duration, alive []int)
	// markLeaving marks servers, given by index, as leaving.
	markLeaving(now time.Duration, leaving []int)
	// setAdverts passes the latest adverts of all instances, by instance ID.
	setAdverts(now time.Duration, adverts []advert)
	// advertise returns the instance's free slots and demand.
	advertise(now time.Duration) advert
}

// backend is a simulated backend server.
type backend struct {
	busy int
	// queue holds waiting attempts. It is used only with simulation.queueing.
	queue       []event
	leaving     bool
	unreachable bool
	failing     bool
}

// outcome is the simulated outcome of a request.
type outcome struct {
	// started is the time at which a server started the last attempt.
	started time.Duration
	// slotEnd is the time at which the last attempt releases its slot.
	slotEnd   time.Duration
	ended     time.Duration
	starts    int
	attempts  int
	done      bool
	refused   bool
	forwarded bool
}

// simulation simulates one trace under one policy.
type simulation struct {
	trace        *trace
	events       eventQueue
	servers      []backend
	instances    []instance
	incarnations []int32
	alive        []bool
	outcomes     []outcome
	// queueing makes servers queue attempts that find no free slot.
	queueing bool
	// newInstance creates an instance at the start and after a failure.
	newInstance func(sim *simulation, id int) instance
	adverts     []advert
}

// advert is the load that an instance advertises to its peers. demand is the
// number of requests queued or in flight.
type advert struct {
	free   int
	demand int
}

func newSimulation(t *trace, queueing bool, newInstance func(*simulation, int) instance) *simulation {
	sim := &simulation{
		trace:        t,
		servers:      make([]backend, servers),
		instances:    make([]instance, t.instances),
		incarnations: make([]int32, t.instances),
		alive:        make([]bool, t.instances),
		outcomes:     make([]outcome, len(t.requests)),
		adverts:      make([]advert, t.instances),
		queueing:     queueing,
		newInstance:  newInstance,
	}
	for i := range sim.instances {
		sim.alive[i] = true
		sim.instances[i] = newInstance(sim, i)
	}
	for _, in := range sim.instances {
		in.setInstances(0, sim.aliveInstances())
	}
	return sim
}

func (sim *simulation) aliveInstances() []int {
	var ids []int
	for i, alive := range sim.alive {
		if alive {
			ids = append(ids, i)
		}
	}
	return ids
}

// run simulates the whole trace.
func (sim *simulation) run() {
	f := sim.trace.faults
	if f.instanceFails > 0 {
		sim.events.add(event{at: f.instanceFails, kind: evInstanceFails})
		sim.events.add(event{at: f.instanceRestarts, kind: evInstanceRestarts})
	}
	if f.serversFail > 0 {
		sim.events.add(event{at: f.serversFail, kind: evServersFail})
		sim.events.add(event{at: f.serversFail + listLag, kind: evServersLeaving})
	}
	sim.events.add(event{at: advertiseInterval, kind: evAdvertise})
	nextRequest := 0
	for {
		arrival := sim.trace.end
		if nextRequest < len(sim.trace.requests) {
			arrival = sim.trace.requests[nextRequest].at
		}
		if len(sim.events.heap) > 0 && sim.events.heap[0].at <= arrival {
			e, _ := sim.events.next()
			sim.handle(e)
			continue
		}
		if nextRequest == len(sim.trace.requests) {
			return
		}
		sim.arrive(int32(nextRequest))
		nextRequest++
	}
}

// arrive passes a request to its entry instance, or to the next live one if that
// instance has failed, as a caller would retry at the next one.
func (sim *simulation) arrive(req int32) {
	r := &sim.trace.requests[req]
	id := r.entry
	for !sim.alive[id] {
		id = (id + 1) % len(sim.instances)
	}
	sim.instances[id].arrive(r.at, req)
}

func (sim *simulation) handle(e event) {
	switch e.kind {
	case evArrive:
		if sim.alive[e.instance] {
			sim.instances[e.instance].arrive(e.at, e.req)
		}
	case evAttemptArrives:
		sim.attemptArrives(e)
	case evAttemptEnds:
		sim.endAttempt(e)
	case evResult:
		if sim.alive[e.instance] && sim.incarnations[e.instance] == e.incarnation {
			sim.instances[e.instance].handleResult(e.at, e)
		}
	case evWake:
		if sim.alive[e.instance] && sim.incarnations[e.instance] == e.incarnation {
			sim.instances[e.instance].wake(e.at)
		}
	case evAdvertise:
		sim.advertise(e.at)
	default:
		sim.applyFault(e)
	}
}

// applyFault applies failures, restarts and their detection.
func (sim *simulation) applyFault(e event) {
	switch e.kind {
	case evInstanceFails:
		sim.alive[0] = false
		sim.incarnations[0]++
		sim.events.add(event{at: e.at + failureDetection, kind: evInstancesChanged})
	case evInstanceRestarts:
		sim.alive[0] = true
		sim.instances[0] = sim.newInstance(sim, 0)
		sim.notifyInstances(e.at)
	case evInstancesChanged:
		sim.notifyInstances(e.at)
	case evServersFail:
		sim.servers[0].failing = true
		sim.servers[1].unreachable = true
		sim.servers[2].leaving = true
	case evServersLeaving:
		for i, in := range sim.instances {
			if sim.alive[i] {
				in.markLeaving(e.at, []int{2})
			}
		}
	}
}

func (sim *simulation) notifyInstances(now time.Duration) {
	for i, in := range sim.instances {
		if sim.alive[i] {
			in.setInstances(now, sim.aliveInstances())
		}
	}
}

func (sim *simulation) advertise(now time.Duration) {
	for i, in := range sim.instances {
		sim.adverts[i] = advert{}
		if sim.alive[i] {
			sim.adverts[i] = in.advertise(now)
		}
	}
	for i, in := range sim.instances {
		if sim.alive[i] {
			in.setAdverts(now, sim.adverts)
		}
	}
	if now < sim.trace.end {
		sim.events.add(event{at: now + advertiseInterval, kind: evAdvertise})
	}
}

// send schedules an attempt's arrival at a server.
func (sim *simulation) send(now time.Duration, instanceID int, server int, req int32, attempt int, limit time.Duration) {
	sim.outcomes[req].attempts++
	sim.events.add(event{
		at:          now + sim.trace.hop,
		kind:        evAttemptArrives,
		req:         req,
		instance:    int32(instanceID),
		server:      int32(server),
		attempt:     int32(attempt),
		incarnation: sim.incarnations[instanceID],
		sent:        now,
		limit:       limit,
	})
}

// attemptArrives starts, queues or rejects an attempt at its server.
func (sim *simulation) attemptArrives(e event) {
	s := &sim.servers[e.server]
	switch {
	case s.unreachable:
		sim.sendResult(e, resUnreachable)
	case s.leaving:
		sim.sendResult(e, resLeaving)
	case s.busy < slotsPerServer:
		sim.startAttempt(e)
	case sim.queueing:
		s.queue = append(s.queue, e)
	default:
		sim.sendResult(e, resFull)
	}
}

// startAttempt runs a request until it completes or its deadline or the
// attempt's time limit passes. On a failing server, it fails after failedRunTime.
func (sim *simulation) startAttempt(e event) {
	r := &sim.trace.requests[e.req]
	s := &sim.servers[e.server]
	s.busy++
	o := &sim.outcomes[e.req]
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
	sim.events.add(e)
}

func (sim *simulation) endAttempt(e event) {
	s := &sim.servers[e.server]
	s.busy--
	sim.sendResult(e, e.result)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next.at = e.at
		sim.startAttempt(next)
	}
}

// sendResult schedules the return of an attempt's result with the server's load.
func (sim *simulation) sendResult(e event, result attemptResult) {
	e.kind = evResult
	e.result = result
	e.busy = int32(sim.servers[e.server].busy)
	e.at += sim.trace.hop
	sim.events.add(e)
}

// recordAnswer records that a request was answered.
func (sim *simulation) recordAnswer(now time.Duration, req int32) {
	sim.outcomes[req].done = true
	sim.outcomes[req].ended = now
}

// recordRefusal records that a request was refused without being run.
func (sim *simulation) recordRefusal(now time.Duration, req int32) {
	sim.outcomes[req].refused = true
	sim.outcomes[req].ended = now
}
