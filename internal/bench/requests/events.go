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
	at      time.Duration
	seq     uint64
	started time.Duration
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

func (a *eventQueue) before(i, j int) bool {
	x, y := &a.heap[i], &a.heap[j]
	if x.at != y.at {
		return x.at < y.at
	}
	return x.seq < y.seq
}

func (a *eventQueue) add(e event) {
	a.seq++
	e.seq = a.seq
	a.heap = append(a.heap, e)
	i := len(a.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !a.before(i, parent) {
			return
		}
		a.heap[i], a.heap[parent] = a.heap[parent], a.heap[i]
		i = parent
	}
}

func (a *eventQueue) next() (event, bool) {
	if len(a.heap) == 0 {
		return event{}, false
	}
	top := a.heap[0]
	last := len(a.heap) - 1
	a.heap[0] = a.heap[last]
	a.heap = a.heap[:last]
	a.siftDown()
	return top, true
}

// siftDown restores the heap order after the first event was replaced.
func (a *eventQueue) siftDown() {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(a.heap) {
			return
		}
		if child+1 < len(a.heap) && a.before(child+1, child) {
			child++
		}
		if !a.before(child, i) {
			return
		}
		a.heap[i], a.heap[child] = a.heap[child], a.heap[i]
		i = child
	}
}
