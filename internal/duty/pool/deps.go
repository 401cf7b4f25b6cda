package pool

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Deps are the dependencies of an owner.
type Deps struct {
	Store   port.RowStore
	Workers port.WorkerClient
	// Delegates lets other instances carry out the calls of Workers while this
	// instance owns the pool; nil if there are none.
	Delegates Delegates
	Registry  port.WorkerRegistry
	// PolicyClient is nil if no policy service is configured.
	PolicyClient port.PolicyClient
	Replica      *replica.Replica
	Log          *zap.Logger
	Observer     Observer
	// Now is a monotonic clock that includes time spent suspended.
	Now func() time.Duration
	// WallClock is this machine's wall clock, as the time since the Unix epoch.
	WallClock func() time.Duration
	Settings  planner.Settings
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Retention is how long an ended job can be queried.
	Retention   time.Duration
	StoreHealth StoreHealth
	// Config returns the configuration in force, nil if there is none.
	Config func() *work.Config
	// Evacuation returns the failure domains that the operator has evacuated; nil if
	// there are never any. EvacuateWithin is the time after an evacuation from which
	// nothing may be started there, 0 for no limit.
	Evacuation     func() work.Evacuation
	EvacuateWithin time.Duration
	// Cores is the number of processor cores that this instance may use.
	Cores float64
	// Name identifies this instance. Incarnation identifies the current run of its
	// process.
	Name        string
	Incarnation string
}

// Delegates are other instances that may carry out calls to workers.
type Delegates interface {
	// Begin starts to use delegates until ctx ends. workers returns the pool's current
	// number of workers. The returned function waits until none is used.
	Begin(ctx context.Context, workers func() int) (wait func())
}

// StoreHealth reports the state of the store as this instance observes it.
type StoreHealth interface {
	// Latency returns the moving mean of the duration of reads and commits, 0
	// before the first one.
	Latency() time.Duration
	// DirectFailingFor returns how long the direct route to the store has been
	// failing, 0 if it works.
	DirectFailingFor() time.Duration
	// UnavailableFor returns how long calls have failed on all routes, 0 if the
	// last one was answered.
	UnavailableFor() time.Duration
	// PartitionDown reports whether a partition failed recently.
	PartitionDown(partition string) bool
}
