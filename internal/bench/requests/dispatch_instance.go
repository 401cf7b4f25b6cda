package requests

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilwinch/lentilwinch/internal/dispatch"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// sharing is a policy by which instances share the servers' slots.
type sharing int

const (
	// sharingAll lets every instance use every slot, by random choice and the
	// load that servers report in their answers.
	sharingAll sharing = iota
	// sharingSplit gives every instance an even share of each server's slots.
	sharingSplit
	// sharingSubset assigns whole servers to instances by rendezvous hashing
	// and forwards requests to a peer that advertised free slots.
	sharingSubset
)

var (
	timeOrigin  = time.Unix(0, 0)
	serverIDs   = numberedIDs("server")
	serverIndex = indexOf(serverIDs)
)

func numberedIDs(prefix string) []string {
	ids := make([]string, servers)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%02d", prefix, i)
	}
	return ids
}

func indexOf(ids []string) map[string]int {
	m := make(map[string]int, len(ids))
	for i, id := range ids {
		m[id] = i
	}
	return m
}

// dispatchInstance is an instance that runs a dispatch.Dispatcher.
type dispatchInstance struct {
	sim        *simulation
	id         int
	dispatcher *dispatch.Dispatcher
	sharing    sharing
	alive      []int
	leaving    map[int]bool
	wakeAt     time.Duration
	queued     int
	busy       int
	slots      int
	// serverLoad is the load of the latest result, reused to avoid allocations.
	serverLoad port.BackendLoad
}

// newDispatchInstances returns a constructor of instances with the given sharing
// policy and settings.
func newDispatchInstances(s sharing, settings dispatch.Settings) func(*simulation, int) instance {
	return func(sim *simulation, id int) instance {
		settings := settings
		settings.Rand = rand.New(rand.NewPCG(sim.trace.seed, uint64(id)+100))
		n := &dispatchInstance{
			sim:        sim,
			id:         id,
			dispatcher: dispatch.New(settings),
			sharing:    s,
			leaving:    make(map[int]bool),
		}
		n.dispatcher.SetConfig(sim.trace.workspaces, sim.trace.services)
		return n
	}
}

func (n *dispatchInstance) arrive(now time.Duration, req int32) {
	if n.forward(now, req) {
		return
	}
	r := &n.sim.trace.requests[req]
	k := &n.sim.trace.kinds[r.kind]
	err := n.dispatcher.Enqueue(timeOrigin.Add(now), dispatch.Item{
		ID:         uint64(req) + 1,
		Workspace:  k.workspace,
		Service:    k.service,
		Class:      k.class,
		Repeatable: k.repeatable,
		Deadline:   timeOrigin.Add(r.deadline - n.returnDelay(req)),
	})
	if err != nil {
		n.sim.refuse(now+n.returnDelay(req), req)
		return
	}
	n.queued++
	n.dispatchQueued(now)
}

// returnDelay is the extra delay of a forwarded request's answer on its way
// back to the entry instance.
func (n *dispatchInstance) returnDelay(req int32) time.Duration {
	if n.sim.outcomes[req].forwarded {
		return n.sim.trace.hop
	}
	return 0
}

// forward sends a request to the peer that advertised the most free slots if
// this instance has no free slot. It reports whether it forwarded the request.
func (n *dispatchInstance) forward(now time.Duration, req int32) bool {
	o := &n.sim.outcomes[req]
	if n.sharing != sharingSubset || o.forwarded || n.busy < n.slots {
		return false
	}
	best, free := -1, 0
	for _, id := range n.alive {
		if a := n.sim.adverts[id]; id != n.id && a.free > free {
			best, free = id, a.free
		}
	}
	if best < 0 {
		return false
	}
	n.sim.adverts[best].free--
	o.forwarded = true
	n.sim.events.add(event{at: now + n.sim.trace.hop, kind: evArrive, req: req, instance: int32(best)})
	return true
}

func (n *dispatchInstance) handleResult(now time.Duration, e event) {
	n.busy--
	at := timeOrigin.Add(now)
	a := dispatch.Assignment{
		Item:    uint64(e.req) + 1,
		Server:  serverIDs[e.server],
		Attempt: int(e.attempt),
	}
	n.serverLoad = port.BackendLoad{Slots: slotsPerServer, Busy: int(e.busy), Leaving: e.result == resLeaving}
	res := dispatch.Result{
		Kind:      resultKinds[e.result],
		Load:      &n.serverLoad,
		Elapsed:   now - e.started,
		Abandoned: e.result == resTimeout,
	}
	if e.result == resUnreachable || n.sharing != sharingAll {
		res.Load = nil
	}
	n.dispatcher.Done(at, a, res)
	switch {
	case res.Kind == dispatch.Succeeded:
		n.sim.done(now+n.returnDelay(e.req), e.req)
	case n.dispatcher.Retry(at, a, res):
		n.queued++
	default:
		n.giveUp(now, e.req)
	}
	n.dispatchQueued(now)
}

// giveUp refuses a request unless an attempt of it has started.
func (n *dispatchInstance) giveUp(now time.Duration, req int32) {
	if n.sim.outcomes[req].starts > 0 {
		return
	}
	n.sim.refuse(now+n.returnDelay(req), req)
}

var resultKinds = map[attemptResult]dispatch.ResultKind{
	resDone:        dispatch.Succeeded,
	resTimeout:     dispatch.Failed,
	resFull:        dispatch.RefusedFull,
	resLeaving:     dispatch.RefusedLeaving,
	resUnreachable: dispatch.NotStarted,
	resFailed:      dispatch.Failed,
}

func (n *dispatchInstance) wake(now time.Duration) {
	if now < n.wakeAt {
		return
	}
	n.wakeAt = 0
	n.dispatchQueued(now)
}

// dispatchQueued expires and dispatches queued requests and schedules the next
// wakeup, as the requests duty does after each event.
func (n *dispatchInstance) dispatchQueued(now time.Duration) {
	at := timeOrigin.Add(now)
	for _, id := range n.dispatcher.Expire(at) {
		n.queued--
		n.giveUp(now, int32(id-1))
	}
	for {
		a, ok := n.dispatcher.Next(at)
		if !ok {
			break
		}
		n.queued--
		n.busy++
		n.sim.send(now, n.id, serverIndex[a.Server], int32(a.Item-1), a.Attempt, a.Limit)
	}
	next, ok := n.dispatcher.Wake(at)
	if !ok {
		return
	}
	wake := max(next.Sub(timeOrigin), now+1)
	if n.wakeAt > now && n.wakeAt <= wake {
		return
	}
	n.wakeAt = wake
	n.sim.events.add(event{at: wake, kind: evWake, instance: int32(n.id), incarnation: n.sim.incarnations[n.id]})
}

func (n *dispatchInstance) setInstances(now time.Duration, alive []int) {
	n.alive = alive
	n.setServers()
	n.dispatchQueued(now)
}

func (n *dispatchInstance) markLeaving(now time.Duration, leaving []int) {
	for _, s := range leaving {
		n.leaving[s] = true
	}
	n.setServers()
	n.dispatchQueued(now)
}

// setServers sets the servers and slots that the instance may use.
func (n *dispatchInstance) setServers() {
	var list []dispatch.Server
	n.slots = 0
	for i, id := range serverIDs {
		slots := n.slotsOf(i)
		if slots == 0 {
			continue
		}
		n.slots += slots
		list = append(list, dispatch.Server{ID: id, Slots: slots, Leaving: n.leaving[i]})
	}
	n.dispatcher.SetServers(list)
	if n.sharing != sharingAll {
		return
	}
	peers := make([]string, 0, len(n.alive))
	for _, id := range n.alive {
		if id != n.id {
			peers = append(peers, strconv.Itoa(id))
		}
	}
	n.dispatcher.SetInstances(strconv.Itoa(n.id), peers)
}

func (n *dispatchInstance) slotsOf(server int) int {
	switch n.sharing {
	case sharingSplit:
		return evenShare(server, n.id, n.alive)
	case sharingSubset:
		if assignedInstance(server, n.alive) != n.id {
			return 0
		}
	}
	return slotsPerServer
}

// evenShare returns an instance's share of a server's slots. Which instances get
// one of the slots that remain after even division depends on the server's index.
func evenShare(server, id int, alive []int) int {
	slots := slotsPerServer / len(alive)
	rest := slotsPerServer % len(alive)
	for at, other := range alive {
		if other == id && (at+server)%len(alive) < rest {
			slots++
		}
	}
	return slots
}

// assignedInstance returns the instance that rendezvous hashing assigns a server
// to.
func assignedInstance(server int, alive []int) int {
	best, top := -1, uint64(0)
	for _, id := range alive {
		h := xxhash.Sum64String(fmt.Sprintf("%s/%d", serverIDs[server], id))
		if best < 0 || h > top {
			best, top = id, h
		}
	}
	return best
}

func (n *dispatchInstance) advertise(time.Duration) advert {
	return advert{free: n.slots - n.busy, demand: n.dispatcher.Demand()}
}

func (n *dispatchInstance) setAdverts(now time.Duration, adverts []advert) {
	if n.sharing != sharingAll {
		return
	}
	demand := make(map[string]int, len(adverts))
	for id, a := range adverts {
		demand[strconv.Itoa(id)] = a.demand
	}
	n.dispatcher.SetDemand(demand)
	n.dispatchQueued(now)
}
