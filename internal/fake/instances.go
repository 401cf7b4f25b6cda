package fake

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Instances is an instance list that lags behind its changes. It is safe for
// concurrent use.
type Instances struct {
	gate gate
	mu   sync.Mutex
	lag  time.Duration
	// versions are the lists still of use, oldest first.
	versions []listVersion
}

type listVersion struct {
	since     time.Time
	instances map[string]structs.Instance
}

// NewInstances returns a healthy list that shows the instances at once and
// changes of them after lag.
func NewInstances(lag time.Duration, instances ...structs.Instance) *Instances {
	first := listVersion{instances: make(map[string]structs.Instance)}
	for _, in := range instances {
		first.instances[in.ID] = in
	}
	return &Instances{lag: lag, versions: []listVersion{first}}
}

// SetFaults replaces the list's faults.
func (l *Instances) SetFaults(f Faults) {
	l.gate.set(f)
}

// SetLag replaces the time until a change is seen.
func (l *Instances) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Put adds or replaces instances.
func (l *Instances) Put(instances ...structs.Instance) {
	l.change(func(m map[string]structs.Instance) {
		for _, in := range instances {
			m[in.ID] = in
		}
	})
}

// Remove drops instances.
func (l *Instances) Remove(ids ...string) {
	l.change(func(m map[string]structs.Instance) {
		for _, id := range ids {
			delete(m, id)
		}
	})
}

// MarkLeaving sets the state of instances to leaving.
func (l *Instances) MarkLeaving(ids ...string) {
	l.change(func(m map[string]structs.Instance) {
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
	if _, err := l.gate.enter(ctx, "instance list"); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(time.Now())
	seen := l.versions[0].instances
	out := make([]structs.Instance, 0, len(seen))
	for _, id := range slices.Sorted(maps.Keys(seen)) {
		out = append(out, seen[id])
	}
	return out, nil
}

func (l *Instances) change(f func(map[string]structs.Instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.forget(now)
	next := maps.Clone(l.versions[len(l.versions)-1].instances)
	f(next)
	l.versions = append(l.versions, listVersion{since: now, instances: next})
}

// forget drops the versions that a newer one, old enough to be seen, replaced.
func (l *Instances) forget(now time.Time) {
	seen := 0
	for i, v := range l.versions {
		if !v.since.Add(l.lag).After(now) {
			seen = i
		}
	}
	l.versions = l.versions[seen:]
}
