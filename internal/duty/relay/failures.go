package relay

import (
	"sync"
	"time"
)

// failures remembers when things last failed. The zero value is ready; it is
// safe for concurrent use.
type failures[K comparable] struct {
	mu sync.Mutex
	at map[K]time.Time
}

func (f *failures[K]) fail(key K) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.at == nil {
		f.at = map[K]time.Time{}
	}
	f.at[key] = time.Now()
}

func (f *failures[K]) clear(key K) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.at, key)
}

// within returns when key last failed, and false if that is span or more ago.
func (f *failures[K]) within(key K, span time.Duration) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.at[key]
	return at, ok && time.Since(at) < span
}
