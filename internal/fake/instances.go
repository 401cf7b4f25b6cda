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
func (in *Instances) SetFaults(f Faults) {
	in.injector.set(f)
}

// SetLag replaces the time until a change becomes visible, also for changes that
// aren't visible yet.
func (in *Instances) SetLag(lag time.Duration) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.lag = lag
}

// Put adds or replaces instances.
func (in *Instances) Put(instances ...structs.Instance) {
	in.update(func(m map[string]structs.Instance) {
		for _, in := range instances {
			m[in.ID] = in
		}
	})
}

// Remove removes instances by ID. Unknown IDs have no effect.
func (in *Instances) Remove(ids ...string) {
	in.update(func(m map[string]structs.Instance) {
		for _, id := range ids {
			delete(m, id)
		}
	})
}

// MarkLeaving sets the state of instances to leaving. Unknown IDs have no effect.
func (in *Instances) MarkLeaving(ids ...string) {
	in.update(func(m map[string]structs.Instance) {
		for _, id := range ids {
			if in, ok := m[id]; ok {
				in.State = structs.StateLeaving
				m[id] = in
			}
		}
	})
}

// List implements port.Instances. The instances are ordered by ID.
func (in *Instances) List(ctx context.Context) ([]structs.Instance, error) {
	if _, err := in.injector.beforeRead(ctx, "instance list"); err != nil {
		return nil, err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.prune(time.Now())
	visible := in.versions[0].instances
	out := make([]structs.Instance, 0, len(visible))
	for _, id := range slices.Sorted(maps.Keys(visible)) {
		out = append(out, visible[id])
	}
	return out, nil
}

func (in *Instances) update(f func(map[string]structs.Instance)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := time.Now()
	in.prune(now)
	next := maps.Clone(in.versions[len(in.versions)-1].instances)
	f(next)
	in.versions = append(in.versions, listVersion{createdAt: now, instances: next})
}

// prune drops the versions older than the visible one.
func (in *Instances) prune(now time.Time) {
	visible := 0
	for i, v := range in.versions {
		if !v.createdAt.Add(in.lag).After(now) {
			visible = i
		}
	}
	in.versions = in.versions[visible:]
}
