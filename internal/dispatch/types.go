// Package dispatch decides which queued request goes to which backend server.
//
// Requests wait here, in a queue for each service, and are bound to a server
// only when a slot is believed to be free there: no request waits at a backend
// server. The package is pure and single-threaded: time is passed in, and it
// has no clock, no goroutine and no I/O.
package dispatch

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Server is a backend server as the instance list shows it.
type Server struct {
	ID string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Leaving servers get no new work.
	Leaving bool
	// Services names what the server runs; empty means every service.
	Services []string
}

// Item is a request that waits for a server.
type Item struct {
	// ID is unique among the items that have not ended.
	ID        uint64
	Workspace string
	Service   string
	// Class is the declared class; empty means the service's.
	Class structs.Class
	// Repeatable permits another attempt after one that may have started.
	Repeatable bool
	Deadline   time.Time
	// Attempt is the number of dispatches made before, elsewhere.
	Attempt int
}

// Assignment binds an item to a server for one attempt.
type Assignment struct {
	Item   uint64
	Server string
	// Attempt counts the item's dispatches from 1.
	Attempt int
	// Limit is the time after which the attempt is to be cut off, its result
	// being Failed and Abandoned; 0 leaves it until the item's deadline. Only
	// repeatable work that others wait behind has one.
	Limit time.Duration
}

// ResultKind says how an attempt ended.
type ResultKind int

// The result kinds.
const (
	// Succeeded means that the whole answer was received.
	Succeeded ResultKind = iota + 1
	// RefusedFull means that the server had no free slot and did not start.
	RefusedFull
	// RefusedLeaving means that the server is leaving and did not start.
	RefusedLeaving
	// NotStarted means that the attempt certainly never reached the server.
	NotStarted
	// Failed means that the server may have started the request.
	Failed
)

// Result is the end of an attempt.
type Result struct {
	Kind ResultKind
	// Load is what the server said about itself, if anything. Busy doesn't
	// count the request that the answer ends.
	Load *port.BackendLoad
	// Elapsed is the time from dispatch to result.
	Elapsed time.Duration
	// Abandoned marks an attempt that was cut off at its deadline or by its
	// caller, which says nothing about the server's health.
	Abandoned bool
}
