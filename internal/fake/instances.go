package fake

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Instances is an instance list that shows changes after a lag. It is safe for
// concurrent use.
type Instances struct {
	injector faultInjector
	mu       sync.Mutex
	lag      time.Duration
	// versions are the visible list and the later ones, oldest first.
	versions []listVersion
}

type listVersion struct {
	createdAt time.Time
	instances map[string]structs.Instance
}

// NewInstances returns a healthy list that shows the given instances immediately
// and later changes after lag.
func NewInstances(lag time.Duration, instances ...structs.Instance) *Instances {
	first := listVersion{instances: make(map[string]structs.Instance)}
	for _, in := range instances {
		first.instances[in.ID] = in
	}
	return &Instances{lag: lag, versions: []listVersion{first}}
}

// SetFaults replaces the list's faults.
func (l *Instances) SetFaults(f Faults) {
	l.injector.set(f)
}

// SetLag replaces the time until a change becomes visible, also for changes that
// aren't visible yet.
func (l *Instances) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Put adds or replaces instances.
func (l *Instances) Put(instances ...structs.Instance) {
	l.update(func(m map[string]structs.Instance) {
		for _, in := range instances {
			m[in.ID] = in
		}
	})
}

// Remove removes instances by ID. Unknown IDs have no effect.
func (l *Instances) Remove(ids ...string) {
	l.update(func(m map[string]structs.Instance) {
		for _, id := range ids {
			delete(m, id)
		}
	})
}

// MarkLeaving sets the state of instances to leaving. Unknown IDs have no effect.
func (l *Instances) MarkLeaving(ids ...string) {
	l.update(func(m map[string]structs.Instance) {
		for _, id := range ids {
			if in, ok := m[id]; ok {
				in.State = structs.StateLeaving
				m[id] = in
			}
		}
	})
}

// List implements port.Instances. The instances are ordered by ID.
func (l *Instances) List(ctx context.Context) ([]structs.Instance, error) {
	if _, err := l.injector.beforeRead(ctx, "instance list"); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(time.Now())
	visible := l.versions[0].instances
	out := make([]structs.Instance, 0, len(visible))
	for _, id := range slices.Sorted(maps.Keys(visible)) {
		out = append(out, visible[id])
	}
	return out, nil
}

func (l *Instances) update(f func(map[string]structs.Instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.prune(now)
	next := maps.Clone(l.versions[len(l.versions)-1].instances)
	f(next)
	l.versions = append(l.versions, listVersion{createdAt: now, instances: next})
}

// prune drops the versions older than the visible one.
func (l *Instances) prune(now time.Time) {
	visible := 0
	for i, v := range l.versions {
		if !v.createdAt.Add(l.lag).After(now) {
			visible = i
		}
	}
	l.versions = l.versions[visible:]
}
