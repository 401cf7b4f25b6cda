// Package gangs runs the jobs of the failure domains that this instance owns.
//
// One goroutine per failure domain holds the jobs and decides; another renews
// the workers' leases, so that a slow decision or a slow table can't let them
// lapse. What waits for the table or for workers runs as an operation: at most
// one for each job, whose result comes back through a bounded ring.
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
	// maxStarts bounds the gangs that a failure domain starts at once.
	maxStarts = 64
	// maxMemberCalls bounds the calls of one operation to workers at once.
	maxMemberCalls = 32
	// publishInterval is the time between two renewals of the state for dumps
	// and peers.
	publishInterval = 500 * time.Millisecond
	// maxRenewCalls bounds the renewals at once.
	maxRenewCalls = 64
)

// Settings of the duty.
type Settings struct {
	// Tick is the time between two decisions without an event.
	Tick time.Duration
	// InboxPoll is the time between two reads of the inbox.
	InboxPoll time.Duration
	// LeaseTTL and LeaseRenew govern the workers' leases.
	LeaseTTL   time.Duration
	LeaseRenew time.Duration
	// CallTimeout bounds one call to a worker or the table.
	CallTimeout time.Duration
	// CheckpointTimeout bounds the checkpoint of a gang before it is stopped.
	CheckpointTimeout time.Duration
	// MaxFailures is the number of attempts that a job may end by failing.
	MaxFailures int
	// Domains lists the failure domains of the region, in order.
	Domains []string
}

// Lapse is the time after which a lease that nobody renews any more has surely
// ended. A renewal sent just before may arrive a call timeout later, and the
// worker's clock may run slow by a tenth.
func (s Settings) Lapse() time.Duration {
	return s.LeaseTTL + s.LeaseTTL/10 + s.CallTimeout
}

// Deps are what the duty works with.
type Deps struct {
	Store   *store.Store
	Workers port.Workers
	Fleet   *fleet.Fleet
	// Config returns the configuration in force.
	Config func() *structs.Config
	// Usable reports whether ownership may still be relied on after a pause of
	// this process.
	Usable func() bool
	// Elsewhere returns what is known of the failure domains of other owners
	// and of this one.
	Elsewhere func() []port.DomainSummary
	Observer  Observer
	Log       *zap.Logger
}

// Observer is told what is counted. It must not block.
type Observer interface {
	// GangStarted tells how long a job waited before its first attempt ran.
	GangStarted(class structs.Class, waited time.Duration)
	// AttemptStopped tells that an attempt ended before its job did.
	AttemptStopped()
	JobEnded(state structs.JobState)
	LeaseRenewalFailed()
	// GuaranteesUnheld tells how many gangs of guaranteed shapes have no place
	// on the failure domain's usable workers.
	GuaranteesUnheld(domain string, gangs int)
}

// Domain runs the jobs of one failure domain.
type Domain struct {
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

	// The fields below belong to the goroutine of Run but for mu's.
	entries  map[structs.JobKey]*entry
	byLease  map[structs.LeaseID]leaseOwner
	inboxing bool
	// changed is set when something happened that a decision depends on;
	// decidedOn is the configuration of the last one.
	changed   bool
	decidedOn *structs.Config
	learned   *scheduler.Estimates
	unheld    []scheduler.Unheld
	// spilled sums the accelerators of jobs handed to other failure domains.
	spilled *recent.Window
	// decided, scheduled and published are when decide last did each.
	decided   time.Time
	scheduled time.Time
	published time.Time

	mu      sync.Mutex
	summary port.DomainSummary
	state   State
}

// NewDomain returns a runner under a grant.
func NewDomain(s Settings, deps Deps, grant ownership.Grant) *Domain {
	return &Domain{
		settings: s,
		deps:     deps,
		grant:    grant,
		log:      deps.Log.With(zap.String("domain", grant.Domain)),
		events:   ring.New[event]("gang events", eventCapacity),
		wake:     ring.New[struct{}]("gang wake", 1),
		starts:   semaphore.NewWeighted(maxStarts),
		leases:   newLeaseTable(),
		health:   newHealth(),
		entries:  make(map[structs.JobKey]*entry),
		byLease:  make(map[structs.LeaseID]leaseOwner),
		learned:  scheduler.NewEstimates(),
		spilled:  recent.New(summaryLag),
		summary:  port.DomainSummary{Domain: grant.Domain},
	}
}

// Wake makes the runner read its inbox now.
func (d *Domain) Wake() {
	d.wake.Offer(struct{}{})
}

// Run loads the failure domain's jobs and runs them until ctx ends or the
// grant turns out to be lost; it then fails with fault.Fenced. Operations are
// left where they are: the next owner goes on from the rows.
func (d *Domain) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer d.wg.Wait()
	defer cancel(nil)
	if err := d.load(ctx); err != nil {
		return err
	}
	d.spawn(func() { d.renewLoop(ctx) })
	ticker := time.NewTicker(d.settings.Tick)
	defer ticker.Stop()
	inbox := time.NewTicker(d.settings.InboxPoll)
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

// decide schedules and publishes at most once a tick, however many events
// arrive.
func (d *Domain) decide(ctx context.Context) {
	now := time.Now()
	if now.Sub(d.decided) < d.settings.Tick {
		return
	}
	d.decided = now
	if d.deps.Usable() {
		d.retry(ctx, now)
		d.schedule(ctx)
	}
	if now.Sub(d.published) >= publishInterval {
		d.published = now
		d.publish()
	}
}

// retry goes on with jobs whose last operation failed.
func (d *Domain) retry(ctx context.Context, now time.Time) {
	for _, e := range d.entries {
		if !e.retryAt.IsZero() && !now.Before(e.retryAt) {
			e.retryAt = time.Time{}
			d.advance(ctx, e)
		}
	}
}

func (d *Domain) spawn(f func()) {
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f()
	}()
}

// operate runs an operation on a job; its result arrives as an event.
func (d *Domain) operate(ctx context.Context, e *entry, op func(context.Context, *operation) error) {
	e.busy = true
	o := &operation{domain: d, job: e.job, revision: e.revision, lapse: e.lapse}
	d.spawn(func() {
		err := op(ctx, o)
		// The error is ctx's, which ends the runner.
		_ = d.events.PushWait(ctx, event{done: &operationDone{operation: o, err: err}})
	})
}

// Summary returns what peers are told about the failure domain.
func (d *Domain) Summary() port.DomainSummary {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.summary
}
