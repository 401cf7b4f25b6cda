// Package ring provides the bounded queues through which the goroutines of an
// instance pass items and wake-ups to each other.
package ring

import (
	"context"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Ring is a bounded FIFO queue for multiple producers and consumers. Push and
// TryPush never block and reject the item when the ring is full.
type Ring[T any] struct {
	// name identifies the ring in errors.
	name string
	ch   chan T
}

// New returns a ring for up to capacity items. The name appears in errors.
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

// TryPush adds an item unless the ring is full and reports whether it was added.
// It is meant for hints, whose loss is made up for by a periodic poll.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.ch <- item:
		return true
	default:
		return false
	}
}

// PushWait adds an item and waits while the ring is full. It fails with ctx's
// error when ctx ends first. It is meant for producers that tolerate
// backpressure.
func (r *Ring[T]) PushWait(ctx context.Context, item T) error {
	select {
	case r.ch <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes and returns the oldest item and waits while the ring is empty. It
// fails with ctx's error when ctx ends first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-r.ch:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Drain removes up to limit items without waiting, appends them to into and
// returns the result.
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

// C returns the receive channel, for use in select statements.
func (r *Ring[T]) C() <-chan T {
	return r.ch
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.ch)
}
