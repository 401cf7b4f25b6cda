package backend

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	backendv1 "github.com/lentilwinch/lentilwinch/gen/backend/v1"
	"github.com/lentilwinch/lentilwinch/gen/backend/v1/backendv1connect"
	"github.com/lentilwinch/lentilwinch/internal/adapter/httpclient"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Backends implements port.Backends. It is safe for concurrent use.
type Backends struct {
	settings Settings

	mu        sync.Mutex
	servers   map[string]*server
	lastSweep time.Time
}

// server holds the clients and usage of one backend server's address.
type server struct {
	executeHTTP *httpclient.Client
	probeHTTP   *httpclient.Client
	execute     backendv1connect.BackendServiceClient
	probe       backendv1connect.BackendServiceClient
	lastUsed    time.Time
	// calls is the number of calls in progress.
	calls int
}

// New returns a client that has no connections yet.
func New(s Settings) *Backends {
	return &Backends{settings: s, servers: make(map[string]*server)}
}

// Execute implements port.Backends.
func (b *Backends) Execute(ctx context.Context, to structs.Instance, e port.Execution) (port.Answer, error) {
	now := time.Now()
	deadline := b.deadline(now, e.Request)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(b.settings.AnswerMargin))
	defer cancel()
	ctx, tracked := httpclient.Track(ctx)
	s := b.acquire(now, to.Address)
	defer b.release(s)
	req := executeRequest(e, deadline.Sub(now))
	resp, err := s.execute.Execute(ctx, connect.NewRequest(req))
	if err != nil {
		return port.Answer{}, b.handleExecuteError(s, tracked, e, err)
	}
	answer, err := validateAnswer(e, resp.Msg)
	if err != nil {
		// After a wrong answer the connection can't be trusted, so it is closed.
		tracked.Abort()
		return port.Answer{}, err
	}
	return answer, nil
}

// handleExecuteError maps the error. If the outcome is uncertain, it also closes
// the idle connections to the server, because a failure that stalls one connection
// often stalls the others too.
func (b *Backends) handleExecuteError(s *server, tracked *httpclient.TrackedRequest, e port.Execution, err error) error {
	mapped := executeError(tracked, e, err)
	if fault.Is(mapped, fault.Uncertain) {
		s.executeHTTP.CloseIdle()
	}
	return mapped
}

// Probe implements port.Backends. It uses a separate connection, so that it
// succeeds for a live server whose other connections have stalled.
func (b *Backends) Probe(ctx context.Context, to structs.Instance) (port.BackendLoad, error) {
	ctx, cancel := context.WithTimeout(ctx, b.settings.ProbeTimeout)
	defer cancel()
	s := b.acquire(time.Now(), to.Address)
	defer b.release(s)
	resp, err := s.probe.Probe(ctx, connect.NewRequest(&backendv1.ProbeRequest{}))
	if err != nil {
		return port.BackendLoad{}, fault.Wrap(fault.Unavailable, "probe", err)
	}
	return loadOf(resp.Msg.GetLoad()), nil
}

// Close closes the idle connections and drops the state of all servers.
func (b *Backends) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		s.close()
	}
	clear(b.servers)
}

// deadline returns the deadline of r, or DefaultTimeout from now if r has none.
func (b *Backends) deadline(now time.Time, r structs.Request) time.Time {
	if r.Deadline.IsZero() {
		return now.Add(b.settings.DefaultTimeout)
	}
	return r.Deadline
}

// acquire returns the server at address, which it creates if absent, and counts a
// call in progress until release.
func (b *Backends) acquire(now time.Time, address string) *server {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	s, ok := b.servers[address]
	if !ok {
		s = newServer(b.settings, address)
		b.servers[address] = s
	}
	s.lastUsed = now
	s.calls++
	return s
}

func (b *Backends) release(s *server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.calls--
	s.lastUsed = time.Now()
}

// sweep drops servers that have been unused for ServerIdleTimeout, so that the
// state of replaced servers doesn't accumulate.
func (b *Backends) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < b.settings.ServerIdleTimeout {
		return
	}
	b.lastSweep = now
	for address, s := range b.servers {
		if s.calls == 0 && now.Sub(s.lastUsed) >= b.settings.ServerIdleTimeout {
			s.close()
			delete(b.servers, address)
		}
	}
}

func newServer(settings Settings, address string) *server {
	options := []connect.ClientOption{
		connect.WithReadMaxBytes(int(settings.MaxAnswerBytes + envelopeBytes)),
		// Responses are not compressed, so that their size equals the size on the
		// wire.
		connect.WithAcceptCompression("gzip", nil, nil),
	}
	url := "http://" + address
	executeHTTP := settings.executeClient()
	probeHTTP := settings.probeClient()
	return &server{
		executeHTTP: executeHTTP,
		probeHTTP:   probeHTTP,
		execute:     backendv1connect.NewBackendServiceClient(executeHTTP, url, options...),
		probe:       backendv1connect.NewBackendServiceClient(probeHTTP, url, options...),
	}
}

func (s *server) close() {
	s.executeHTTP.CloseIdle()
	s.probeHTTP.CloseIdle()
}

func executeRequest(e port.Execution, timeLeft time.Duration) *backendv1.ExecuteRequest {
	return &backendv1.ExecuteRequest{
		Workspace: e.Request.Key.Workspace,
		Service:   e.Request.Service,
		RequestId: e.Request.Key.ID,
		AttemptId: e.Attempt,
		Body:      e.Request.Body,
		TimeoutMs: timeLeft.Milliseconds(),
	}
}
