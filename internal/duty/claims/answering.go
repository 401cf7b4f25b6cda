package claims

import (
	"errors"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// answering remembers whether the table took the last commit. It is safe for
// concurrent use.
type answering struct {
	// window is how long a failure counts.
	window time.Duration

	mu       sync.Mutex
	failedAt time.Time
}

// hopeful reports whether a commit is worth waiting for.
func (a *answering) hopeful(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failedAt.IsZero() || now.Sub(a.failedAt) > a.window
}

func (a *answering) failed(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failedAt = now
}

// note learns from a commit's end. A conflict is an answer.
func (a *answering) note(now time.Time, err error) {
	var conflict *port.ConflictError
	silent := fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Uncertain)
	if silent && !errors.As(err, &conflict) {
		a.failed(now)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failedAt = time.Time{}
}
