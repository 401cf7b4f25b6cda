package fake

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// EventKind is the kind of a worker event.
type EventKind string

// The kinds of worker events.
const (
	EventLeaseGranted  EventKind = "lease_granted"
	EventLeaseReleased EventKind = "lease_released"
	// EventLeaseLapsed means that the lease expired or that its worker crashed.
	EventLeaseLapsed   EventKind = "lease_lapsed"
	EventTaskStarted   EventKind = "task_started"
	EventTaskSucceeded EventKind = "task_succeeded"
	EventTaskFailed    EventKind = "task_failed"
	// EventTaskStopped means that the lease ended while its task was running.
	EventTaskStopped  EventKind = "task_stopped"
	EventCheckpointed EventKind = "checkpointed"
	EventThrottled    EventKind = "throttled"
)

// Event is a change of a lease or task on a worker.
type Event struct {
	At     time.Time
	Kind   EventKind
	Worker string
	Lease  structs.LeaseID
	// Accelerators is the size of the lease.
	Accelerators int
}

// maxEvents bounds the events that a log keeps.
const maxEvents = 1 << 20

// eventLog keeps the first maxEvents events and counts the others as dropped.
// The caller synchronizes access.
type eventLog struct {
	events  []Event
	dropped int64
}

func (l *eventLog) add(e Event) {
	if len(l.events) >= maxEvents {
		l.dropped++
		return
	}
	l.events = append(l.events, e)
}

// sorted returns the events by time. Events at the same time keep their order.
func (l *eventLog) sorted() []Event {
	out := slices.Clone(l.events)
	slices.SortStableFunc(out, func(a, b Event) int { return a.At.Compare(b.At) })
	return out
}
