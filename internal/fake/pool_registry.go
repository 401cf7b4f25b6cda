package fake

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Workers implements port.WorkerRegistry.
func (p *Pool) Workers(context.Context) ([]work.Worker, int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []work.Worker
	for _, address := range slices.Sorted(maps.Keys(p.workers)) {
		out = append(out, p.workers[address].info)
	}
	return out, 1, nil
}

// WatchWorkers implements port.WorkerRegistry. It never reports a change.
func (p *Pool) WatchWorkers(ctx context.Context, after int64, wait time.Duration) ([]port.WorkerChange, int64, error) {
	select {
	case <-time.After(wait):
		return nil, after, nil
	case <-ctx.Done():
		return nil, 0, fault.Wrap(fault.Unavailable, "watch", ctx.Err())
	}
}
