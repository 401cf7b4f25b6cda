package fake

import (
	"slices"
	"sync"
)

// Held are values that hold until each of them is released. The zero value holds none.
// It is safe for concurrent use.
type Held[T any] struct {
	mu     sync.Mutex
	values []*T
}

// Hold adds a value until release is called.
func (h *Held[T]) Hold(value T) (release func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := &value
	h.values = append(h.values, held)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.values = slices.DeleteFunc(h.values, func(other *T) bool { return other == held })
	}
}

// Values returns the values that hold now, the latest last.
func (h *Held[T]) Values() []T {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]T, len(h.values))
	for i, value := range h.values {
		out[i] = *value
	}
	return out
}
