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
	// sharingByDemand gives every instance a share of each server's slots that
	// grows with the instance's demand. Short work may also use slots outside the
	// share that are free according to the load that servers report in their
	// answers.
	sharingByDemand sharing = iota
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
	// busy is the number of the instance's attempts in flight. slots is the
	// number of slots that it may use.
	busy  int
	slots int
	// serverLoad is the load of the latest result, reused to avoid allocations.
	serverLoad port.BackendLoad
}

// newDispatchInstances returns a constructor of instances with the given sharing
// policy and settings.
func newDispatchInstances(s sharing, settings dispatch.Settings) func(*simulation, int) instance {
	return func(sim *simulation, id int) instance {
		settings := settings
		settings.Rand = rand.New(rand.NewPCG(sim.trace.seed, uint64(id)+100))
		in := &dispatchInstance{
			sim:        sim,
			id:         id,
			dispatcher: dispatch.New(settings),
			sharing:    s,
			leaving:    make(map[int]bool),
		}
		in.dispatcher.SetConfig(sim.trace.workspaces, sim.trace.services)
		return in
	}
}

func (in *dispatchInstance) arrive(now time.Duration, req int32) {
	if in.forward(now, req) {
		return
	}
	r := &in.sim.trace.requests[req]
	k := &in.sim.trace.kinds[r.kind]
	err := in.dispatcher.Enqueue(timeOrigin.Add(now), dispatch.Item{
		ID:         uint64(req) + 1,
		Workspace:  k.workspace,
		Service:    k.service,
		Class:      k.class,
		Repeatable: k.repeatable,
		Deadline:   timeOrigin.Add(r.deadline - in.returnDelay(req)),
	})
	if err != nil {
		in.sim.recordRefusal(now+in.returnDelay(req), req)
		return
	}
	in.queued++
	in.dispatchQueued(now)
}

// returnDelay returns the extra delay of a forwarded request's answer on its way
// back to the entry instance.
func (in *dispatchInstance) returnDelay(req int32) time.Duration {
	if in.sim.outcomes[req].forwarded {
		return in.sim.trace.hop
	}
	return 0
}

// forward sends a request to the peer that advertised the most free slots if
// this instance has no free slot. It does so only with sharingSubset and once per
// request, and reports whether it forwarded the request.
func (in *dispatchInstance) forward(now time.Duration, req int32) bool {
	o := &in.sim.outcomes[req]
	if in.sharing != sharingSubset || o.forwarded || in.busy < in.slots {
		return false
	}
	best, free := -1, 0
	for _, id := range in.alive {
		if a := in.sim.adverts[id]; id != in.id && a.free > free {
			best, free = id, a.free
		}
	}
	if best < 0 {
		return false
	}
	in.sim.adverts[best].free--
	o.forwarded = true
	in.sim.events.add(event{at: now + in.sim.trace.hop, kind: evArrive, req: req, instance: int32(best)})
	return true
}

func (in *dispatchInstance) handleResult(now time.Duration, e event) {
	in.busy--
	at := timeOrigin.Add(now)
	a := dispatch.Assignment{
		Item:    uint64(e.req) + 1,
		Server:  serverIDs[e.server],
		Attempt: int(e.attempt),
	}
	in.serverLoad = port.BackendLoad{Slots: slotsPerServer, Busy: int(e.busy), Leaving: e.result == resLeaving}
	res := dispatch.Result{
		Kind:      resultKinds[e.result],
		Load:      &in.serverLoad,
		Elapsed:   now - e.sent,
		Abandoned: e.result == resTimeout,
	}
	if e.result == resUnreachable || in.sharing != sharingByDemand {
		res.Load = nil
	}
	in.dispatcher.Done(at, a, res)
	switch {
	case res.Kind == dispatch.Succeeded:
		in.sim.recordAnswer(now+in.returnDelay(e.req), e.req)
	case in.dispatcher.Retry(at, a, res):
		in.queued++
	default:
		in.giveUp(now, e.req)
	}
	in.dispatchQueued(now)
}

// giveUp refuses a request unless an attempt of it has started.
func (in *dispatchInstance) giveUp(now time.Duration, req int32) {
	if in.sim.outcomes[req].starts > 0 {
		return
	}
	in.sim.recordRefusal(now+in.returnDelay(req), req)
}

var resultKinds = map[attemptResult]dispatch.ResultKind{
	resDone:        dispatch.Succeeded,
	resTimeout:     dispatch.Failed,
	resFull:        dispatch.RefusedFull,
	resLeaving:     dispatch.RefusedLeaving,
	resUnreachable: dispatch.NotStarted,
	resFailed:      dispatch.Failed,
}

func (in *dispatchInstance) wake(now time.Duration) {
	if now < in.wakeAt {
		return
	}
	in.wakeAt = 0
	in.dispatchQueued(now)
}

// dispatchQueued expires and dispatches queued requests and schedules the next
// wakeup, as the requests duty does after each event.
func (in *dispatchInstance) dispatchQueued(now time.Duration) {
	at := timeOrigin.Add(now)
	for _, id := range in.dispatcher.Expire(at) {
		in.queued--
		in.giveUp(now, int32(id-1))
	}
	for {
		a, ok := in.dispatcher.Next(at)
		if !ok {
			break
		}
		in.queued--
		in.busy++
		in.sim.send(now, in.id, serverIndex[a.Server], int32(a.Item-1), a.Attempt, a.Limit)
	}
	next, ok := in.dispatcher.Wake(at)
	if !ok {
		return
	}
	wake := max(next.Sub(timeOrigin), now+1)
	if in.wakeAt > now && in.wakeAt <= wake {
		return
	}
	in.wakeAt = wake
	in.sim.events.add(event{at: wake, kind: evWake, instance: int32(in.id), incarnation: in.sim.incarnations[in.id]})
}

func (in *dispatchInstance) setInstances(now time.Duration, alive []int) {
	in.alive = alive
	in.setServers()
	in.dispatchQueued(now)
}

func (in *dispatchInstance) markLeaving(now time.Duration, leaving []int) {
	for _, s := range leaving {
		in.leaving[s] = true
	}
	in.setServers()
	in.dispatchQueued(now)
}

// setServers sets the servers and slots that the instance may use.
func (in *dispatchInstance) setServers() {
	var list []dispatch.Server
	in.slots = 0
	for i, id := range serverIDs {
		slots := in.slotsOf(i)
		if slots == 0 {
			continue
		}
		in.slots += slots
		list = append(list, dispatch.Server{ID: id, Slots: slots, Leaving: in.leaving[i]})
	}
	in.dispatcher.SetServers(list)
	if in.sharing != sharingByDemand {
		return
	}
	peers := make([]string, 0, len(in.alive))
	for _, id := range in.alive {
		if id != in.id {
			peers = append(peers, strconv.Itoa(id))
		}
	}
	in.dispatcher.SetInstances(strconv.Itoa(in.id), peers)
}

func (in *dispatchInstance) slotsOf(server int) int {
	switch in.sharing {
	case sharingSplit:
		return evenShare(server, in.id, in.alive)
	case sharingSubset:
		if assignedInstance(server, in.alive) != in.id {
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
	for i, other := range alive {
		if other == id && (i+server)%len(alive) < rest {
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

func (in *dispatchInstance) advertise(time.Duration) advert {
	return advert{free: in.slots - in.busy, demand: in.dispatcher.Demand()}
}

func (in *dispatchInstance) setAdverts(now time.Duration, adverts []advert) {
	if in.sharing != sharingByDemand {
		return
	}
	demand := make(map[string]int, len(adverts))
	for id, a := range adverts {
		demand[strconv.Itoa(id)] = a.demand
	}
	in.dispatcher.SetDemand(demand)
	in.dispatchQueued(now)
}
