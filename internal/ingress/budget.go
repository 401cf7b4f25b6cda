package ingress

import (
	"container/list"
	"time"
)

// Reason tells why a body or a connection was refused or aborted. It is the value of
// a metric's tag.
type Reason string

const (
	// ReasonBudget means that the byte budget was exhausted.
	ReasonBudget Reason = "budget"
	// ReasonProcessing means that the memory for decoding and processing complete
	// bodies stayed in use until the call's deadline.
	ReasonProcessing Reason = "processing"
	// ReasonStalled means that a body made no progress or wasn't complete by its
	// deadline.
	ReasonStalled Reason = "stalled"
	// ReasonTooLarge means that a body exceeds the permitted size.
	ReasonTooLarge Reason = "too_large"
	// ReasonHeaders means that a request has too many header lines.
	ReasonHeaders Reason = "headers"
	// ReasonConnections means that a listener's connections were exhausted.
	ReasonConnections Reason = "connections"
)

// ledger decides which bodies may take bytes of the budget, and which are aborted for
// it. Bodies are incomplete while they are being received. It does no I/O and isn't
// safe for concurrent use.
type ledger struct {
	// limit is the budget of all bodies, and largeLimit the part of it that bodies
	// above smallBytes may use.
	limit, largeLimit, smallBytes int64

	held int64
	// aborting is what aborted bodies hold until they are closed.
	aborting   int64
	incomplete list.List // of *entry, oldest first
}

// entry is a body in the ledger.
type entry struct {
	openedAt time.Duration
	held     int64
	element  *list.Element // nil once the body is complete or has left the ledger
	gone     bool
	aborting bool // aborted and not closed yet
}

func newLedger(limit int64) *ledger {
	l := &ledger{limit: limit, largeLimit: limit / 4 * 3, smallBytes: smallBodyBytes}
	return l
}

// open adds an incomplete body without bytes.
func (l *ledger) open(now time.Duration) *entry {
	e := &entry{openedAt: now}
	e.element = l.incomplete.PushBack(e)
	return e
}

// reserve gives n more bytes to a body. If the budget is exhausted, it takes the
// incomplete bodies that have been open longest out of the ledger, which the caller
// must abort, until the bytes are free. A body is refused if only newer bodies or
// complete ones hold the budget; it then stays in the ledger until it is closed. A
// small body is never refused while any of the budget is left. A body that has the
// ledger to itself is never refused, so that the largest permitted body is served
// whatever the budget.
func (l *ledger) reserve(e *entry, n int64) (aborted []*entry, ok bool) {
	if e.gone {
		return nil, false
	}
	for !l.fits(e, n) {
		oldest := l.incomplete.Front()
		if oldest == nil || oldest.Value.(*entry) == e || e.element == nil {
			return aborted, false
		}
		victim := oldest.Value.(*entry)
		l.abort(victim)
		aborted = append(aborted, victim)
	}
	e.held += n
	l.held += n
	return aborted, true
}

// fits reports whether n more bytes for a body are within the budget.
func (l *ledger) fits(e *entry, n int64) bool {
	if e.held+n <= l.smallBytes {
		return l.held < l.limit
	}
	return l.held+n <= l.largeLimit || l.held == e.held
}

// complete marks a body as received. It is no longer aborted for others.
func (l *ledger) complete(e *entry) {
	if e.element != nil {
		l.incomplete.Remove(e.element)
		e.element = nil
	}
}

// abort takes a body out of the ledger. Its memory isn't free before it is closed.
func (l *ledger) abort(e *entry) {
	l.complete(e)
	e.gone, e.aborting = true, true
	l.held -= e.held
	l.aborting += e.held
}

// overdrawn reports whether bodies hold more than the budget because some that were
// aborted haven't been closed yet.
func (l *ledger) overdrawn() bool { return l.aborting > 0 && l.held+l.aborting > l.limit }

// close returns a body's bytes to the budget.
func (l *ledger) close(e *entry) {
	if e.aborting {
		e.aborting = false
		l.aborting -= e.held
	}
	if e.gone {
		return
	}
	l.complete(e)
	e.gone = true
	l.held -= e.held
}
