package fake

import (
	"maps"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// GuardCapacity makes the workers reject starts that exceed their free capacity. needs
// returns what a task needs.
func (p *Pool) GuardCapacity(needs func(work.TaskID) work.Resources) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.needs = needs
}

// Remove ends the worker at an address for good. Calls to it are not answered.
func (p *Pool) Remove(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.workers, address)
}

// WorkerUsage is what one worker runs.
type WorkerUsage struct {
	Worker work.Worker
	Free   work.Resources // what runs needs nothing unless the capacity is guarded
	Runs   []work.TaskID
}

// Usage returns the usage of all workers, in no particular order.
func (p *Pool) Usage() []WorkerUsage {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]WorkerUsage, 0, len(p.workers))
	for _, w := range p.workers {
		w.advance(time.Now())
		u := WorkerUsage{Worker: w.info, Free: w.free()}
		for task := range w.runs {
			u.Runs = append(u.Runs, task)
		}
		out = append(out, u)
	}
	return out
}

// Succeeded reports whether a run of the task has ended with success, acknowledged or
// not.
func (p *Pool) Succeeded(task work.TaskID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.succeeded[task]
}

// FailedRuns returns the numbers of a task's runs that have failed.
func (p *Pool) FailedRuns(task work.TaskID) []int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.failedRuns[task]))
}

func (w *PoolWorker) free() work.Resources {
	free := w.info.Capacity
	if w.pool.needs != nil {
		for task := range w.runs {
			free = free.Sub(w.pool.needs(task))
		}
	}
	return free
}
