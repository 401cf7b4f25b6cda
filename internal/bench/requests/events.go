package requests

import "time"

// eventKind is the type of a simulated event.
type eventKind uint8

const (
	evArrive eventKind = iota + 1
	evAttemptArrives
	evAttemptEnds
	evResult
	evWake
	evInstanceFails
	evInstanceRestarts
	evInstancesChanged
	evServersFail
	evServersLeaving
	evAdvertise
)

// event is a simulated event. The fields other than at, seq and kind are set
// only for the kinds that use them.
type event struct {
	at  time.Duration
	seq uint64
	// sent is the time at which an instance sent the attempt.
	sent time.Duration
	// limit is the time limit of an attempt. Zero means none.
	limit time.Duration
	req   int32
	// instance is the ID of the instance that an event concerns or that sent
	// the attempt.
	instance    int32
	server      int32
	attempt     int32
	incarnation int32
	kind        eventKind
	result      attemptResult
	// busy is the number of busy slots that a server reports with a result.
	busy int32
}

// attemptResult is the result of an attempt at a server.
type attemptResult uint8

const (
	resDone attemptResult = iota + 1
	resTimeout
	resFull
	resLeaving
	resUnreachable
	resFailed
)

// eventQueue is a binary heap of events ordered by time, then by insertion.
type eventQueue struct {
	heap []event
	seq  uint64
}

func (q *eventQueue) before(i, j int) bool {
	x, y := &q.heap[i], &q.heap[j]
	if x.at != y.at {
		return x.at < y.at
	}
	return x.seq < y.seq
}

func (q *eventQueue) add(e event) {
	q.seq++
	e.seq = q.seq
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.before(i, parent) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

func (q *eventQueue) next() (event, bool) {
	if len(q.heap) == 0 {
		return event{}, false
	}
	top := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap = q.heap[:last]
	q.siftDown()
	return top, true
}

// siftDown restores the heap order after the first event was replaced.
func (q *eventQueue) siftDown() {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if child+1 < len(q.heap) && q.before(child+1, child) {
			child++
		}
		if !q.before(child, i) {
			return
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
}
