package requests

import (
	"math"
	"slices"
	"time"
)

// ordinaryQuantile is the standard score of the longest run, but for the tail,
// that the neutral clairvoyant leaves time for.
const ordinaryQuantile = 2.33

// neutralClairvoyant plays a trace as clairvoyant does, in order of arrival.
// It refuses on arrival whom it could not serve in time, leaving each caller of
// a service the same time to run, up to the 99th percentile: it never picks
// the shorter of two ordinary runs. Servers that fail are known.
func neutralClairvoyant(t *trace) []outcome {
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
		longest := max(r.run, ordinaryRun(t.kinds[r.kind]))
		o := &outcomes[i]
		if start+longest+t.hop > r.deadline {
			o.refused, o.ended = true, r.at
			continue
		}
		free.take(start + r.run)
		o.finish(start, start+r.run+t.hop)
	}
	return outcomes
}

// startBatch starts queued long work on slots that no urgent work waits for.
func startBatch(t *trace, free *slots, batch []int32, until time.Duration, outcomes []outcome) []int32 {
	for len(batch) > 0 && free.earliest() <= until {
		r := &t.requests[batch[0]]
		start := max(r.at+t.hop, free.earliest())
		free.take(start + r.run)
		outcomes[batch[0]].finish(start, start+r.run+t.hop)
		batch = batch[1:]
	}
	return batch
}

func (o *outcome) finish(start, end time.Duration) {
	o.starts, o.attempts = 1, 1
	o.started = start
	o.ended = end
	o.done = true
}

func ordinaryRun(k kindSpec) time.Duration {
	return time.Duration(float64(k.median) * math.Exp(sigma*ordinaryQuantile))
}

// slots is a heap of the times at which slots become free.
type slots struct {
	ends agenda
}

func newSlots(n int) *slots {
	s := &slots{}
	for range n {
		s.ends.add(event{})
	}
	return s
}

func (s *slots) earliest() time.Duration {
	return s.ends.heap[0].at
}

func (s *slots) take(until time.Duration) {
	s.ends.next()
	s.ends.add(event{at: until})
}

// drop removes every k-th slot, n in all.
func (s *slots) drop(n int) {
	every := len(s.ends.heap) / n
	kept := slices.Clone(s.ends.heap)
	s.ends.heap = s.ends.heap[:0]
	for i, e := range kept {
		if i%every != 0 || i/every >= n {
			s.ends.add(e)
		}
	}
}
