package requests

import (
	"container/heap"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// requestOrder reports whether queued request a is served before b.
type requestOrder func(t *trace, a, b int32) bool

// byDeadline orders by class, urgent first, then by deadline.
func byDeadline(t *trace, a, b int32) bool {
	x, y := &t.requests[a], &t.requests[b]
	if c := t.rank(a) - t.rank(b); c != 0 {
		return c < 0
	}
	if x.deadline != y.deadline {
		return x.deadline < y.deadline
	}
	return a < b
}

// byRun orders by class, urgent first, then by actual run time.
func byRun(t *trace, a, b int32) bool {
	x, y := &t.requests[a], &t.requests[b]
	if c := t.rank(a) - t.rank(b); c != 0 {
		return c < 0
	}
	if x.run != y.run {
		return x.run < y.run
	}
	return a < b
}

func (t *trace) rank(req int32) int {
	return t.kinds[t.requests[req].kind].class.Rank()
}

func (t *trace) urgent(req int32) bool {
	return t.kinds[t.requests[req].kind].class == structs.ClassUrgent
}

// requestQueue is a heap of queued requests in the given order.
type requestQueue struct {
	t    *trace
	less requestOrder
	reqs []int32
}

func (q *requestQueue) Len() int           { return len(q.reqs) }
func (q *requestQueue) Less(i, j int) bool { return q.less(q.t, q.reqs[i], q.reqs[j]) }
func (q *requestQueue) Swap(i, j int)      { q.reqs[i], q.reqs[j] = q.reqs[j], q.reqs[i] }
func (q *requestQueue) Push(x any)         { q.reqs = append(q.reqs, x.(int32)) }
func (q *requestQueue) Pop() any {
	last := len(q.reqs) - 1
	x := q.reqs[last]
	q.reqs = q.reqs[:last]
	return x
}

// clairvoyant simulates a trace with one central queue. It observes slots and
// starts requests on free slots without delay, and never starts a request that
// can't meet its deadline.
func clairvoyant(t *trace, less requestOrder) []outcome {
	outcomes := make([]outcome, len(t.requests))
	queue := &requestQueue{t: t, less: less}
	var events eventQueue
	slots, busy := totalSlots, 0
	start := func(now time.Duration) {
		for busy < slots && queue.Len() > 0 {
			req := heap.Pop(queue).(int32)
			r := &t.requests[req]
			o := &outcomes[req]
			if now+r.run+t.hop > r.deadline {
				o.refused, o.ended = true, now
				continue
			}
			busy++
			o.starts, o.attempts = 1, 1
			o.started = now
			events.add(event{at: now + r.run, kind: evAttemptEnds, req: req})
		}
	}
	if f := t.faults; f.serversFail > 0 {
		events.add(event{at: f.serversFail, kind: evServersFail})
	}
	nextRequest := 0
	for {
		arrival := t.end
		if nextRequest < len(t.requests) {
			arrival = t.requests[nextRequest].at + t.hop
		}
		if len(events.heap) > 0 && events.heap[0].at <= arrival {
			e, _ := events.next()
			if e.kind == evServersFail {
				slots -= 3 * slotsPerServer
				continue
			}
			busy--
			outcomes[e.req].done = true
			outcomes[e.req].ended = e.at + t.hop
			start(e.at)
			continue
		}
		if nextRequest == len(t.requests) {
			return outcomes
		}
		heap.Push(queue, int32(nextRequest))
		nextRequest++
		start(arrival)
	}
}
