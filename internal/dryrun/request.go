package dryrun

// RequestPath is where an instance of the entry daemon answers queries about requests, on
// the address of its callers' listener.
const RequestPath = "/lentilwinch/dry-run/request"

// RequestQuery asks about a request that isn't sent.
type RequestQuery struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	// TimeoutMs is the time until the answer is due, 0 for the service's deadline.
	TimeoutMs int64 `json:"timeout_ms,omitempty"`
	// BodyBytes is the size of the body.
	BodyBytes int64 `json:"body_bytes,omitempty"`
}

// RequestAnswer is the answer to a RequestQuery. Its verdict is Dispatch, Queue or Refused.
type RequestAnswer struct {
	Verdict Verdict `json:"verdict"`
	// Server is the backend server that the request would be sent to. The choice among
	// the usable ones is random.
	Server string `json:"server,omitempty"`
	// Class is the effective class. TimeoutMs is the time until the answer is due.
	Class     string `json:"class,omitempty"`
	TimeoutMs int64  `json:"timeout_ms,omitempty"`
	// Ahead is the estimated number of queued requests of the workspace and the class that
	// would be dispatched first, and ExpectedWaitMs the forecast of the time until they
	// have been, by which a request is accepted or rejected. It doesn't include the time
	// until the next slot is free. Both are missing if the request would be rejected
	// before they are determined.
	Ahead          *int   `json:"ahead,omitempty"`
	ExpectedWaitMs *int64 `json:"expected_wait_ms,omitempty"`
	// Cause tells why the request would wait.
	Cause QueueCause `json:"cause,omitempty"`
	// LongSlots is the number of slots that this instance's requests that aren't short
	// may occupy.
	LongSlots int `json:"long_slots,omitempty"`
	// Refusal is the error of the request.
	Refusal *Failure `json:"refusal,omitempty"`
	// Servers lists the backend servers that the instance knows.
	Servers []Server `json:"servers,omitempty"`
	// Instance answered, by the configuration of a ticket.
	Instance     string `json:"instance"`
	ConfigNumber int64  `json:"config_number"`
}

// QueueCause tells why a request would wait.
type QueueCause string

// The causes.
const (
	// NoServer means that no server has a free slot for the request.
	NoServer QueueCause = "no_server"
	// LongLimit means that requests that aren't short occupy all slots that this instance
	// may use for them.
	LongLimit QueueCause = "long_limit"
)

// Server is a backend server in an answer.
type Server struct {
	ID     string `json:"id"`
	Domain string `json:"domain,omitempty"`
	// Reason tells why the request wouldn't be sent to the server, empty if it could.
	Reason string `json:"reason,omitempty"`
	Slots  int    `json:"slots"`
	// InFlight is the number of the instance's requests at the server, and Others that of
	// the other instances', as last reported.
	InFlight int `json:"in_flight"`
	Others   int `json:"others"`
	// RemainingMs is the time until a quarantined server gets a trial request.
	RemainingMs int64 `json:"remaining_ms,omitempty"`
}
