// Package ring provides the bounded queues that join duties.
package ring

import (
	"context"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Ring is a bounded first-in first-out queue for any number of producers and
// consumers. Push and Offer refuse when it is full and never block.
type Ring[T any] struct {
	name string
	ch   chan T
}

// New returns a ring for up to capacity items. The name appears in failures.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{name: name, ch: make(chan T, capacity)}
}

// Push adds an item. It fails with fault.Overloaded when the ring is full.
func (r *Ring[T]) Push(item T) error {
	select {
	case r.ch <- item:
		return nil
	default:
		return fault.New(fault.Overloaded, "ring "+r.name+" is full")
	}
}

// Offer adds an item unless the ring is full and reports whether it did. It
// suits hints, whose loss a periodic poll makes good.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.ch <- item:
		return true
	default:
		return false
	}
}

// PushWait adds an item, waiting for room until ctx ends. It then fails with
// ctx's error. It suits producers that may be slowed down.
func (r *Ring[T]) PushWait(ctx context.Context, item T) error {
	select {
	case r.ch <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes the oldest item, waiting for one until ctx ends. It then fails
// with ctx's error.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-r.ch:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Drain removes up to limit items without waiting and appends them to into.
func (r *Ring[T]) Drain(into []T, limit int) []T {
	for range limit {
		select {
		case item := <-r.ch:
			into = append(into, item)
		default:
			return into
		}
	}
	return into
}

// C returns the receiving side for use in select statements.
func (r *Ring[T]) C() <-chan T {
	return r.ch
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.ch)
}
