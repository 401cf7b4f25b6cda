// Package dispatch decides which queued request goes to which backend server.
//
// Requests are queued per service and assigned to a server only when a slot is
// believed to be free there, so that no request waits at a backend server. The
// package is pure and single-threaded: time is passed in, and it has no clock,
// no goroutines and no I/O.
package dispatch

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Server is a backend server from the instance list.
type Server struct {
	ID string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Leaving is set for servers that get no new work.
	Leaving bool
	// Evacuated is set for servers that get no new work until it is unset.
	Evacuated bool
	// Services lists the services that the server runs; empty means all.
	Services []string
}

// Item is a request to be queued.
type Item struct {
	// ID is unique among the items held by the dispatcher.
	ID        uint64
	Workspace string
	Service   string
	// Class is the declared class; empty means that of the service.
	Class structs.Class
	// Repeatable permits another attempt after one that may have started.
	Repeatable bool
	Deadline   time.Time
	// Attempt is the number of previous dispatches made elsewhere.
	Attempt int
}

// Assignment assigns an item to a server for one attempt.
type Assignment struct {
	Item   uint64
	Server string
	// Attempt numbers the item's dispatches from 1, with those that Item.Attempt
	// counts.
	Attempt int
	// Limit is the time after which the caller must cut the attempt off and
	// report a result of kind Failed that is Abandoned. 0 means that only the
	// item's deadline applies. A limit is set only for repeatable short items
	// while other short items are queued.
	Limit time.Duration
}

// ResultKind classifies the result of an attempt.
type ResultKind int

// The kinds of result.
const (
	// Succeeded means that the complete answer was received.
	Succeeded ResultKind = iota + 1
	// RefusedFull means that the server had no free slot and did not start the
	// request.
	RefusedFull
	// RefusedLeaving means that the server is leaving and did not start the
	// request.
	RefusedLeaving
	// NotStarted means that the server did not start the request for another
	// reason, for example because it was not reached.
	NotStarted
	// Withdrawn means that the request was not sent because the server was
	// evacuated after the assignment. It doesn't indicate a fault of the server.
	Withdrawn
	// Failed means that the server may have started the request.
	Failed
)

// Result is the result of an attempt.
type Result struct {
	Kind ResultKind
	// Load is the load that the server reported, or nil. Busy doesn't include
	// the request that the answer completes. With RefusedFull, nil means that
	// all slots are in use.
	Load *port.BackendLoad
	// Elapsed is the time from sending the request to the result, 0 if it was
	// not sent.
	Elapsed time.Duration
	// Abandoned marks an attempt that was cut off at its deadline or by its
	// caller and doesn't indicate a fault of the server.
	Abandoned bool
}
