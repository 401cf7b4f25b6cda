package requests

import (
	"math/rand/v2"
	"time"
)

// fifoNode is the first baseline. Each instance has one FIFO queue and an even
// share of each server's slots.
type fifoNode struct {
	w         *world
	id        int
	queue     []int32
	inFlight  []int
	slotShare []int
	cursor    int
}

func newFIFO(w *world, id int) node {
	return &fifoNode{
		w:         w,
		id:        id,
		inFlight:  make([]int, servers),
		slotShare: make([]int, servers),
	}
}

func (n *fifoNode) arrive(now time.Duration, req int32) {
	n.queue = append(n.queue, req)
	n.dispatchQueued(now)
}

func (n *fifoNode) handleResult(now time.Duration, e event) {
	n.inFlight[e.server]--
	switch e.result {
	case resDone:
		n.w.done(now, e.req)
	case resFull, resLeaving, resUnreachable:
		n.queue = append(n.queue, e.req)
	}
	n.dispatchQueued(now)
}

func (n *fifoNode) dispatchQueued(now time.Duration) {
	for len(n.queue) > 0 {
		req := n.queue[0]
		if now >= n.w.trace.requests[req].deadline {
			n.w.refuse(now, req)
			n.queue = n.queue[1:]
			continue
		}
		s, ok := n.freeServer()
		if !ok {
			return
		}
		n.queue = n.queue[1:]
		n.inFlight[s]++
		n.w.send(now, n.id, s, req, 1, 0)
	}
}

func (n *fifoNode) freeServer() (int, bool) {
	for range servers {
		n.cursor = (n.cursor + 1) % servers
		if n.inFlight[n.cursor] < n.slotShare[n.cursor] {
			return n.cursor, true
		}
	}
	return 0, false
}

func (n *fifoNode) wake(time.Duration) {}

func (n *fifoNode) setInstances(now time.Duration, alive []int) {
	for s := range servers {
		n.slotShare[s] = evenShare(s, n.id, alive)
	}
	n.dispatchQueued(now)
}

func (n *fifoNode) markLeaving(_ time.Duration, leaving []int) {
	for _, s := range leaving {
		n.slotShare[s] = 0
	}
}

func (n *fifoNode) advertise(time.Duration) advert {
	return advert{}
}

func (n *fifoNode) setAdverts(time.Duration, []advert) {}

// randomNode is the second baseline. It sends each request immediately to a
// random server, which queues requests in FIFO order.
type randomNode struct {
	w       *world
	id      int
	rng     *rand.Rand
	leaving map[int]bool
}

func newRandom(w *world, id int) node {
	return &randomNode{
		w:       w,
		id:      id,
		rng:     rand.New(rand.NewPCG(w.trace.seed, uint64(id)+200)),
		leaving: make(map[int]bool),
	}
}

func (n *randomNode) arrive(now time.Duration, req int32) {
	s := n.rng.IntN(servers)
	for n.leaving[s] {
		s = n.rng.IntN(servers)
	}
	n.w.send(now, n.id, s, req, 1, 0)
}

func (n *randomNode) handleResult(now time.Duration, e event) {
	switch e.result {
	case resDone:
		n.w.done(now, e.req)
	case resLeaving, resUnreachable:
		n.arrive(now, e.req)
	}
}

func (n *randomNode) wake(time.Duration) {}

func (n *randomNode) setInstances(time.Duration, []int) {}

func (n *randomNode) markLeaving(_ time.Duration, leaving []int) {
	for _, s := range leaving {
		n.leaving[s] = true
	}
}

func (n *randomNode) advertise(time.Duration) advert {
	return advert{}
}

func (n *randomNode) setAdverts(time.Duration, []advert) {}
