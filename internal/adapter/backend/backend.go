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

	mu      sync.Mutex
	servers map[string]*server
	swept   time.Time
}

// server is what is kept for one backend server's address.
type server struct {
	executeHTTP *httpclient.Client
	probeHTTP   *httpclient.Client
	execute     backendv1connect.BackendServiceClient
	probe       backendv1connect.BackendServiceClient
	lastUsed    time.Time
	// calls counts those in progress.
	calls int
}

// New returns a client without connections.
func New(s Settings) *Backends {
	return &Backends{settings: s, servers: make(map[string]*server)}
}

// Execute implements port.Backends.
func (b *Backends) Execute(ctx context.Context, to structs.Instance, e port.Execution) (port.Answer, error) {
	now := time.Now()
	deadline := b.deadline(now, e.Request)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(b.settings.AnswerMargin))
	defer cancel()
	ctx, flight := httpclient.Track(ctx)
	s := b.acquire(now, to.Address)
	defer b.release(s)
	req := executeRequest(e, deadline.Sub(now))
	resp, err := s.execute.Execute(ctx, connect.NewRequest(req))
	if err != nil {
		return port.Answer{}, b.executeFailed(s, flight, e, err)
	}
	answer, err := takeAnswer(e, resp.Msg)
	if err != nil {
		// Answers that are not the request's own discredit the connection.
		flight.Seal()
		return port.Answer{}, err
	}
	return answer, nil
}

// executeFailed drops the server's unused connections besides the one that
// failed: what made one go silent often took others too.
func (b *Backends) executeFailed(s *server, f *httpclient.Flight, e port.Execution, err error) error {
	mapped := executeError(f, e, err)
	if fault.Is(mapped, fault.Uncertain) {
		s.executeHTTP.CloseIdle()
	}
	return mapped
}

// Probe implements port.Backends. It has a connection of its own, so that a
// server whose other connections went silent is still seen to be alive.
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

// Close closes the connections that carry no request.
func (b *Backends) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		s.close()
	}
	clear(b.servers)
}

func (b *Backends) deadline(now time.Time, r structs.Request) time.Time {
	if r.Deadline.IsZero() {
		return now.Add(b.settings.MaxRunTime)
	}
	return r.Deadline
}

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

// sweep drops servers that are no longer called, so that servers that were
// replaced cost nothing.
func (b *Backends) sweep(now time.Time) {
	if now.Sub(b.swept) < b.settings.ServerIdleTimeout {
		return
	}
	b.swept = now
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
		// Answers are not compressed, so that their size is what was sent.
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
