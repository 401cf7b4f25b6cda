// Package session keeps this process's session row alive in the table and ends
// the sessions of processes that stopped renewing theirs.
//
// A session is held by an incarnation: one run of one instance, named anew
// after every loss. Nobody else writes an incarnation's row; others may only
// delete it, on condition of the revision that they saw stand still.
package session

import (
	"context"
	"crypto/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/ring"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

// State says what is known of this process's session.
type State int

// The states.
const (
	// Unverified means that the table hasn't confirmed the session since the
	// start, a failed renewal or a pause of this process.
	Unverified State = iota
	// Verified means that the last renewal succeeded and no pause came after.
	Verified
	// Lost means that the session was ended by others and that the next
	// incarnation isn't established yet.
	Lost
)

// String returns the state's stable word.
func (s State) String() string {
	switch s {
	case Verified:
		return "verified"
	case Lost:
		return "lost"
	default:
		return "unverified"
	}
}

// Self describes this process.
type Self struct {
	Instance string
	Domain   string
	// Address is host:port by IP number.
	Address string
}

// Info is a live session.
type Info struct {
	Incarnation string
	Instance    string
	Domain      string
	// Address is host:port by IP number.
	Address string
	// Draining sessions take over nothing.
	Draining bool
}

// row is the value of a session's row.
type row struct {
	Instance string `cbor:"1,keyasint"`
	Domain   string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Beat     uint64 `cbor:"4,keyasint"`
	Draining bool   `cbor:"5,keyasint,omitempty"`
}

// EventKind tells events apart.
type EventKind int

// The event kinds.
const (
	// EventChanged means that Live changed.
	EventChanged EventKind = iota + 1
	// EventLost means that the incarnation in the event was ended by others.
	EventLost
	// EventVerified means that the incarnation was confirmed after it was
	// unverified.
	EventVerified
)

// Event tells a subscriber to look again. Events are hints: a full ring loses
// them, so that subscribers also compare Incarnation on a timer.
type Event struct {
	Kind        EventKind
	Incarnation string
}

// Session is this process's session and its view of the others. Its methods
// are safe for concurrent use.
type Session struct {
	cfg   Config
	store *store.Store
	self  Self

	mu          sync.Mutex
	incarnation string
	// established is set once the table confirmed the incarnation's row.
	established bool
	state       State
	draining    bool
	pulse       pulse
	live        []Info
	scanned     bool
	subscribers []*ring.Ring[Event]
	latencies   latencies

	// The fields below belong to Run's goroutine.
	revision int64
	beat     uint64
	observer observer
}

// New returns a session that Run establishes.
func New(cfg Config, st *store.Store, self Self) *Session {
	cfg = cfg.withDefaults()
	return &Session{
		cfg:         cfg,
		store:       st,
		self:        self,
		incarnation: newIncarnation(self.Instance),
		pulse:       pulse{limit: cfg.PauseLimit},
		observer:    newObserver(cfg.TTL, graceTimeouts*cfg.MaxTimeout),
		latencies:   newLatencies(cfg.MinTimeout, cfg.MaxTimeout),
	}
}

func newIncarnation(instance string) string {
	return instance + "-" + strings.ToLower(rand.Text()[:incarnationSuffix])
}

// incarnationSuffix is the number of random letters, of 5 bits each.
const incarnationSuffix = 13

// Subscribe returns a ring of events. The name appears in failures.
func (s *Session) Subscribe(name string, capacity int) *ring.Ring[Event] {
	r := ring.New[Event](name, capacity)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, r)
	return r
}

// Incarnation returns the current incarnation. It changes after a loss.
func (s *Session) Incarnation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation
}

// State returns what is known of the current incarnation's session.
func (s *Session) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == Verified && s.pulse.doubtful(time.Now()) {
		return Unverified
	}
	return s.state
}

// Usable reports whether this process may act on what it holds at now. It
// stays true while the table is down; it turns false when this process didn't
// run for longer than the pause limit, until the table confirms the session.
func (s *Session) Usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.established && !s.pulse.doubtful(now)
}

// Live returns the sessions that the last successful scan found, in order of
// incarnation, and whether there was such a scan.
func (s *Session) Live() ([]Info, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.live), s.scanned
}

// Timeout returns how long a table operation is worth waiting for, given how
// long the last ones took.
func (s *Session) Timeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latencies.timeout
}

// Drain marks the session as draining from the next renewal on.
func (s *Session) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Run keeps the session until ctx ends, and then deletes its row. It always
// returns ctx's error.
func (s *Session) Run(ctx context.Context) error {
	var pulsing sync.WaitGroup
	pulsing.Go(func() { s.runPulse(ctx) })
	defer pulsing.Wait()

	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case began := <-timer.C:
			s.tick(ctx)
			timer.Reset(time.Until(s.nextTick(began)))
		case <-ctx.Done():
			s.leave(ctx)
			return ctx.Err()
		}
	}
}

// nextTick returns a heartbeat after the last tick, or earlier when a session's
// TTL ends before.
func (s *Session) nextTick(last time.Time) time.Time {
	next := last.Add(s.cfg.Heartbeat)
	own := store.SessionKey(s.Incarnation())
	expiry, ok := s.observer.nextExpiry(own, s.allowance())
	if !ok || expiry.After(next) {
		return next
	}
	return latest(expiry, last.Add(s.cfg.Heartbeat/maxTicksPerHeartbeat))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// tick renews, scans and ends the sessions that stood still. A scan counts
// only after a successful renewal: a table that takes no writes would else
// make every session look dead.
func (s *Session) tick(ctx context.Context) {
	if err := s.renew(ctx); err != nil {
		return
	}
	if err := s.scan(ctx); err != nil {
		s.interrupt()
		return
	}
	s.expire(ctx)
}

// interrupt restarts the clock that runs for others.
func (s *Session) interrupt() {
	s.observer.interrupt(graceTimeouts * s.Timeout())
}

// leave deletes the session's row, so that others needn't wait for its TTL. A
// failure leaves the row to the TTL.
func (s *Session) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.cfg.MinTimeout)
	defer cancel()
	key := store.SessionKey(s.Incarnation())
	rows, err := s.store.Get(ctx, key)
	if found, ok := rows[key]; err == nil && ok {
		_, _ = s.store.Commit(ctx, new(store.Txn).Require(key, found.Revision).Delete(key))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.established = false
	s.state = Lost
}

// publish tells the subscribers. The caller doesn't hold the mutex.
func (s *Session) publish(e Event) {
	s.mu.Lock()
	subscribers := slices.Clone(s.subscribers)
	s.mu.Unlock()
	for _, r := range subscribers {
		r.Offer(e)
	}
}

// errNotRenewed is the failure of a renewal whose row didn't move.
func errNotRenewed() error {
	return fault.New(fault.Unavailable, "session was not renewed")
}
