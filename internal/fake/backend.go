package fake

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// BackendFaults configures the faults of a backend server. The zero value is
// healthy.
type BackendFaults struct {
	// Down refuses connections.
	Down bool
	// Delay is the wait before each request starts and before the reply to each
	// probe.
	Delay time.Duration
	// Refuse rejects every request as if all slots were in use.
	Refuse bool
	// Leaving rejects every request with port.RefusedLeaving and is reported in
	// the load.
	Leaving bool
	// DropBeforeStart closes the connection without running the request.
	DropBeforeStart bool
	// DropAfterStart runs the request and closes the connection without an
	// answer.
	DropAfterStart bool
	// HangBeforeStart never runs the request and never answers, not even a probe.
	HangBeforeStart bool
	// Hang runs the request and never answers, not even a probe.
	Hang bool
	// Truncate sends only a part of the answer. It takes precedence over Duplicate.
	Truncate bool
	// WrongID sends the answer with another request's ID.
	WrongID bool
	// Duplicate sends the answer twice.
	Duplicate bool
}

// RequestBody is the body that sets a request's run time and answer. A body that
// can't be decoded as a RequestBody is echoed immediately.
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

// maxRuns bounds the runs that a backend server records.
const maxRuns = 1 << 18

// Backend is one backend server with a number of slots and a record of its runs.
// A request occupies its slot for its whole run time, even if its caller
// disconnects. It is safe for concurrent use.
type Backend struct {
	mu       sync.Mutex
	slots    int
	services map[string]struct{}
	faults   BackendFaults
	// busyUntil contains the end times of the running requests.
	busyUntil []time.Time
	runs      []Run
	dropped   int64
}

// NewBackend returns a healthy, idle server that accepts the given services, or
// any service if none is given.
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

// Runs returns the recorded runs in order of their start, and the number of runs
// beyond maxRuns that were dropped.
func (b *Backend) Runs() ([]Run, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...), b.dropped
}

// Load returns the load that the server reports.
func (b *Backend) Load() port.BackendLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load(time.Now())
}

// Start takes a slot for a request and returns its run, whose end time is fixed
// at the start, and its answer. It fails with *port.RefusedError.
func (b *Backend) Start(e port.Execution) (Run, []byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if reason, refused := b.refusalReason(now, e.Request.Service); refused {
		return Run{}, nil, &port.RefusedError{Reason: reason, Load: b.load(now)}
	}
	runTime, answer := parseBody(e.Request.Body)
	run := Run{
		Workspace: e.Request.Key.Workspace,
		Service:   e.Request.Service,
		RequestID: e.Request.Key.ID,
		Attempt:   e.Attempt,
		Start:     now,
		End:       now.Add(runTime),
	}
	b.busyUntil = append(b.busyUntil, run.End)
	b.addRun(run)
	return run, answer, nil
}

func (b *Backend) refusalReason(now time.Time, service string) (port.RefusalReason, bool) {
	if b.faults.Leaving {
		return port.RefusedLeaving, true
	}
	if _, ok := b.services[service]; !ok && len(b.services) > 0 {
		return port.RefusedUnknownService, true
	}
	if b.faults.Refuse || b.busySlots(now) >= b.slots {
		return port.RefusedSlotsFull, true
	}
	return "", false
}

func (b *Backend) load(now time.Time) port.BackendLoad {
	return port.BackendLoad{Slots: b.slots, Busy: b.busySlots(now), Leaving: b.faults.Leaving}
}

// busySlots counts the slots in use and removes requests that have ended.
func (b *Backend) busySlots(now time.Time) int {
	running := b.busyUntil[:0]
	for _, end := range b.busyUntil {
		if end.After(now) {
			running = append(running, end)
		}
	}
	b.busyUntil = running
	return len(running)
}

func (b *Backend) addRun(r Run) {
	if len(b.runs) >= maxRuns {
		b.dropped++
		return
	}
	b.runs = append(b.runs, r)
}

// parseBody returns the run time and the answer of a body, or 0 and the body
// itself if it can't be decoded.
func parseBody(body []byte) (time.Duration, []byte) {
	var parsed RequestBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return 0, body
	}
	return time.Duration(parsed.RunMillis) * time.Millisecond, []byte(parsed.Answer)
}
