package requests

import (
	"math/rand/v2"
	"time"
)

// fifoInstance is the first baseline. Each instance has one FIFO queue and an
// even share of each server's slots.
type fifoInstance struct {
	sim       *simulation
	id        int
	queue     []int32
	inFlight  []int
	slotShare []int
	cursor    int
}

func newFIFO(sim *simulation, id int) instance {
	return &fifoInstance{
		sim:       sim,
		id:        id,
		inFlight:  make([]int, servers),
		slotShare: make([]int, servers),
	}
}

func (n *fifoInstance) arrive(now time.Duration, req int32) {
	n.queue = append(n.queue, req)
	n.dispatchQueued(now)
}

func (n *fifoInstance) handleResult(now time.Duration, e event) {
	n.inFlight[e.server]--
	switch e.result {
	case resDone:
		n.sim.done(now, e.req)
	case resFull, resLeaving, resUnreachable:
		n.queue = append(n.queue, e.req)
	}
	n.dispatchQueued(now)
}

func (n *fifoInstance) dispatchQueued(now time.Duration) {
	for len(n.queue) > 0 {
		req := n.queue[0]
		if now >= n.sim.trace.requests[req].deadline {
			n.sim.refuse(now, req)
			n.queue = n.queue[1:]
			continue
		}
		s, ok := n.freeServer()
		if !ok {
			return
		}
		n.queue = n.queue[1:]
		n.inFlight[s]++
		n.sim.send(now, n.id, s, req, 1, 0)
	}
}

func (n *fifoInstance) freeServer() (int, bool) {
	for range servers {
		n.cursor = (n.cursor + 1) % servers
		if n.inFlight[n.cursor] < n.slotShare[n.cursor] {
			return n.cursor, true
		}
	}
	return 0, false
}

func (n *fifoInstance) wake(time.Duration) {}

func (n *fifoInstance) setInstances(now time.Duration, alive []int) {
	for s := range servers {
		n.slotShare[s] = evenShare(s, n.id, alive)
	}
	n.dispatchQueued(now)
}

func (n *fifoInstance) markLeaving(_ time.Duration, leaving []int) {
	for _, s := range leaving {
		n.slotShare[s] = 0
	}
}

func (n *fifoInstance) advertise(time.Duration) advert {
	return advert{}
}

func (n *fifoInstance) setAdverts(time.Duration, []advert) {}

// randomInstance is the second baseline. It sends each request immediately to a
// random server, which queues requests in FIFO order.
type randomInstance struct {
	sim     *simulation
	id      int
	rng     *rand.Rand
	leaving map[int]bool
}

func newRandom(sim *simulation, id int) instance {
	return &randomInstance{
		sim:     sim,
		id:      id,
		rng:     rand.New(rand.NewPCG(sim.trace.seed, uint64(id)+200)),
		leaving: make(map[int]bool),
	}
}

func (n *randomInstance) arrive(now time.Duration, req int32) {
	s := n.rng.IntN(servers)
	for n.leaving[s] {
		s = n.rng.IntN(servers)
	}
	n.sim.send(now, n.id, s, req, 1, 0)
}

func (n *randomInstance) handleResult(now time.Duration, e event) {
	switch e.result {
	case resDone:
		n.sim.done(now, e.req)
	case resLeaving, resUnreachable:
		n.arrive(now, e.req)
	}
}

func (n *randomInstance) wake(time.Duration) {}

func (n *randomInstance) setInstances(time.Duration, []int) {}

func (n *randomInstance) markLeaving(_ time.Duration, leaving []int) {
	for _, s := range leaving {
		n.leaving[s] = true
	}
}

func (n *randomInstance) advertise(time.Duration) advert {
	return advert{}
}

func (n *randomInstance) setAdverts(time.Duration, []advert) {}
