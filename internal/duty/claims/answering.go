package claims

import (
	"errors"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// commitHealth tracks whether the table replied to the last commit, or failed to
// reply to a read since. It is safe for concurrent use.
type commitHealth struct {
	// window is the time after a failure during which healthy returns false,
	// unless the table replies to a commit before.
	window time.Duration

	mu          sync.Mutex
	lastFailure time.Time
}

// healthy reports whether a commit is likely to succeed: no failure was
// recorded within the window, or the table has replied to a commit since.
func (h *commitHealth) healthy(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastFailure.IsZero() || now.Sub(h.lastFailure) > h.window
}

func (h *commitHealth) recordFailure(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastFailure = now
}

// recordResult records the result of a commit. A conflict counts as a
// reply.
func (h *commitHealth) recordResult(now time.Time, err error) {
	var conflict *port.ConflictError
	noReply := fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Uncertain)
	if noReply && !errors.As(err, &conflict) {
		h.recordFailure(now)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastFailure = time.Time{}
}
