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

func (in *fifoInstance) arrive(now time.Duration, req int32) {
	in.queue = append(in.queue, req)
	in.dispatchQueued(now)
}

func (in *fifoInstance) handleResult(now time.Duration, e event) {
	in.inFlight[e.server]--
	switch e.result {
	case resDone:
		in.sim.recordAnswer(now, e.req)
	case resFull, resLeaving, resUnreachable:
		in.queue = append(in.queue, e.req)
	}
	in.dispatchQueued(now)
}

func (in *fifoInstance) dispatchQueued(now time.Duration) {
	for len(in.queue) > 0 {
		req := in.queue[0]
		if now >= in.sim.trace.requests[req].deadline {
			in.sim.recordRefusal(now, req)
			in.queue = in.queue[1:]
			continue
		}
		s, ok := in.freeServer()
		if !ok {
			return
		}
		in.queue = in.queue[1:]
		in.inFlight[s]++
		in.sim.send(now, in.id, s, req, 1, 0)
	}
}

func (in *fifoInstance) freeServer() (int, bool) {
	for range servers {
		in.cursor = (in.cursor + 1) % servers
		if in.inFlight[in.cursor] < in.slotShare[in.cursor] {
			return in.cursor, true
		}
	}
	return 0, false
}

func (in *fifoInstance) wake(time.Duration) {}

func (in *fifoInstance) setInstances(now time.Duration, alive []int) {
	for s := range servers {
		in.slotShare[s] = evenShare(s, in.id, alive)
	}
	in.dispatchQueued(now)
}

func (in *fifoInstance) markLeaving(_ time.Duration, leaving []int) {
	for _, s := range leaving {
		in.slotShare[s] = 0
	}
}

func (in *fifoInstance) advertise(time.Duration) advert {
	return advert{}
}

func (in *fifoInstance) setAdverts(time.Duration, []advert) {}

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

func (in *randomInstance) arrive(now time.Duration, req int32) {
	s := in.rng.IntN(servers)
	for in.leaving[s] {
		s = in.rng.IntN(servers)
	}
	in.sim.send(now, in.id, s, req, 1, 0)
}

func (in *randomInstance) handleResult(now time.Duration, e event) {
	switch e.result {
	case resDone:
		in.sim.recordAnswer(now, e.req)
	case resLeaving, resUnreachable:
		in.arrive(now, e.req)
	}
}

func (in *randomInstance) wake(time.Duration) {}

func (in *randomInstance) setInstances(time.Duration, []int) {}

func (in *randomInstance) markLeaving(_ time.Duration, leaving []int) {
	for _, s := range leaving {
		in.leaving[s] = true
	}
}

func (in *randomInstance) advertise(time.Duration) advert {
	return advert{}
}

func (in *randomInstance) setAdverts(time.Duration, []advert) {}
