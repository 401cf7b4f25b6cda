// Package ownership acquires, keeps and releases ownership of failure domains.
//
// A takeover is one transaction on the failure domain's owner row, which
// increments the epoch. The row is written only at takeover and release, so
// its revision serves as the fencing token of every write made as the owner.
package ownership

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/duty/session"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/ring"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

const (
	defaultPollInterval   = 500 * time.Millisecond
	defaultCandidateDelay = 500 * time.Millisecond
	defaultRebalanceDelay = 10 * time.Second
	defaultCallTimeout    = 2 * time.Second
	// maxCandidateDelays bounds the delay of low-ranked candidates, in multiples
	// of Config.CandidateDelay.
	maxCandidateDelays = 3
	// eventCapacity bounds the buffered events. Further ones are dropped.
	eventCapacity = 256
	// sessionEventCapacity bounds the buffered session events. Further ones are
	// dropped.
	sessionEventCapacity = 64
)

// Config configures an Ownership. Zero durations take the defaults.
type Config struct {
	// Domains returns the failure domains that need an owner.
	Domains func() []string
	// PollInterval is the interval between reads of the owner rows.
	PollInterval time.Duration
	// CandidateDelay is the additional delay before each next-best candidate may
	// take over a vacant failure domain.
	CandidateDelay time.Duration
	// RebalanceDelay is the time that an owner waits after a change of the live
	// sessions, or after its own last takeover or handover, before it hands a
	// failure domain over to balance the load.
	RebalanceDelay time.Duration
	// CallTimeout bounds one table operation at normal table latency. The bound
	// grows while the latency is higher.
	CallTimeout time.Duration
}

func (c Config) withDefaults() Config {
	c.PollInterval = cmp.Or(c.PollInterval, defaultPollInterval)
	c.CandidateDelay = cmp.Or(c.CandidateDelay, defaultCandidateDelay)
	c.RebalanceDelay = cmp.Or(c.RebalanceDelay, defaultRebalanceDelay)
	c.CallTimeout = cmp.Or(c.CallTimeout, defaultCallTimeout)
	return c
}

// EventKind is the kind of an Event.
type EventKind int

const (
	// EventGained means that the grant came into force.
	EventGained EventKind = iota + 1
	// EventLost means that the grant is no longer in force.
	EventLost
)

// Event is a change of this process's grants. A full ring drops events, so a
// consumer must also poll Owned.
type Event struct {
	Kind  EventKind
	Grant Grant
}

// Ownership manages this process's grants. Its methods are safe for concurrent
// use.
type Ownership struct {
	cfg             Config
	store           *store.Store
	session         *session.Session
	identity        session.Self
	sessionEvents   *ring.Ring[session.Event]
	events          *ring.Ring[Event]
	recheck         *ring.Ring[struct{}]
	releaseRequests *ring.Ring[chan error]

	mu sync.Mutex
	// incarnation identifies the session to which the grants belong.
	incarnation string
	// grants and owners are keyed by failure domain. owners holds the last known
	// owner rows.
	grants map[string]Grant
	owners map[string]ownerRow

	// Only Run's goroutine uses the fields below.
	// vacantSince holds the time at which each vacant failure domain was first
	// found vacant.
	vacantSince map[string]time.Time
	// releasing maps each failure domain being released to the instance that
	// should take it over, or "".
	releasing    map[string]string
	draining     bool
	liveSessions []session.Info
	// stableSince is the time at which the live sessions last changed or this
	// process last took over or handed over a failure domain.
	stableSince time.Time
}

// New returns an Ownership for the process that holds the session s.
func New(cfg Config, st *store.Store, s *session.Session, identity session.Self) *Ownership {
	return &Ownership{
		cfg:             cfg.withDefaults(),
		store:           st,
		session:         s,
		identity:        identity,
		sessionEvents:   s.Subscribe("ownership session events", sessionEventCapacity),
		events:          ring.New[Event]("ownership events", eventCapacity),
		recheck:         ring.New[struct{}]("ownership recheck", 1),
		releaseRequests: ring.New[chan error]("ownership release", 1),
		incarnation:     s.Incarnation(),
		grants:          make(map[string]Grant),
		owners:          make(map[string]ownerRow),
		vacantSince:     make(map[string]time.Time),
		releasing:       make(map[string]string),
	}
}

// Owned returns this process's grants, sorted by failure domain. It leaves out the
// grants of a lost session, even if Run hasn't removed them yet.
func (o *Ownership) Owned() []Grant {
	incarnation := o.session.Incarnation()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.incarnation != incarnation {
		return nil
	}
	out := make([]Grant, 0, len(o.grants))
	for _, grant := range o.grants {
		out = append(out, grant)
	}
	slices.SortFunc(out, func(a, b Grant) int {
		return strings.Compare(a.Domain, b.Domain)
	})
	return out
}

// Grant returns this process's grant for a failure domain, and whether there is
// one. As in Owned, a grant of a lost session doesn't count.
func (o *Ownership) Grant(domain string) (Grant, bool) {
	incarnation := o.session.Incarnation()
	o.mu.Lock()
	defer o.mu.Unlock()
	grant, ok := o.grants[domain]
	return grant, ok && o.incarnation == incarnation
}

// Owner returns the instance that owned a failure domain at the last read, the
// instance's address as host:port, and whether the failure domain had an owner.
func (o *Ownership) Owner(domain string) (instance, address string, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	owner := o.owners[domain]
	return owner.Instance, owner.Address, owner.Incarnation != ""
}

// Events returns the ring of gained and lost grants.
func (o *Ownership) Events() *ring.Ring[Event] {
	return o.events
}

// Recheck requests an immediate read of the owner rows. Callers use it after a
// write that failed the fencing condition.
func (o *Ownership) Recheck() {
	o.recheck.TryPush(struct{}{})
}

// Release gives up every failure domain and disables further takeovers. It
// returns nil once the table confirmed every release or the session was lost. It
// fails with fault.Overloaded if Run hasn't yet read an earlier call's request, and
// with a context's error when ctx or that of Run ends first. A later call's request
// replaces that of an earlier one, which then waits for its ctx. Other instances
// take over the remaining failure domains when the session expires.
func (o *Ownership) Release(ctx context.Context) error {
	o.session.Drain()
	done := make(chan error, 1)
	if err := o.releaseRequests.Push(done); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run polls until ctx is done and returns ctx's error. It releases nothing when
// ctx ends.
func (o *Ownership) Run(ctx context.Context) error {
	ticker := time.NewTicker(o.cfg.PollInterval)
	defer ticker.Stop()
	var releaseDone chan error
	for {
		o.poll(ctx)
		if releaseDone != nil && len(o.releasing) == 0 && len(o.Owned()) == 0 {
			releaseDone <- nil
			releaseDone = nil
		}
		select {
		case <-ticker.C:
		case <-o.sessionEvents.C():
		case <-o.recheck.C():
		case releaseDone = <-o.releaseRequests.C():
			o.draining = true
		case <-ctx.Done():
			if releaseDone != nil {
				releaseDone <- ctx.Err()
			}
			return ctx.Err()
		}
	}
}

// poll reads the owner rows and acts on them. A failed read has no effect, so
// owners keep their grants while the table is unavailable.
func (o *Ownership) poll(ctx context.Context) {
	o.dropLostGrants()
	live, ok := o.session.Live()
	if !ok {
		return
	}
	owners, err := o.readOwners(ctx)
	if err != nil {
		return
	}
	o.reconcile(owners)
	if o.session.State() != session.Verified {
		return
	}
	now := time.Now()
	o.updateLiveSessions(live, now)
	v := newView(o.cfg.Domains(), owners, live)
	o.takeOverVacant(ctx, v, now)
	o.planReleases(v, now)
	o.releasePlanned(ctx)
}

func (o *Ownership) readOwners(ctx context.Context) (map[string]ownerRow, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	rows, err := o.store.ScanAll(ctx, store.OwnerPrefix, 0)
	if err != nil {
		return nil, err
	}
	owners, undecodable := decodeOwners(rows)
	if len(undecodable) > 0 {
		return nil, fault.New(fault.Invalid, "undecodable owner rows: "+strings.Join(undecodable, ", "))
	}
	return owners, nil
}

// timeout returns the bound for one table operation, which grows with the
// table's latency.
func (o *Ownership) timeout() time.Duration {
	return max(o.cfg.CallTimeout, o.session.Timeout())
}

// dropLostGrants removes the grants of a previous incarnation of the session.
func (o *Ownership) dropLostGrants() {
	incarnation := o.session.Incarnation()
	o.mu.Lock()
	if o.incarnation == incarnation {
		o.mu.Unlock()
		return
	}
	lost := o.grants
	o.incarnation = incarnation
	o.grants = make(map[string]Grant)
	o.mu.Unlock()
	clear(o.releasing)
	for _, grant := range lost {
		o.events.TryPush(Event{Kind: EventLost, Grant: grant})
	}
}

func (o *Ownership) updateLiveSessions(live []session.Info, now time.Time) {
	if !slices.Equal(o.liveSessions, live) {
		o.liveSessions = live
		o.stableSince = now
	}
}
