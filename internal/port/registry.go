package port

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// WorkerChange is a change to an entry of the worker registry.
type WorkerChange struct {
	ID string
	// Worker is nil when the entry was removed or doesn't describe a usable
	// worker.
	Worker *work.Worker
}

// WorkerRegistry lists the registered workers.
type WorkerRegistry interface {
	// Workers returns the workers of all usable entries and the version from which
	// to watch, with the errors of RowStore.Scan.
	Workers(ctx context.Context) ([]work.Worker, int64, error)
	// WatchWorkers waits for changes after a version, with the results and
	// errors of RowStore.Watch.
	WatchWorkers(ctx context.Context, after int64, wait time.Duration) ([]WorkerChange, int64, error)
}

// ConfigSource provides the configuration in force.
type ConfigSource interface {
	// Config returns the latest configuration, or nil if there is none yet, and
	// the version from which to watch. It fails with the errors of RowStore.Scan,
	// or with fault.Invalid when the configuration can't be decoded.
	Config(ctx context.Context) (*work.Config, int64, error)
	// WatchConfig waits for a configuration newer than a version, with the
	// errors of RowStore.Watch and of Config. It returns the configuration, or nil
	// if there is none, and the version from which to continue.
	WatchConfig(ctx context.Context, after int64, wait time.Duration) (*work.Config, int64, error)
}
