package requests_test

import (
	"context"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

var errDead = fault.New(fault.Unavailable, "the process is dead")

// process stands between an instance and its ports. It stops or halts the
// instance at any time, or around a chosen step: a commit or an execution.
type process struct {
	table    port.Table
	backends port.Backends

	mu     sync.Mutex
	dead   bool
	frozen chan struct{}
	steps  int
	// late counts executions asked for after the request's deadline.
	late int
	// at is the step at which hit is called: before it, or after it.
	at    int
	after bool
	hit   func()
}

func (p *process) set(dead bool, frozen chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = frozen
	}
	p.dead = p.dead || dead
}

func (p *process) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
}

func (p *process) lateCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.late
}

// asked notes a call that comes too late.
func (p *process) asked(e port.Execution) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !time.Now().Before(e.Request.Deadline) {
		p.late++
	}
}

func (p *process) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

// halted reports whether the process is dead or frozen.
func (p *process) halted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead || p.frozen != nil
}

// pass waits while the process is frozen and fails once it is dead. It
// reports whether it waited.
func (p *process) pass() (bool, error) {
	p.mu.Lock()
	frozen := p.frozen
	p.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	if p.isDead() {
		return false, errDead
	}
	return frozen != nil, nil
}

// step counts a step and calls hit before the chosen one; the function that
// it returns does so after it.
func (p *process) step() func() {
	p.mu.Lock()
	p.steps++
	chosen := p.hit != nil && p.steps == p.at
	p.mu.Unlock()
	if chosen && !p.after {
		p.hit()
	}
	return func() {
		if chosen && p.after {
			p.hit()
		}
	}
}

// Get implements port.Table.
func (p *process) Get(ctx context.Context, keys ...string) ([]port.Row, error) {
	if _, err := p.pass(); err != nil {
		return nil, err
	}
	return p.table.Get(ctx, keys...)
}

// Scan implements port.Table.
func (p *process) Scan(ctx context.Context, prefix, after string, limit int) ([]port.Row, bool, error) {
	return p.table.Scan(ctx, prefix, after, limit)
}

// Commit implements port.Table. One that a frozen process has sent takes
// effect when it wakes, also after its context ended.
func (p *process) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	after := p.step()
	waited, err := p.pass()
	if err != nil {
		return 0, err
	}
	if waited {
		late, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		ctx = late
	}
	revision, err := p.table.Commit(ctx, txn)
	after()
	if _, dead := p.pass(); dead != nil {
		return 0, dead
	}
	return revision, err
}

// callers gives a process port.Backends, bounded by deadlines as behind the
// adapter.
type callers struct{ *process }

func (c callers) Execute(ctx context.Context, to structs.Instance, e port.Execution) (port.Answer, error) {
	c.asked(e)
	after := c.step()
	if _, err := c.pass(); err != nil {
		return port.Answer{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, e.Request.Deadline)
	defer cancel()
	answer, err := c.backends.Execute(ctx, to, e)
	after()
	if _, dead := c.pass(); dead != nil {
		return port.Answer{}, fault.Wrap(fault.Uncertain, "execute", dead)
	}
	return answer, err
}

func (c callers) Probe(ctx context.Context, to structs.Instance) (port.BackendLoad, error) {
	return c.backends.Probe(ctx, to)
}
