package relay

import (
	"sync"
	"time"
)

// failures records the time of each key's last failure. The zero value is ready to
// use. It is safe for concurrent use.
type failures[K comparable] struct {
	mu sync.Mutex
	at map[K]time.Time
}

func (f *failures[K]) record(key K) {
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

// failedWithin returns the time of key's last failure, and reports whether it is
// less than span ago.
func (f *failures[K]) failedWithin(key K, span time.Duration) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.at[key]
	return at, ok && time.Since(at) < span
}
