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

// dispatchNode is an instance that runs a dispatch.Dispatcher.
type dispatchNode struct {
	w       *world
	id      int
	d       *dispatch.Dispatcher
	sharing sharing
	alive   []int
	leaving map[int]bool
	wakeAt  time.Duration
	queued  int
	busy    int
	slots   int
	// serverLoad is the load of the latest result, reused to avoid allocations.
	serverLoad port.BackendLoad
}

func dispatchNodes(s sharing, settings dispatch.Settings) func(*world, int) node {
	return func(w *world, id int) node {
		settings := settings
		settings.Rand = rand.New(rand.NewPCG(w.trace.seed, uint64(id)+100))
		n := &dispatchNode{
			w:       w,
			id:      id,
			d:       dispatch.New(settings),
			sharing: s,
			leaving: make(map[int]bool),
		}
		n.d.SetConfig(w.trace.workspaces, w.trace.services)
		return n
	}
}

func (n *dispatchNode) arrive(now time.Duration, req int32) {
	if n.forward(now, req) {
		return
	}
	r := &n.w.trace.requests[req]
	k := &n.w.trace.kinds[r.kind]
	err := n.d.Enqueue(timeOrigin.Add(now), dispatch.Item{
		ID:         uint64(req) + 1,
		Workspace:  k.workspace,
		Service:    k.service,
		Class:      k.class,
		Repeatable: k.repeatable,
		Deadline:   timeOrigin.Add(r.deadline - n.returnDelay(req)),
	})
	if err != nil {
		n.w.refuse(now+n.returnDelay(req), req)
		return
	}
	n.queued++
	n.dispatchQueued(now)
}

// returnDelay is the extra delay of a forwarded request's answer on its way
// back to the entry instance.
func (n *dispatchNode) returnDelay(req int32) time.Duration {
	if n.w.outcomes[req].forwarded {
		return n.w.trace.hop
	}
	return 0
}

// forward sends a request to the peer that advertised the most free slots if
// this node has no free slot. It reports whether it forwarded the request.
func (n *dispatchNode) forward(now time.Duration, req int32) bool {
	o := &n.w.outcomes[req]
	if n.sharing != sharingSubset || o.forwarded || n.busy < n.slots {
		return false
	}
	best, free := -1, 0
	for _, id := range n.alive {
		if a := n.w.adverts[id]; id != n.id && a.free > free {
			best, free = id, a.free
		}
	}
	if best < 0 {
		return false
	}
	n.w.adverts[best].free--
	o.forwarded = true
	n.w.agenda.add(event{at: now + n.w.trace.hop, kind: evArrive, req: req, node: int32(best)})
	return true
}

func (n *dispatchNode) handleResult(now time.Duration, e event) {
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
	n.d.Done(at, a, res)
	switch {
	case res.Kind == dispatch.Succeeded:
		n.w.done(now+n.returnDelay(e.req), e.req)
	case n.d.Retry(at, a, res):
		n.queued++
	default:
		n.giveUp(now, e.req)
	}
	n.dispatchQueued(now)
}

// giveUp refuses a request unless an attempt of it has started.
func (n *dispatchNode) giveUp(now time.Duration, req int32) {
	if n.w.outcomes[req].starts > 0 {
		return
	}
	n.w.refuse(now+n.returnDelay(req), req)
}

var resultKinds = map[attemptResult]dispatch.ResultKind{
	resDone:        dispatch.Succeeded,
	resTimeout:     dispatch.Failed,
	resFull:        dispatch.RefusedFull,
	resLeaving:     dispatch.RefusedLeaving,
	resUnreachable: dispatch.NotStarted,
	resFailed:      dispatch.Failed,
}

func (n *dispatchNode) wake(now time.Duration) {
	if now < n.wakeAt {
		return
	}
	n.wakeAt = 0
	n.dispatchQueued(now)
}

// dispatchQueued expires and dispatches queued requests and schedules the next
// wakeup, as the requests duty does after each event.
func (n *dispatchNode) dispatchQueued(now time.Duration) {
	at := timeOrigin.Add(now)
	for _, id := range n.d.Expire(at) {
		n.queued--
		n.giveUp(now, int32(id-1))
	}
	for {
		a, ok := n.d.Next(at)
		if !ok {
			break
		}
		n.queued--
		n.busy++
		n.w.send(now, n.id, serverIndex[a.Server], int32(a.Item-1), a.Attempt, a.Limit)
	}
	next, ok := n.d.Wake(at)
	if !ok {
		return
	}
	wake := max(next.Sub(timeOrigin), now+1)
	if n.wakeAt > now && n.wakeAt <= wake {
		return
	}
	n.wakeAt = wake
	n.w.agenda.add(event{at: wake, kind: evWake, node: int32(n.id), incarnation: n.w.incarnations[n.id]})
}

func (n *dispatchNode) setInstances(now time.Duration, alive []int) {
	n.alive = alive
	n.setServers()
	n.dispatchQueued(now)
}

func (n *dispatchNode) markLeaving(now time.Duration, leaving []int) {
	for _, s := range leaving {
		n.leaving[s] = true
	}
	n.setServers()
	n.dispatchQueued(now)
}

// setServers sets the servers and slots that the node may use.
func (n *dispatchNode) setServers() {
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
	n.d.SetServers(list)
	if n.sharing != sharingAll {
		return
	}
	peers := make([]string, 0, len(n.alive))
	for _, id := range n.alive {
		if id != n.id {
			peers = append(peers, strconv.Itoa(id))
		}
	}
	n.d.SetInstances(strconv.Itoa(n.id), peers)
}

func (n *dispatchNode) slotsOf(server int) int {
	switch n.sharing {
	case sharingSplit:
		return evenShare(server, n.id, n.alive)
	case sharingSubset:
		if owner(server, n.alive) != n.id {
			return 0
		}
	}
	return slotsPerServer
}

// evenShare returns an instance's share of a server's slots. The remainder
// rotates over the instances with the server's index.
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

// owner returns the instance that rendezvous hashing assigns a server to.
func owner(server int, alive []int) int {
	best, top := -1, uint64(0)
	for _, id := range alive {
		h := xxhash.Sum64String(fmt.Sprintf("%s/%d", serverIDs[server], id))
		if best < 0 || h > top {
			best, top = id, h
		}
	}
	return best
}

func (n *dispatchNode) advertise(time.Duration) advert {
	return advert{free: n.slots - n.busy, demand: n.d.Demand()}
}

func (n *dispatchNode) setAdverts(now time.Duration, adverts []advert) {
	if n.sharing != sharingAll {
		return
	}
	demand := make(map[string]int, len(adverts))
	for id, a := range adverts {
		demand[strconv.Itoa(id)] = a.demand
	}
	n.d.SetDemand(demand)
	n.dispatchQueued(now)
}
