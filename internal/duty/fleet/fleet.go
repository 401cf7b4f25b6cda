// Package fleet maintains the inventory of workers.
package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

// maxInitialPoll bounds the interval between reads until the inventory has
// workers.
const maxInitialPoll = time.Second

// Fleet holds the last inventory read from the platform. It is safe for
// concurrent use.
type Fleet struct {
	workers      port.Workers
	pollInterval time.Duration
	timeout      time.Duration
	log          *zap.Logger

	mu       sync.RWMutex
	byID     map[string]structs.Worker
	byDomain map[string][]structs.Worker
}

// New returns an empty inventory. Run reads it every pollInterval, each time
// bounded by timeout.
func New(workers port.Workers, pollInterval, timeout time.Duration, log *zap.Logger) *Fleet {
	return &Fleet{workers: workers, pollInterval: pollInterval, timeout: timeout, log: log}
}

// Run reads the inventory until ctx ends and returns ctx's error. The last
// inventory is kept while the platform is unavailable.
func (f *Fleet) Run(ctx context.Context) error {
	for {
		f.refresh(ctx)
		if err := wait.For(ctx, f.interval()); err != nil {
			return err
		}
	}
}

// interval returns the time until the next read, at most maxInitialPoll while the
// inventory is empty.
func (f *Fleet) interval() time.Duration {
	if f.Len() == 0 {
		return min(f.pollInterval, maxInitialPoll)
	}
	return f.pollInterval
}

func (f *Fleet) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	list, err := f.workers.List(ctx)
	if err != nil {
		f.log.Warn("fleet_refresh_failed", zap.Error(err))
		return
	}
	f.replace(list)
}

func (f *Fleet) replace(list []structs.Worker) {
	byID := make(map[string]structs.Worker, len(list))
	byDomain := make(map[string][]structs.Worker)
	for _, w := range list {
		byID[w.ID] = w
		byDomain[w.Domain] = append(byDomain[w.Domain], w)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byID = byID
	f.byDomain = byDomain
}

// Worker returns a worker by ID and whether the inventory contains it.
func (f *Fleet) Worker(id string) (structs.Worker, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	w, ok := f.byID[id]
	return w, ok
}

// Domain returns the workers of a failure domain. The caller must not modify
// them.
func (f *Fleet) Domain(name string) []structs.Worker {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.byDomain[name]
}

// Len returns the number of workers.
func (f *Fleet) Len() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.byID)
}
