package ingress

import (
	"container/heap"
	"context"
	"runtime"
	"sync"
)

// freeBytes is how much of a request is parsed without a turn. It holds the header and
// the body of ordinary submissions.
const freeBytes = 8 << 10

// turns bounds how many bodies are parsed at the same time, whatever their number. A
// body in chunks of one byte takes six times its size to parse, and a request whose
// bytes have arrived would otherwise wait for all such bodies that have bytes, too. The
// body of which least has been parsed goes first, so that small ones don't wait for
// large ones. It is safe for concurrent use.
type turns struct {
	mu      sync.Mutex
	free    int
	waiting turnQueue
	opened  uint64
}

// newTurns returns turns for limit bodies at the same time.
func newTurns(limit int) *turns { return &turns{free: limit} }

// turn is a body's place among the others. It must be closed.
type turn struct {
	turns *turns
	// order is the number of turns that were opened before.
	order uint64

	// The fields below are guarded by turns.mu.
	parsed   int64 // bytes on the wire, with the part that is parsed now
	isHeld   bool
	isClosed bool
	index    int           // in turns.waiting
	granted  chan struct{} // closed once a waiting turn is held or closed; nil if not waiting
}

func (t *turns) open() *turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opened++
	return &turn{turns: t, order: t.opened}
}

// take waits until n more bytes of the body may be parsed. Only bytes beyond freeBytes
// wait. It fails with the error of ctx if that ends first. The turn is held until release.
func (t *turn) take(ctx context.Context, n int) error {
	granted := t.request(n)
	if granted == nil {
		return nil
	}
	select {
	case <-granted:
		// Everything else that can run goes first. The runtime would prefer this
		// goroutine, which was woken by that of the previous turn.
		runtime.Gosched()
		return nil
	case <-ctx.Done():
		t.release()
		return context.Cause(ctx)
	}
}

// request counts n bytes and takes the turn if one is free. Otherwise it returns a
// channel that is closed once the turn is held.
func (t *turn) request(n int) <-chan struct{} {
	t.turns.mu.Lock()
	defer t.turns.mu.Unlock()
	t.parsed += int64(n)
	if t.isClosed || t.parsed <= freeBytes {
		return nil
	}
	if t.turns.free > 0 {
		t.turns.free--
		t.isHeld = true
		return nil
	}
	t.granted = make(chan struct{})
	heap.Push(&t.turns.waiting, t)
	return t.granted
}

// release ends the turn until the next take.
func (t *turn) release() {
	t.turns.mu.Lock()
	defer t.turns.mu.Unlock()
	t.turns.release(t)
}

// close releases the turn for good. A later take returns at once.
func (t *turn) close() {
	t.turns.mu.Lock()
	defer t.turns.mu.Unlock()
	t.isClosed = true
	t.turns.release(t)
}

// release passes a held turn on and takes a waiting one out of the queue. The caller
// holds t.mu.
func (t *turns) release(from *turn) {
	if from.granted != nil {
		heap.Remove(&t.waiting, from.index)
		from.grant()
	}
	if !from.isHeld {
		return
	}
	from.isHeld = false
	if t.waiting.Len() == 0 {
		t.free++
		return
	}
	next := heap.Pop(&t.waiting).(*turn)
	next.isHeld = true
	next.grant()
}

func (t *turn) grant() {
	close(t.granted)
	t.granted = nil
}

// turnQueue implements heap.Interface.
type turnQueue []*turn

func (q turnQueue) Len() int { return len(q) }

func (q turnQueue) Less(i, j int) bool {
	if q[i].parsed != q[j].parsed {
		return q[i].parsed < q[j].parsed
	}
	return q[i].order < q[j].order
}

func (q turnQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *turnQueue) Push(x any) {
	t := x.(*turn)
	t.index = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *turnQueue) Pop() any {
	last := len(*q) - 1
	t := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return t
}
