package port

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// WorkerChange is a changed entry of the worker registry.
type WorkerChange struct {
	ID string
	// Worker is nil when the entry was removed or names no usable worker.
	Worker *work.Worker
}

// WorkerRegistry lists the workers that announce themselves.
type WorkerRegistry interface {
	// Workers returns all entries and the version to watch from.
	Workers(ctx context.Context) ([]work.Worker, int64, error)
	// WatchWorkers waits for changes as RowStore.Feed does.
	WatchWorkers(ctx context.Context, after int64, wait time.Duration) ([]WorkerChange, int64, error)
}

// ConfigSource gives the configuration in force.
type ConfigSource interface {
	// Config returns the newest configuration, nil where there is none yet, and
	// the version to watch from.
	Config(ctx context.Context) (*work.Config, int64, error)
	// WatchConfig waits for a newer one as RowStore.Feed does; nil means none.
	WatchConfig(ctx context.Context, after int64, wait time.Duration) (*work.Config, int64, error)
}
