package requests

import (
	"math"
	"slices"
	"time"
)

// p99Score is the standard score of the 99th percentile. arrivalOrderClairvoyant
// reserves time for run times up to this percentile of the distribution without
// the tail.
const p99Score = 2.33

// arrivalOrderClairvoyant simulates a trace like clairvoyant, but serves urgent
// requests in order of arrival. It refuses an urgent request on arrival if the
// request can't finish in time. For this check, it assumes the 99th percentile of
// the service's run times without the tail, or the actual run time if that is
// longer, so that it never favors the shorter of two runs within that percentile.
// It excludes failed servers without delay.
func arrivalOrderClairvoyant(t *trace) []outcome {
	outcomes := make([]outcome, len(t.requests))
	free := newSlots(totalSlots)
	var batch []int32
	failed := false
	for i := range t.requests {
		r := &t.requests[i]
		if f := t.faults.serversFail; f > 0 && !failed && r.at >= f {
			failed = true
			free.drop(3 * slotsPerServer)
		}
		ready := r.at + t.hop
		batch = startBatch(t, free, batch, ready, outcomes)
		if !t.urgent(int32(i)) {
			batch = append(batch, int32(i))
			continue
		}
		start := max(ready, free.earliest())
		longest := max(r.run, p99Run(t.kinds[r.kind]))
		o := &outcomes[i]
		if start+longest+t.hop > r.deadline {
			o.refused, o.ended = true, r.at
			continue
		}
		free.take(start + r.run)
		o.complete(start, start+r.run+t.hop)
	}
	return outcomes
}

// startBatch starts queued non-urgent requests on slots that become free by until
// and that no urgent request waits for. It returns the requests that are still
// queued.
func startBatch(t *trace, free *slots, batch []int32, until time.Duration, outcomes []outcome) []int32 {
	for len(batch) > 0 && free.earliest() <= until {
		r := &t.requests[batch[0]]
		start := max(r.at+t.hop, free.earliest())
		free.take(start + r.run)
		outcomes[batch[0]].complete(start, start+r.run+t.hop)
		batch = batch[1:]
	}
	return batch
}

func (o *outcome) complete(start, end time.Duration) {
	o.starts, o.attempts = 1, 1
	o.started = start
	o.ended = end
	o.done = true
}

func p99Run(k requestKind) time.Duration {
	return time.Duration(float64(k.median) * math.Exp(sigma*p99Score))
}

// slots is a heap of the times at which slots become free.
type slots struct {
	freeTimes eventQueue
}

func newSlots(n int) *slots {
	s := &slots{}
	for range n {
		s.freeTimes.add(event{})
	}
	return s
}

func (s *slots) earliest() time.Duration {
	return s.freeTimes.heap[0].at
}

func (s *slots) take(until time.Duration) {
	s.freeTimes.next()
	s.freeTimes.add(event{at: until})
}

// drop removes n slots, evenly spread over the heap.
func (s *slots) drop(n int) {
	every := len(s.freeTimes.heap) / n
	kept := slices.Clone(s.freeTimes.heap)
	s.freeTimes.heap = s.freeTimes.heap[:0]
	for i, e := range kept {
		if i%every != 0 || i/every >= n {
			s.freeTimes.add(e)
		}
	}
}
