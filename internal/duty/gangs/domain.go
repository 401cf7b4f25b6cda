// Package gangs runs the jobs of the failure domains that this instance owns.
//
// For each failure domain, one goroutine holds the jobs and makes the
// scheduling decisions. Another renews the workers' leases, so that a slow
// decision or a slow table can't let them expire. Calls to the table or to
// workers run as operations, at most one per job, which return their results
// through a bounded ring.
package gangs

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/semaphore"

	"github.com/lentilwinch/lentilwinch/internal/duty/fleet"
	"github.com/lentilwinch/lentilwinch/internal/duty/ownership"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/recent"
	"github.com/lentilwinch/lentilwinch/internal/ring"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	eventCapacity = 1024
	// maxConcurrentStarts bounds a failure domain's concurrent gang starts.
	maxConcurrentStarts = 64
	// maxConcurrentMemberCalls bounds an operation's concurrent calls to
	// workers.
	maxConcurrentMemberCalls = 32
	// publishInterval is the interval at which the state for dumps and peers
	// is updated.
	publishInterval = 500 * time.Millisecond
	// maxConcurrentRenewals bounds the concurrent lease renewals.
	maxConcurrentRenewals = 64
)

// Settings configures the duty.
type Settings struct {
	// DecisionInterval is the interval between rounds of scheduling and publishing.
	DecisionInterval time.Duration
	// InboxPollInterval is the interval between reads of the inbox.
	InboxPollInterval time.Duration
	// LeaseTTL is the lifetime of a worker's lease and LeaseRenewInterval the interval
	// between its renewals.
	LeaseTTL           time.Duration
	LeaseRenewInterval time.Duration
	// CallTimeout bounds one call to a worker or the table.
	CallTimeout time.Duration
	// CheckpointTimeout bounds the checkpoint of a gang that is being stopped.
	CheckpointTimeout time.Duration
	// MaxFailures is the number of failed attempts after which a job fails.
	MaxFailures int
	// Domains lists the failure domains of the region, in order.
	Domains []string
}

// LeaseExpiry returns the time after which a lease that is no longer renewed
// must have expired. The last renewal may arrive one call timeout after it
// was sent, and the worker's clock may run slow by a tenth.
func (s Settings) LeaseExpiry() time.Duration {
	return s.LeaseTTL + s.LeaseTTL/10 + s.CallTimeout
}

// Deps are the dependencies of the duty.
type Deps struct {
	Store   *store.Store
	Workers port.Workers
	Fleet   *fleet.Fleet
	// Config returns the configuration in force.
	Config func() *structs.Config
	// SessionUsable reports whether this process may act as the owner. After a pause
	// of this process it is false until ownership was verified again.
	SessionUsable func() bool
	// DomainSummaries returns the latest summaries of all failure domains, those of
	// other owners and of this one.
	DomainSummaries func() []port.DomainSummary
	Observer        Observer
	Log             *zap.Logger
}

// Observer receives the events that metrics count. It must not block.
type Observer interface {
	// GangStarted reports how long a job waited until its first attempt ran.
	GangStarted(class structs.Class, waited time.Duration)
	// AttemptStopped reports that an attempt ended and its job was requeued.
	AttemptStopped()
	JobEnded(state structs.JobState)
	LeaseRenewalFailed()
	// GuaranteesUnmet reports how many gangs of guaranteed shapes don't fit on
	// the failure domain's usable workers.
	GuaranteesUnmet(domain string, gangs int)
}

// Runner runs the jobs of one failure domain.
type Runner struct {
	settings Settings
	deps     Deps
	grant    ownership.Grant
	log      *zap.Logger

	events *ring.Ring[event]
	wake   *ring.Ring[struct{}]
	starts *semaphore.Weighted
	wg     sync.WaitGroup
	leases *leaseTable
	health *health

	// Only Run's goroutine uses the fields from here to mu.
	entries      map[structs.JobKey]*entry
	byLease      map[structs.LeaseID]leaseRef
	readingInbox bool
	// stateChanged is set when an input of the scheduling decision changed.
	// lastConfig is the configuration used by the last decision.
	stateChanged bool
	lastConfig   *structs.Config
	estimates    *scheduler.Estimates
	unmet        []scheduler.UnmetGuarantee
	// recentSpills counts the accelerators of jobs moved to other failure
	// domains within summaryLag.
	recentSpills *recent.Window
	// lastDecide, lastSchedule and lastPublish are when decide, schedule and
	// publish last ran.
	lastDecide   time.Time
	lastSchedule time.Time
	lastPublish  time.Time

	mu      sync.Mutex
	summary port.DomainSummary
	state   State
}

// NewRunner returns a runner for the failure domain of a grant.
func NewRunner(s Settings, deps Deps, grant ownership.Grant) *Runner {
	return &Runner{
		settings:     s,
		deps:         deps,
		grant:        grant,
		log:          deps.Log.With(zap.String("domain", grant.Domain)),
		events:       ring.New[event]("gang events", eventCapacity),
		wake:         ring.New[struct{}]("gang wake", 1),
		starts:       semaphore.NewWeighted(maxConcurrentStarts),
		leases:       newLeaseTable(),
		health:       newHealth(),
		entries:      make(map[structs.JobKey]*entry),
		byLease:      make(map[structs.LeaseID]leaseRef),
		estimates:    scheduler.NewEstimates(),
		recentSpills: recent.New(summaryLag),
		summary:      port.DomainSummary{Domain: grant.Domain},
	}
}

// Wake makes the runner read its inbox without delay.
func (d *Runner) Wake() {
	d.wake.TryPush(struct{}{})
}

// Run loads the failure domain's jobs and runs them until ctx is done. It fails
// with fault.Fenced if the grant was lost. It doesn't finish operations in
// progress, because the next owner resumes from the rows.
func (d *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer d.wg.Wait()
	defer cancel(nil)
	if err := d.load(ctx); err != nil {
		return err
	}
	d.spawn(func() { d.renewLoop(ctx) })
	ticker := time.NewTicker(d.settings.DecisionInterval)
	defer ticker.Stop()
	inbox := time.NewTicker(d.settings.InboxPollInterval)
	defer inbox.Stop()
	d.pollInbox(ctx)
	for {
		select {
		case e := <-d.events.C():
			if err := d.handle(ctx, e); err != nil {
				cancel(err)
				return err
			}
		case <-ticker.C:
		case <-inbox.C:
			d.pollInbox(ctx)
		case <-d.wake.C():
			d.pollInbox(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
		d.decide(ctx)
	}
}

// decide schedules and publishes, at most once per tick regardless of the
// number of events.
func (d *Runner) decide(ctx context.Context) {
	now := time.Now()
	if now.Sub(d.lastDecide) < d.settings.DecisionInterval {
		return
	}
	d.lastDecide = now
	if d.deps.SessionUsable() {
		d.retryFailed(ctx, now)
		d.schedule(ctx)
	}
	if now.Sub(d.lastPublish) >= publishInterval {
		d.lastPublish = now
		d.publish()
	}
}

// retryFailed advances the jobs whose last operation failed and whose retry
// is due.
func (d *Runner) retryFailed(ctx context.Context, now time.Time) {
	for _, e := range d.entries {
		if !e.retryAt.IsZero() && !now.Before(e.retryAt) {
			e.retryAt = time.Time{}
			d.advance(ctx, e)
		}
	}
}

func (d *Runner) spawn(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// startOperation runs an operation on a job. Its result arrives as an event.
func (d *Runner) startOperation(ctx context.Context, e *entry, op func(context.Context, *operation) error) {
	e.busy = true
	o := &operation{domain: d, job: e.job, revision: e.revision, leaseExpiry: e.leaseExpiry}
	d.spawn(func() {
		err := op(ctx, o)
		// The only error is ctx's, which also stops the runner.
		_ = d.events.PushWait(ctx, event{done: &operationDone{operation: o, err: err}})
	})
}

// Summary returns the failure domain's summary for peers.
func (d *Runner) Summary() port.DomainSummary {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.summary
}
