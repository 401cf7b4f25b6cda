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
		out = append(out, p.workers[address].entry)
	}
	return out, p.entries, nil
}

// WatchWorkers implements port.WorkerRegistry. It reports the workers that have restarted.
func (p *Pool) WatchWorkers(ctx context.Context, after int64, wait time.Duration) ([]port.WorkerChange, int64, error) {
	for deadline := time.Now().Add(wait); ; {
		changes, version := p.entriesAfter(after)
		left := time.Until(deadline)
		if len(changes) > 0 || left <= 0 {
			return changes, version, nil
		}
		select {
		case <-time.After(min(left, 20*time.Millisecond)):
		case <-ctx.Done():
			return nil, 0, fault.Wrap(fault.Unavailable, "watch", ctx.Err())
		}
	}
}

func (p *Pool) entriesAfter(after int64) ([]port.WorkerChange, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []port.WorkerChange
	for _, address := range slices.Sorted(maps.Keys(p.workers)) {
		if w := p.workers[address]; w.entryChangedAt > after {
			entry := w.entry
			changes = append(changes, port.WorkerChange{ID: entry.ID, Worker: &entry})
		}
	}
	return changes, p.entries
}

// SetEntryDelay sets how long after its restart a worker writes its registry entry.
func (p *Pool) SetEntryDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entryDelay = d
}

// describe returns the registry entry of the current incarnation.
func (w *PoolWorker) describe() work.Worker {
	entry := w.info
	entry.Incarnation = w.incarnation
	return entry
}

// register has the worker write its entry, now or later. The caller holds Pool.mu.
func (p *Pool) register(w *PoolWorker) {
	entry := w.describe()
	write := func() {
		p.entries++
		w.entry, w.entryChangedAt = entry, p.entries
		w.entry.EntryVersion = p.entries
	}
	if p.entryDelay == 0 {
		write()
		return
	}
	time.AfterFunc(p.entryDelay, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if w.incarnation == entry.Incarnation {
			write()
		}
	})
}
