// Package ownership holds the failure domains that this process decides for.
//
// Taking over is one transaction on the failure domain's owner row, which
// raises the epoch. The row is written at takeover and release only, so that
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
	defaultPoll    = 500 * time.Millisecond
	defaultBackup  = 500 * time.Millisecond
	defaultSettle  = 10 * time.Second
	defaultTimeout = 2 * time.Second
	// maxBackupSteps bounds the wait of candidates that come late.
	maxBackupSteps = 3
	eventCapacity  = 256
	// sessionEvents is the number of session events that may wait.
	sessionEvents = 64
)

// Config holds an ownership's intervals. Zero fields take the defaults.
type Config struct {
	// Domains returns the failure domains to be owned.
	Domains func() []string
	// Poll is the time between reads of the owner rows.
	Poll time.Duration
	// Backup is the wait per place of candidates after the first.
	Backup time.Duration
	// Settle is how long the live sessions must stay the same, and an owner
	// must neither take nor hand over, before it hands a failure domain over to
	// even out the load.
	Settle time.Duration
	// Timeout bounds one table operation while the table isn't slow.
	Timeout time.Duration
}

func (c Config) withDefaults() Config {
	c.Poll = cmp.Or(c.Poll, defaultPoll)
	c.Backup = cmp.Or(c.Backup, defaultBackup)
	c.Settle = cmp.Or(c.Settle, defaultSettle)
	c.Timeout = cmp.Or(c.Timeout, defaultTimeout)
	return c
}

// EventKind tells events apart.
type EventKind int

// The event kinds.
const (
	// EventGained means that this process became the owner under the grant.
	EventGained EventKind = iota + 1
	// EventLost means that the grant is void.
	EventLost
)

// Event is a change of this process's grants. A full ring loses events, so
// that a consumer also compares Owned on a timer.
type Event struct {
	Kind  EventKind
	Grant Grant
}

// Ownership takes over, keeps and releases failure domains. Its methods are
// safe for concurrent use.
type Ownership struct {
	cfg     Config
	store   *store.Store
	session *session.Session
	self    session.Self
	changes *ring.Ring[session.Event]
	events  *ring.Ring[Event]
	recheck *ring.Ring[struct{}]
	release *ring.Ring[chan error]

	mu sync.Mutex
	// incarnation is the one that the grants were made to.
	incarnation string
	grants      map[string]Grant
	owners      map[string]record

	// The fields below belong to Run's goroutine.
	vacantSince map[string]time.Time
	// releasing names the failure domains that are being given up.
	releasing map[string]string
	draining  bool
	live      []session.Info
	// settledSince is when the live sessions changed or this process last took
	// or handed over.
	settledSince time.Time
}

// New returns an ownership for the process that holds a session.
func New(cfg Config, st *store.Store, s *session.Session, self session.Self) *Ownership {
	return &Ownership{
		cfg:         cfg.withDefaults(),
		store:       st,
		session:     s,
		self:        self,
		changes:     s.Subscribe("ownership session events", sessionEvents),
		events:      ring.New[Event]("ownership events", eventCapacity),
		recheck:     ring.New[struct{}]("ownership recheck", 1),
		release:     ring.New[chan error]("ownership release", 1),
		incarnation: s.Incarnation(),
		grants:      make(map[string]Grant),
		owners:      make(map[string]record),
		vacantSince: make(map[string]time.Time),
		releasing:   make(map[string]string),
	}
}

// Owned returns this process's grants by failure domain name. It is empty as
// soon as the session was lost.
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

// Grant returns this process's grant for a failure domain, if any.
func (o *Ownership) Grant(domain string) (Grant, bool) {
	incarnation := o.session.Incarnation()
	o.mu.Lock()
	defer o.mu.Unlock()
	grant, ok := o.grants[domain]
	return grant, ok && o.incarnation == incarnation
}

// Owner returns a failure domain's owner as last read, and whether it has one.
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

// Recheck asks for a read of the owner rows at once, as after a write that the
// fencing condition refused.
func (o *Ownership) Recheck() {
	o.recheck.Offer(struct{}{})
}

// Release gives up every failure domain and takes over none from then on. It
// waits until the table confirmed it and fails with ctx's error; what is left
// then falls to others when the session ends.
func (o *Ownership) Release(ctx context.Context) error {
	o.session.Drain()
	done := make(chan error, 1)
	if err := o.release.Push(done); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run polls until ctx ends and returns ctx's error. It doesn't release.
func (o *Ownership) Run(ctx context.Context) error {
	ticker := time.NewTicker(o.cfg.Poll)
	defer ticker.Stop()
	var waiting chan error
	for {
		o.poll(ctx)
		if waiting != nil && len(o.releasing) == 0 && len(o.Owned()) == 0 {
			waiting <- nil
			waiting = nil
		}
		select {
		case <-ticker.C:
		case <-o.changes.C():
		case <-o.recheck.C():
		case waiting = <-o.release.C():
			o.draining = true
		case <-ctx.Done():
			if waiting != nil {
				waiting <- ctx.Err()
			}
			return ctx.Err()
		}
	}
}

// poll reads the owner rows and acts on them. A failed read changes nothing:
// while the table is down, owners stay owners.
func (o *Ownership) poll(ctx context.Context) {
	o.dropAfterLoss()
	live, ok := o.session.Live()
	if !ok {
		return
	}
	owners, err := o.read(ctx)
	if err != nil {
		return
	}
	o.reconcile(owners)
	if o.session.State() != session.Verified {
		return
	}
	now := time.Now()
	o.noteLive(live, now)
	v := newView(o.cfg.Domains(), owners, live)
	o.takeOver(ctx, v, now)
	o.planReleases(v, now)
	o.giveUp(ctx)
}

func (o *Ownership) read(ctx context.Context) (map[string]record, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout())
	defer cancel()
	rows, err := o.store.ScanAll(ctx, store.OwnerPrefix)
	if err != nil {
		return nil, err
	}
	owners, unreadable := decodeOwners(rows)
	if len(unreadable) > 0 {
		return nil, fault.New(fault.Invalid, "unreadable owner rows: "+strings.Join(unreadable, ", "))
	}
	return owners, nil
}

// timeout bounds one table operation: longer while the table is slow.
func (o *Ownership) timeout() time.Duration {
	return max(o.cfg.Timeout, o.session.Timeout())
}

// dropAfterLoss voids the grants of an incarnation that was ended.
func (o *Ownership) dropAfterLoss() {
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
		o.events.Offer(Event{Kind: EventLost, Grant: grant})
	}
}

func (o *Ownership) noteLive(live []session.Info, now time.Time) {
	if !slices.Equal(o.live, live) {
		o.live = live
		o.settledSince = now
	}
}
