package gangs

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/ownership"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/ring"
)

// reconcileInterval is the interval at which the runners are compared with the
// grants, to make up for dropped events.
const reconcileInterval = 500 * time.Millisecond

// Grants is the part of ownership that the manager uses.
type Grants interface {
	// Owned returns the grants in force.
	Owned() []ownership.Grant
	// Events returns the ring of grant changes, which may drop events.
	Events() *ring.Ring[ownership.Event]
	// Recheck requests an immediate read of the owner rows. The manager calls it
	// when a runner stops because a write failed the fencing condition.
	Recheck()
}

// Manager runs a Runner for each failure domain that this instance owns.
type Manager struct {
	settings Settings
	deps     Deps
	grants   Grants

	// tries limits the queries about jobs that aren't submitted.
	tries tryLimit

	mu      sync.Mutex
	runners map[string]*managedRunner
}

// managedRunner is a runner with the goroutine that runs it. done is closed when
// the goroutine exits.
type managedRunner struct {
	runner *Runner
	cancel context.CancelFunc
	done   chan struct{}
}

// NewManager returns a manager without runners.
func NewManager(s Settings, deps Deps, grants Grants) *Manager {
	return &Manager{settings: s, deps: deps, grants: grants, runners: make(map[string]*managedRunner)}
}

// Run starts and stops runners to match the grants until ctx is done. It then
// stops all runners, waits for them and returns ctx's error.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	defer m.stopAll()
	for {
		m.reconcile(ctx)
		select {
		case <-m.grants.Events().C():
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *Manager) reconcile(ctx context.Context) {
	owned := m.grants.Owned()
	for _, r := range m.removeObsolete(owned) {
		r.stop()
	}
	for _, g := range owned {
		m.ensureRunner(ctx, g)
	}
}

// removeObsolete removes and returns the runners whose grant is no longer in
// force or whose goroutine has exited.
func (m *Manager) removeObsolete(owned []ownership.Grant) []*managedRunner {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*managedRunner
	for name, r := range m.runners {
		if slices.Contains(owned, r.runner.grant) && !r.exited() {
			continue
		}
		delete(m.runners, name)
		out = append(out, r)
	}
	return out
}

func (m *Manager) ensureRunner(ctx context.Context, g ownership.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.runners[g.Domain]; ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &managedRunner{runner: NewRunner(m.settings, m.deps, g), cancel: cancel, done: make(chan struct{})}
	m.runners[g.Domain] = r
	go func() {
		defer close(r.done)
		err := r.runner.Run(ctx)
		m.deps.Log.Info("domain_stopped", zap.String("domain", g.Domain), zap.Error(err))
		if ctx.Err() == nil {
			m.grants.Recheck()
		}
	}()
}

func (r *managedRunner) exited() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

func (r *managedRunner) stop() {
	r.cancel()
	<-r.done
}

func (m *Manager) stopAll() {
	for _, r := range m.removeObsolete(nil) {
		r.stop()
	}
}

// Wake makes the failure domain's runner, if any, read its inbox without delay.
func (m *Manager) Wake(domain string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r, ok := m.runners[domain]; ok {
		r.runner.Wake()
	}
}

// Summaries returns the summaries of the owned failure domains for peers.
func (m *Manager) Summaries() []port.DomainSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]port.DomainSummary, 0, len(m.runners))
	for _, r := range m.runners {
		out = append(out, r.runner.Summary())
	}
	return out
}

// States returns the runners' states for a dump.
func (m *Manager) States() []State {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]State, 0, len(m.runners))
	for _, r := range m.runners {
		out = append(out, r.runner.State())
	}
	return out
}
