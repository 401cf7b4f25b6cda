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

// sharing is a way in which the instances share the servers' slots.
type sharing int

const (
	// sharingChoices lets every instance use every slot: random choices, with
	// the servers' load told back.
	sharingChoices sharing = iota
	// sharingSplit gives every instance an even part of each server's slots.
	sharingSplit
	// sharingSubset gives every instance whole servers by rendezvous hashing,
	// and forwards requests to a peer that advertised free slots.
	sharingSubset
)

var (
	epoch     = time.Unix(0, 0)
	serverIDs = numbered("server")
	serverNum = numbers(serverIDs)
)

func numbered(prefix string) []string {
	ids := make([]string, servers)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%02d", prefix, i)
	}
	return ids
}

func numbers(ids []string) map[string]int {
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
	// report is reused for each answer's load.
	report port.BackendLoad
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
	err := n.d.Enqueue(epoch.Add(now), dispatch.Item{
		ID:         uint64(req) + 1,
		Workspace:  k.workspace,
		Service:    k.service,
		Class:      k.class,
		Repeatable: k.repeatable,
		Deadline:   epoch.Add(r.deadline - n.back(req)),
	})
	if err != nil {
		n.w.refuse(now+n.back(req), req)
		return
	}
	n.queued++
	n.pump(now)
}

// back is the time that a forwarded request's answer needs to its instance.
func (n *dispatchNode) back(req int32) time.Duration {
	if n.w.outcomes[req].forwarded {
		return n.w.trace.hop
	}
	return 0
}

// forward passes a request on when nothing is free here but was elsewhere.
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

func (n *dispatchNode) answer(now time.Duration, e event) {
	n.busy--
	at := epoch.Add(now)
	a := dispatch.Assignment{
		Item:    uint64(e.req) + 1,
		Server:  serverIDs[e.server],
		Attempt: int(e.attempt),
	}
	n.report = port.BackendLoad{Slots: slotsPerServer, Busy: int(e.busy), Leaving: e.result == resLeaving}
	res := dispatch.Result{
		Kind:      resultKinds[e.result],
		Load:      &n.report,
		Elapsed:   now - e.started,
		Abandoned: e.result == resCut,
	}
	if e.result == resUnreachable || n.sharing != sharingChoices {
		res.Load = nil
	}
	n.d.Done(at, a, res)
	switch {
	case res.Kind == dispatch.Succeeded:
		n.w.done(now+n.back(e.req), e.req)
	case n.d.Retry(at, a, res):
		n.queued++
	default:
		n.end(now, e.req)
	}
	n.pump(now)
}

// end gives a request up: it was not run, unless an attempt failed.
func (n *dispatchNode) end(now time.Duration, req int32) {
	if n.w.outcomes[req].starts > 0 {
		return
	}
	n.w.refuse(now+n.back(req), req)
}

var resultKinds = map[attemptResult]dispatch.ResultKind{
	resDone:        dispatch.Succeeded,
	resCut:         dispatch.Failed,
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
	n.pump(now)
}

// pump does what the duty does after each event.
func (n *dispatchNode) pump(now time.Duration) {
	at := epoch.Add(now)
	for _, id := range n.d.Expire(at) {
		n.queued--
		n.end(now, int32(id-1))
	}
	for {
		a, ok := n.d.Next(at)
		if !ok {
			break
		}
		n.queued--
		n.busy++
		n.w.send(now, n.id, serverNum[a.Server], int32(a.Item-1), a.Attempt, a.Limit)
	}
	next, ok := n.d.Wake(at)
	if !ok {
		return
	}
	wake := max(next.Sub(epoch), now+1)
	if n.wakeAt > now && n.wakeAt <= wake {
		return
	}
	n.wakeAt = wake
	n.w.agenda.add(event{at: wake, kind: evWake, node: int32(n.id), life: n.w.lives[n.id]})
}

func (n *dispatchNode) share(now time.Duration, alive []int) {
	n.alive = alive
	n.setServers()
	n.pump(now)
}

func (n *dispatchNode) listed(now time.Duration, leaving []int) {
	for _, s := range leaving {
		n.leaving[s] = true
	}
	n.setServers()
	n.pump(now)
}

// setServers tells the dispatcher which slots are the node's to use.
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
	if n.sharing != sharingChoices {
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
		return evenPart(server, n.id, n.alive)
	case sharingSubset:
		if owner(server, n.alive) != n.id {
			return 0
		}
	}
	return slotsPerServer
}

// evenPart is an instance's part of a server's slots; who gets one more goes
// round with the server's number.
func evenPart(server, id int, alive []int) int {
	slots := slotsPerServer / len(alive)
	rest := slotsPerServer % len(alive)
	for at, other := range alive {
		if other == id && (at+server)%len(alive) < rest {
			slots++
		}
	}
	return slots
}

// owner is a server's instance by rendezvous hashing.
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

func (n *dispatchNode) load(time.Duration) advert {
	return advert{free: n.slots - n.busy, demand: n.d.Demand()}
}

func (n *dispatchNode) demand(now time.Duration, adverts []advert) {
	if n.sharing != sharingChoices {
		return
	}
	demand := make(map[string]int, len(adverts))
	for id, a := range adverts {
		demand[strconv.Itoa(id)] = a.demand
	}
	n.d.SetDemand(demand)
	n.pump(now)
}
