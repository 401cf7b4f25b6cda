package pool

import (
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Deps are what an owner works with.
type Deps struct {
	Store    port.RowStore
	Workers  port.WorkerCaller
	Registry port.WorkerRegistry
	// Advisor is the policy service, nil where there is none.
	Advisor  port.Advisor
	Replica  *replica.Replica
	Log      *zap.Logger
	Observer Observer
	// Now is a steady clock that counts suspended time.
	Now func() time.Duration
	// Wall is this machine's time of day, since 1970.
	Wall     func() time.Duration
	Settings planner.Settings
	// LongestLease is the longest lease that a worker grants.
	LongestLease time.Duration
	// RetainFor is how long callers may ask for an ended job.
	RetainFor time.Duration
	// Health is the store's present state.
	Health StoreHealth
	// Config returns the configuration in force, nil where there is none.
	Config func() *work.Config
	// Cores is the processor that this instance may use.
	Cores float64
	// Name and Incarnation tell this instance from its peers and former lives.
	Name        string
	Incarnation string
}

// StoreHealth tells what is known of the store's present state.
type StoreHealth interface {
	// Latency is what reads and commits take at present.
	Latency() time.Duration
	// DirectDown is for how long the store has been reached through peers only.
	DirectDown() time.Duration
	// Outage is for how long calls have failed on every way, 0 where the last one
	// was answered.
	Outage() time.Duration
	// PartDown reports whether a part failed lately.
	PartDown(part string) bool
}
