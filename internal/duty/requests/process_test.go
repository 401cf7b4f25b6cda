package requests_test

import (
	"context"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

var errProcessKilled = fault.New(fault.Unavailable, "the process was killed")

// process simulates the process of an instance: the instance's calls to the
// table and the backend servers pass through it. It can be killed or frozen at
// any time, or before or after a chosen step: a commit or an execution.
type process struct {
	table    port.Table
	backends port.Backends

	mu     sync.Mutex
	killed bool
	frozen chan struct{}
	steps  int
	// overdue counts executions requested after the request's deadline.
	overdue int
	// triggerStep is the step at which trigger is called: after the step if
	// triggerAfter is set, otherwise before it.
	triggerStep  int
	triggerAfter bool
	trigger      func()
}

// setState kills the process, freezes it until frozen is closed, or both. A
// killed process stays killed, and a frozen one keeps its channel.
func (p *process) setState(killed bool, frozen chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = frozen
	}
	p.killed = p.killed || killed
}

func (p *process) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
}

func (p *process) overdueCalls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.overdue
}

// countOverdue counts an execution that is requested after its deadline.
func (p *process) countOverdue(e port.Execution) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !time.Now().Before(e.Request.Deadline) {
		p.overdue++
	}
}

func (p *process) isKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// killedOrFrozen reports whether the process is killed or frozen.
func (p *process) killedOrFrozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed || p.frozen != nil
}

// waitWhileFrozen blocks while the process is frozen and fails once it is
// killed. It reports whether it blocked.
func (p *process) waitWhileFrozen() (bool, error) {
	p.mu.Lock()
	frozen := p.frozen
	p.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	if p.isKilled() {
		return false, errProcessKilled
	}
	return frozen != nil, nil
}

// beginStep counts a step and returns a function to call after it. If this is
// the chosen step, beginStep calls trigger or, if triggerAfter is set, leaves
// that to the returned function.
func (p *process) beginStep() func() {
	p.mu.Lock()
	p.steps++
	chosen := p.trigger != nil && p.steps == p.triggerStep
	p.mu.Unlock()
	if chosen && !p.triggerAfter {
		p.trigger()
	}
	return func() {
		if chosen && p.triggerAfter {
			p.trigger()
		}
	}
}

// Get implements port.Table.
func (p *process) Get(ctx context.Context, keys ...string) ([]port.Row, error) {
	if _, err := p.waitWhileFrozen(); err != nil {
		return nil, err
	}
	return p.table.Get(ctx, keys...)
}

// Scan implements port.Table.
func (p *process) Scan(ctx context.Context, prefix, after string, limit int) ([]port.Row, bool, error) {
	return p.table.Scan(ctx, prefix, after, limit)
}

// Commit implements port.Table. A commit sent by a frozen process takes effect
// after the thaw, even if its context has ended.
func (p *process) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	endStep := p.beginStep()
	waited, err := p.waitWhileFrozen()
	if err != nil {
		return 0, err
	}
	if waited {
		extended, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		ctx = extended
	}
	revision, err := p.table.Commit(ctx, txn)
	endStep()
	if _, killed := p.waitWhileFrozen(); killed != nil {
		return 0, killed
	}
	return revision, err
}

// backendClient implements port.Backends for a process. It enforces deadlines
// as the adapter does.
type backendClient struct{ *process }

func (c backendClient) Execute(ctx context.Context, to structs.Instance, e port.Execution) (port.Answer, error) {
	c.countOverdue(e)
	endStep := c.beginStep()
	if _, err := c.waitWhileFrozen(); err != nil {
		return port.Answer{}, err
	}
	ctx, cancel := context.WithDeadline(ctx, e.Request.Deadline)
	defer cancel()
	answer, err := c.backends.Execute(ctx, to, e)
	endStep()
	if _, killed := c.waitWhileFrozen(); killed != nil {
		return port.Answer{}, fault.Wrap(fault.Uncertain, "execute", killed)
	}
	return answer, err
}

func (c backendClient) Probe(ctx context.Context, to structs.Instance) (port.BackendLoad, error) {
	return c.backends.Probe(ctx, to)
}
