package requests

import (
	"math/rand/v2"
	"time"
)

// fifoNode is the first baseline: one first-in first-out queue for each
// instance and an even part of each server's slots.
type fifoNode struct {
	w        *world
	id       int
	queue    []int32
	inFlight []int
	part     []int
	cursor   int
}

func newFIFO(w *world, id int) node {
	return &fifoNode{
		w:        w,
		id:       id,
		inFlight: make([]int, servers),
		part:     make([]int, servers),
	}
}

func (n *fifoNode) arrive(now time.Duration, req int32) {
	n.queue = append(n.queue, req)
	n.pump(now)
}

func (n *fifoNode) answer(now time.Duration, e event) {
	n.inFlight[e.server]--
	switch e.result {
	case resDone:
		n.w.done(now, e.req)
	case resFull, resLeaving, resUnreachable:
		n.queue = append(n.queue, e.req)
	}
	n.pump(now)
}

func (n *fifoNode) pump(now time.Duration) {
	for len(n.queue) > 0 {
		req := n.queue[0]
		if now >= n.w.trace.requests[req].deadline {
			n.w.refuse(now, req)
			n.queue = n.queue[1:]
			continue
		}
		s, ok := n.free()
		if !ok {
			return
		}
		n.queue = n.queue[1:]
		n.inFlight[s]++
		n.w.send(now, n.id, s, req, 1, 0)
	}
}

func (n *fifoNode) free() (int, bool) {
	for range servers {
		n.cursor = (n.cursor + 1) % servers
		if n.inFlight[n.cursor] < n.part[n.cursor] {
			return n.cursor, true
		}
	}
	return 0, false
}

func (n *fifoNode) wake(time.Duration) {}

func (n *fifoNode) share(now time.Duration, alive []int) {
	for s := range servers {
		n.part[s] = evenPart(s, n.id, alive)
	}
	n.pump(now)
}

func (n *fifoNode) listed(_ time.Duration, leaving []int) {
	for _, s := range leaving {
		n.part[s] = 0
	}
}

func (n *fifoNode) load(time.Duration) advert {
	return advert{}
}

func (n *fifoNode) demand(time.Duration, []advert) {}

// randomNode is the second baseline: each request goes at once to a random
// server, which queues it first in, first out.
type randomNode struct {
	w    *world
	id   int
	rng  *rand.Rand
	gone map[int]bool
}

func newRandom(w *world, id int) node {
	return &randomNode{
		w:    w,
		id:   id,
		rng:  rand.New(rand.NewPCG(w.trace.seed, uint64(id)+200)),
		gone: make(map[int]bool),
	}
}

func (n *randomNode) arrive(now time.Duration, req int32) {
	s := n.rng.IntN(servers)
	for n.gone[s] {
		s = n.rng.IntN(servers)
	}
	n.w.send(now, n.id, s, req, 1, 0)
}

func (n *randomNode) answer(now time.Duration, e event) {
	switch e.result {
	case resDone:
		n.w.done(now, e.req)
	case resLeaving, resUnreachable:
		n.arrive(now, e.req)
	}
}

func (n *randomNode) wake(time.Duration) {}

func (n *randomNode) share(time.Duration, []int) {}

func (n *randomNode) listed(_ time.Duration, leaving []int) {
	for _, s := range leaving {
		n.gone[s] = true
	}
}

func (n *randomNode) load(time.Duration) advert {
	return advert{}
}

func (n *randomNode) demand(time.Duration, []advert) {}
