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

// EvacuationChange tells that a failure domain is evacuated, or restored, by a row of the
// given version.
type EvacuationChange struct {
	Domain    string
	Evacuated bool
	Version   int64
}

// ConfigReading is a reading of the operator's configuration and of the failure domains
// that the operator has evacuated.
type ConfigReading struct {
	// Config is the newest usable configuration among those read, nil if there is
	// none or, for WatchConfig, no new one.
	Config *work.Config
	// Unusable is set if the newest configuration read was removed or can't be
	// decoded.
	Unusable bool
	// Evacuations holds the changes that were read, in their order. If Complete is set,
	// no other failure domains are evacuated.
	Evacuations []EvacuationChange
	Complete    bool
	// Version is the store's version from which to watch.
	Version int64
	// Shared is set if another instance shared its reading, and Age is how long before the
	// call that one was sent to the store.
	Shared bool
	Age    time.Duration
	// Configs is the number of configurations read, and Decoding how long it took to
	// decode them.
	Configs  int
	Decoding time.Duration
}

// ConfigSource provides the operator's configuration.
type ConfigSource interface {
	// Config reads the configuration, with the errors of RowStore.Scan. inForce is the one
	// in force, nil if there is none.
	Config(ctx context.Context, inForce *work.Config) (ConfigReading, error)
	// WatchConfig waits for a change of the configuration after a version, with the
	// errors of RowStore.Watch.
	WatchConfig(ctx context.Context, inForce *work.Config, after int64, wait time.Duration) (ConfigReading, error)
}

// ConfigSharer is implemented by routes to other instances that share the configuration
// that they have read from the store.
type ConfigSharer interface {
	// SharedConfig waits for a change of the configuration like ConfigSource.WatchConfig.
	// It fails with fault.Unavailable if the instance has nothing to share.
	SharedConfig(ctx context.Context, inForce *work.Config, after int64, wait time.Duration) (ConfigReading, error)
}
