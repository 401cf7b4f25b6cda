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
	// eventCapacity bounds a failure domain's buffered events. While the ring is
	// full, operations, inbox reads and lease renewals wait.
	eventCapacity = 1024
	// maxConcurrentStarts bounds a failure domain's concurrent gang starts.
	maxConcurrentStarts = 64
	// maxConcurrentMemberCalls bounds an operation's concurrent calls to
	// workers.
	maxConcurrentMemberCalls = 32
	// publishInterval is the interval at which the state for dumps and peers
	// is updated.
	publishInterval = 500 * time.Millisecond
	// maxConcurrentRenewals bounds a failure domain's concurrent renewal calls.
	maxConcurrentRenewals = 64
)

// Settings configures a Manager and its runners.
type Settings struct {
	// DecisionInterval is the interval between rounds of scheduling and
	// publishing.
	DecisionInterval time.Duration
	// InboxPollInterval is the interval between reads of the inbox.
	InboxPollInterval time.Duration
	// LeaseTTL is the lifetime of a worker's lease, and LeaseRenewInterval the
	// interval between its renewals.
	LeaseTTL           time.Duration
	LeaseRenewInterval time.Duration
	// CallTimeout bounds one call to a worker, one read of the queue index or of a
	// batch of jobs, one poll of the inbox and the deletion of its rows. Commits of
	// a job's state are retried until the runner stops.
	CallTimeout time.Duration
	// CheckpointTimeout bounds each member's checkpoint when a gang is reclaimed.
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

// Deps are the dependencies of a Manager and its runners.
type Deps struct {
	Store   *store.Store
	Workers port.Workers
	Fleet   *fleet.Fleet
	// Config returns the configuration in force.
	Config func() *structs.Config
	// SessionUsable reports whether this process may act as the owner. After a
	// pause of this process it returns false until ownership was verified again.
	SessionUsable func() bool
	// ConfigFresh reports whether Config is recent enough for decisions. It returns
	// false until the configuration was first read.
	ConfigFresh func() bool
	// DomainSummaries returns the latest summaries of all failure domains,
	// including those that this instance owns.
	DomainSummaries func() []port.DomainSummary
	Observer        Observer
	Log             *zap.Logger
}

// Observer receives the events that metrics count. It must not block.
type Observer interface {
	// GangStarted reports how long a job waited until its first attempt ran. It isn't
	// called for a job whose first attempt stopped before that.
	GangStarted(class structs.Class, waited time.Duration)
	// AttemptStopped reports that an attempt ended and its job was requeued.
	AttemptStopped()
	// JobEnded reports that a job reached a final state.
	JobEnded(state structs.JobState)
	// LeaseRenewalFailed reports a failed renewal call to a worker.
	LeaseRenewalFailed()
	// GuaranteesUnmet reports how many gangs of the guarantees don't fit on the
	// failure domain's usable workers.
	GuaranteesUnmet(domain string, gangs int)
}

// Runner runs the jobs of one failure domain.
type Runner struct {
	settings Settings
	deps     Deps
	grant    ownership.Grant
	log      *zap.Logger

	events *ring.Ring[event]
	// wake holds a pending request to read the inbox.
	wake *ring.Ring[struct{}]
	// startSemaphore enforces maxConcurrentStarts.
	startSemaphore *semaphore.Weighted
	wg             sync.WaitGroup
	leases         *leaseTable
	health         *health

	// Only Run's goroutine uses the fields from here to mu.
	entries      map[structs.JobKey]*entry
	byLease      map[structs.LeaseID]leaseRef
	readingInbox bool
	// decisionInputChanged is set when an input of the scheduling decision changed.
	// lastConfig is the configuration used by the last decision.
	decisionInputChanged bool
	lastConfig           *structs.Config
	estimates            *scheduler.Estimates
	unmet                []scheduler.UnmetGuarantee
	// recentSpills counts the accelerators of jobs that spill moved to other
	// failure domains within summaryLag.
	recentSpills *recent.Window
	// lastRound, lastSchedule and lastPublish are the times of the last round,
	// scheduling decision and publication.
	lastRound    time.Time
	lastSchedule time.Time
	lastPublish  time.Time

	mu      sync.Mutex
	summary port.DomainSummary
	state   State
}

// NewRunner returns a runner for the failure domain of a grant.
func NewRunner(s Settings, deps Deps, grant ownership.Grant) *Runner {
	return &Runner{
		settings:       s,
		deps:           deps,
		grant:          grant,
		log:            deps.Log.With(zap.String("domain", grant.Domain)),
		events:         ring.New[event]("gang events", eventCapacity),
		wake:           ring.New[struct{}]("gang wake", 1),
		startSemaphore: semaphore.NewWeighted(maxConcurrentStarts),
		leases:         newLeaseTable(),
		health:         newHealth(),
		entries:        make(map[structs.JobKey]*entry),
		byLease:        make(map[structs.LeaseID]leaseRef),
		estimates:      scheduler.NewEstimates(),
		recentSpills:   recent.New(summaryLag),
		summary:        port.DomainSummary{Domain: grant.Domain},
	}
}

// Wake makes the runner read its inbox without delay.
func (r *Runner) Wake() {
	r.wake.TryPush(struct{}{})
}

// Run loads the failure domain's jobs and runs them until ctx is done. It returns
// ctx's error, or fails with fault.Fenced once an operation found that the grant
// was lost. It doesn't finish operations in progress, because the next owner
// resumes from the rows.
func (r *Runner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer r.wg.Wait()
	defer cancel(nil)
	if err := r.load(ctx); err != nil {
		return err
	}
	r.spawn(func() { r.renewLoop(ctx) })
	ticker := time.NewTicker(r.settings.DecisionInterval)
	defer ticker.Stop()
	inboxTicker := time.NewTicker(r.settings.InboxPollInterval)
	defer inboxTicker.Stop()
	r.pollInbox(ctx)
	for {
		select {
		case e := <-r.events.C():
			if err := r.handle(ctx, e); err != nil {
				cancel(err)
				return err
			}
		case <-ticker.C:
		case <-inboxTicker.C:
			r.pollInbox(ctx)
		case <-r.wake.C():
			r.pollInbox(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
		r.runRound(ctx)
	}
}

// runRound schedules and publishes, at most once per DecisionInterval regardless
// of the number of events.
func (r *Runner) runRound(ctx context.Context) {
	now := time.Now()
	if now.Sub(r.lastRound) < r.settings.DecisionInterval {
		return
	}
	r.lastRound = now
	if r.deps.SessionUsable() {
		r.retryFailedOperations(ctx, now)
		if r.deps.ConfigFresh() {
			r.schedule(ctx)
		}
	}
	if now.Sub(r.lastPublish) >= publishInterval {
		r.lastPublish = now
		r.publish()
	}
}

// retryFailedOperations advances the jobs whose last operation failed and whose
// retry is due.
func (r *Runner) retryFailedOperations(ctx context.Context, now time.Time) {
	for _, e := range r.entries {
		if !e.retryAt.IsZero() && !now.Before(e.retryAt) {
			e.retryAt = time.Time{}
			r.advance(ctx, e)
		}
	}
}

func (r *Runner) spawn(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// startOperation runs an operation on a job. Its result arrives as an event.
func (r *Runner) startOperation(ctx context.Context, e *entry, op func(context.Context, *operation) error) {
	e.busy = true
	o := &operation{runner: r, job: e.job, revision: e.revision, leaseExpiry: e.leaseExpiry}
	r.spawn(func() {
		err := op(ctx, o)
		// The only error is ctx's, which also stops the runner.
		_ = r.events.PushWait(ctx, event{done: &operationDone{operation: o, err: err}})
	})
}

// Summary returns the failure domain's free capacity, borrowed accelerators and
// queue length as last published, which are sent to peers.
func (r *Runner) Summary() port.DomainSummary {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.summary
}
