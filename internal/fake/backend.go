package fake

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// BackendFaults says how a backend server misbehaves. The zero value is
// healthy.
type BackendFaults struct {
	// Down refuses connections.
	Down bool
	// Delay is waited before each request is started.
	Delay time.Duration
	// Refuse declines every request as if all slots were full.
	Refuse bool
	// Leaving declines every request and says so.
	Leaving bool
	// DropBeforeStart cuts the connection instead of running the request.
	DropBeforeStart bool
	// DropAfterStart runs the request and cuts the connection.
	DropAfterStart bool
	// HangBeforeStart never runs the request and never answers.
	HangBeforeStart bool
	// Hang runs the request and never answers.
	Hang bool
	// Truncate sends a part of the answer.
	Truncate bool
	// WrongID sends the answer under another request's ID.
	WrongID bool
	// Duplicate sends the answer twice.
	Duplicate bool
}

// RequestBody is a body that backend servers understand; any other is echoed
// at once.
type RequestBody struct {
	// RunMillis is the run time.
	RunMillis int64 `json:"run_ms"`
	// Answer is the body of the answer.
	Answer string `json:"answer"`
}

// Run is one execution of a request on a backend server.
type Run struct {
	Workspace string
	Service   string
	RequestID string
	Attempt   string
	Start     time.Time
	End       time.Time
}

// maxRuns bounds the runs that a backend server keeps.
const maxRuns = 1 << 18

// Backend is one backend server: slots and a record of what ran. A request
// keeps its slot for its whole run time, also when its caller has gone. It is
// safe for concurrent use.
type Backend struct {
	mu       sync.Mutex
	slots    int
	services map[string]struct{}
	faults   BackendFaults
	// busyUntil holds the ends of the requests that run.
	busyUntil []time.Time
	runs      []Run
	dropped   int64
}

// NewBackend returns a healthy, idle server that runs the services named, or
// any when none is.
func NewBackend(slots int, services ...string) *Backend {
	b := &Backend{slots: slots, services: make(map[string]struct{})}
	for _, s := range services {
		b.services[s] = struct{}{}
	}
	return b
}

// SetFaults replaces the server's faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

// Faults returns the server's faults.
func (b *Backend) Faults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// Runs returns what ran, in the order of the starts, and how many runs were
// not kept.
func (b *Backend) Runs() ([]Run, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...), b.dropped
}

// Load returns what the server says about itself.
func (b *Backend) Load() port.BackendLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load(time.Now())
}

// Start takes a slot for a request and returns its run, whose end is known
// from the start, with its answer. It fails with *port.RefusedError.
func (b *Backend) Start(e port.Execution) (Run, []byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if reason, refused := b.refuses(now, e.Request.Service); refused {
		return Run{}, nil, &port.RefusedError{Reason: reason, Load: b.load(now)}
	}
	runTime, answer := workOf(e.Request.Body)
	run := Run{
		Workspace: e.Request.Key.Workspace,
		Service:   e.Request.Service,
		RequestID: e.Request.Key.ID,
		Attempt:   e.Attempt,
		Start:     now,
		End:       now.Add(runTime),
	}
	b.busyUntil = append(b.busyUntil, run.End)
	b.keep(run)
	return run, answer, nil
}

func (b *Backend) refuses(now time.Time, service string) (port.RefusalReason, bool) {
	if b.faults.Leaving {
		return port.RefusedLeaving, true
	}
	if _, ok := b.services[service]; !ok && len(b.services) > 0 {
		return port.RefusedUnknownService, true
	}
	if b.faults.Refuse || b.busy(now) >= b.slots {
		return port.RefusedSlotsFull, true
	}
	return "", false
}

func (b *Backend) load(now time.Time) port.BackendLoad {
	return port.BackendLoad{Slots: b.slots, Busy: b.busy(now), Leaving: b.faults.Leaving}
}

// busy counts the slots in use and forgets requests that have ended.
func (b *Backend) busy(now time.Time) int {
	running := b.busyUntil[:0]
	for _, end := range b.busyUntil {
		if end.After(now) {
			running = append(running, end)
		}
	}
	b.busyUntil = running
	return len(running)
}

func (b *Backend) keep(r Run) {
	if len(b.runs) >= maxRuns {
		b.dropped++
		return
	}
	b.runs = append(b.runs, r)
}

// workOf returns how long a body runs and what it answers.
func workOf(body []byte) (time.Duration, []byte) {
	var work RequestBody
	if err := json.Unmarshal(body, &work); err != nil {
		return 0, body
	}
	return time.Duration(work.RunMillis) * time.Millisecond, []byte(work.Answer)
}
