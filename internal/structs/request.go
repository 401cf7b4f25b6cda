package structs

import "time"

// RequestKey identifies a request across instances and across the caller's
// retries.
type RequestKey struct {
	Workspace string
	ID        string
}

// Request is a request submitted by a caller.
type Request struct {
	Key     RequestKey
	Service string
	Body    []byte
	// Deadline is a time on the local clock.
	Deadline time.Time
}

// Outcome describes whether a request was run.
type Outcome int

// The outcomes.
const (
	// OutcomeDone means that the complete answer was received.
	OutcomeDone Outcome = iota + 1
	// OutcomeNotRun means that no backend server ran the request.
	OutcomeNotRun
	// OutcomeUnknown means that a backend server may have run the request.
	OutcomeUnknown
	// OutcomePending means that the request is in progress.
	OutcomePending
)

// String returns the outcome's stable name.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeUnknown:
		return "unknown"
	case OutcomePending:
		return "pending"
	default:
		return "unspecified"
	}
}

// Result is a request's outcome with its answer or reason.
type Result struct {
	Outcome Outcome
	Reason  string
	Answer  []byte
}
