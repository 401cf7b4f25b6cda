package fake

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// EventKind is a stable word for what a worker saw.
type EventKind string

// The event kinds.
const (
	EventLeaseGranted  EventKind = "lease_granted"
	EventLeaseReleased EventKind = "lease_released"
	EventLeaseLapsed   EventKind = "lease_lapsed"
	EventTaskStarted   EventKind = "task_started"
	EventTaskSucceeded EventKind = "task_succeeded"
	EventTaskFailed    EventKind = "task_failed"
	EventTaskStopped   EventKind = "task_stopped"
	EventCheckpointed  EventKind = "checkpointed"
	EventThrottled     EventKind = "throttled"
)

// Event is something that a worker saw.
type Event struct {
	At           time.Time
	Kind         EventKind
	Worker       string
	Lease        structs.LeaseID
	Accelerators int
}

// maxEvents bounds the events that are kept.
const maxEvents = 1 << 20

// eventLog keeps the first events. It is guarded by its owner.
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

// sorted returns the events by time; events of one time keep their order.
func (l *eventLog) sorted() []Event {
	out := slices.Clone(l.events)
	slices.SortStableFunc(out, func(a, b Event) int { return a.At.Compare(b.At) })
	return out
}
