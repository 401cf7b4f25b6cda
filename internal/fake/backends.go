package fake

import (
	"context"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

// Backends routes calls to fake backend servers by address. It is safe for
// concurrent use.
type Backends struct {
	mu      sync.Mutex
	servers map[string]*Backend
}

// NewBackends returns an empty set of servers.
func NewBackends() *Backends {
	return &Backends{servers: make(map[string]*Backend)}
}

// Add registers a server under an address.
func (b *Backends) Add(address string, s *Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers[address] = s
}

// Remove removes the server at an address. Later calls to it fail with
// fault.Unavailable.
func (b *Backends) Remove(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.servers, address)
}

// Execute implements port.Backends. A wrong or truncated answer results in
// fault.Uncertain, as it does with the real adapter. The fault Duplicate has no
// effect.
func (b *Backends) Execute(ctx context.Context, to structs.Instance, e port.Execution) (port.Answer, error) {
	s, err := b.connect(ctx, to)
	if err != nil {
		return port.Answer{}, err
	}
	f := s.Faults()
	if err := wait.For(ctx, f.Delay); err != nil {
		return port.Answer{}, fault.Wrap(fault.Uncertain, "execute", err)
	}
	if f.HangBeforeStart {
		<-ctx.Done()
	}
	if f.HangBeforeStart || f.DropBeforeStart {
		return port.Answer{}, fault.New(fault.Uncertain, "connection was lost")
	}
	run, body, err := s.Start(e)
	if err != nil {
		return port.Answer{}, err
	}
	return s.finish(ctx, f, run, body)
}

// finish waits for the end of a run and returns its answer, or the failure that
// the faults cause.
func (b *Backend) finish(ctx context.Context, f BackendFaults, run Run, body []byte) (port.Answer, error) {
	if err := wait.For(ctx, time.Until(run.End)); err != nil {
		return port.Answer{}, fault.Wrap(fault.Uncertain, "execute", err)
	}
	if f.Hang {
		<-ctx.Done()
	}
	if f.Hang || f.DropAfterStart || f.Truncate || f.WrongID {
		return port.Answer{}, fault.New(fault.Uncertain, "answer was lost or invalid")
	}
	return port.Answer{Body: body, Load: b.Load()}, nil
}

// Probe implements port.Backends.
func (b *Backends) Probe(ctx context.Context, to structs.Instance) (port.BackendLoad, error) {
	s, err := b.connect(ctx, to)
	if err != nil {
		return port.BackendLoad{}, err
	}
	f := s.Faults()
	if f.Hang || f.HangBeforeStart {
		<-ctx.Done()
		return port.BackendLoad{}, fault.Wrap(fault.Unavailable, "probe", ctx.Err())
	}
	if err := wait.For(ctx, f.Delay); err != nil {
		return port.BackendLoad{}, fault.Wrap(fault.Unavailable, "probe", err)
	}
	return s.Load(), nil
}

// connect returns the server at an address. It fails with fault.Unavailable, as
// if no connection was made.
func (b *Backends) connect(ctx context.Context, to structs.Instance) (*Backend, error) {
	if err := ctx.Err(); err != nil {
		return nil, fault.Wrap(fault.Unavailable, "connect", err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.servers[to.Address]
	if !ok || s.Faults().Down {
		return nil, fault.New(fault.Unavailable, "connection refused")
	}
	return s, nil
}
