// Package session keeps this process's session row alive in the table and
// expires the sessions of processes that stopped renewing theirs.
//
// A session belongs to an incarnation, which is one run of one instance and
// gets a new name after each loss. Only the incarnation writes its row. Other
// instances may only delete it, on condition that its revision hasn't changed
// since they last read it.
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

// State is the state of this process's session.
type State int

// The states.
const (
	// Unverified means that the table hasn't confirmed the session since the
	// start, the last failed renewal or the last pause of this process.
	Unverified State = iota
	// Verified means that the last renewal succeeded and that the process
	// hasn't paused since.
	Verified
	// Lost means that another instance deleted the session and that the next
	// incarnation isn't established yet, or that Run has ended.
	Lost
)

// String returns the stable name of the state.
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
	// Address has the form IP:port.
	Address string
}

// Info is a live session.
type Info struct {
	Incarnation string
	Instance    string
	Domain      string
	// Address has the form IP:port.
	Address string
	// Draining means that the instance takes over no ownership.
	Draining bool
}

// row is the stored value of a session.
type row struct {
	Instance  string `cbor:"1,keyasint"`
	Domain    string `cbor:"2,keyasint"`
	Address   string `cbor:"3,keyasint"`
	Heartbeat uint64 `cbor:"4,keyasint"`
	Draining  bool   `cbor:"5,keyasint,omitempty"`
}

// EventKind is the kind of an Event.
type EventKind int

// The event kinds.
const (
	// EventChanged means that the result of Live changed.
	EventChanged EventKind = iota + 1
	// EventLost means that another instance deleted the session of the
	// event's incarnation.
	EventLost
	// EventVerified means that a renewal succeeded after the start, a loss or a
	// failed renewal. It isn't sent for the first renewal after a pause.
	EventVerified
)

// Event notifies a subscriber that the session changed. A full ring drops
// events, so subscribers also compare Incarnation on a timer.
type Event struct {
	Kind        EventKind
	Incarnation string
}

// Session holds this process's session and the live sessions of all instances.
// Its methods are safe for concurrent use.
type Session struct {
	cfg   Config
	store *store.Store
	self  Self

	mu          sync.Mutex
	incarnation string
	// established is set once the table has confirmed the incarnation's row.
	established bool
	state       State
	draining    bool
	pauses      pauseDetector
	live        []Info
	scanned     bool
	subscribers []*ring.Ring[Event]
	latencies   latencies

	// The fields below are used only by the goroutine of Run.
	revision  int64
	heartbeat uint64
	observer  observer
}

// New returns a session. Run creates its row.
func New(cfg Config, st *store.Store, self Self) *Session {
	cfg = cfg.withDefaults()
	return &Session{
		cfg:         cfg,
		store:       st,
		self:        self,
		incarnation: newIncarnation(self.Instance),
		pauses:      pauseDetector{limit: cfg.PauseLimit},
		observer:    newObserver(cfg.TTL, graceTimeouts*cfg.MaxTimeout),
		latencies:   newLatencies(cfg.MinTimeout, cfg.MaxTimeout),
	}
}

func newIncarnation(instance string) string {
	return instance + "-" + strings.ToLower(rand.Text()[:incarnationSuffixLen])
}

// incarnationSuffixLen is the number of random characters, each of 5 bits.
const incarnationSuffixLen = 13

// Subscribe returns a ring of events. The name appears in the ring's errors.
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

// State returns the state of the current incarnation's session.
func (s *Session) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == Verified && s.pauses.needsVerification(time.Now()) {
		return Unverified
	}
	return s.state
}

// Usable reports whether this process may act at now on what it owns. It
// stays true while the table is unavailable. At the start, after a loss and
// after a pause longer than the pause limit, it is false until the table
// confirms the session.
func (s *Session) Usable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.established && !s.pauses.needsVerification(now)
}

// Live returns the sessions found by the last successful scan, including this
// process's own but without those that it has deleted as expired since. They are
// ordered by incarnation. The second result is false until a scan has succeeded.
func (s *Session) Live() ([]Info, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.live), s.scanned
}

// Timeout returns the timeout of a table operation, derived from the latency
// of recent operations.
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

// Run renews the session until ctx ends and then deletes its row. It always
// returns ctx's error.
func (s *Session) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { s.detectPauses(ctx) })
	defer wg.Wait()

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

// nextTick returns the time one heartbeat after the last tick, or earlier if
// another session's TTL expires before.
func (s *Session) nextTick(last time.Time) time.Time {
	next := last.Add(s.cfg.HeartbeatInterval)
	own := store.SessionKey(s.Incarnation())
	expiry, ok := s.observer.nextExpiry(own, s.allowance())
	if !ok || expiry.After(next) {
		return next
	}
	return latest(expiry, last.Add(s.cfg.HeartbeatInterval/maxTicksPerHeartbeat))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// tick renews the session, scans all sessions and deletes the expired ones.
// It scans only after a successful renewal, because no session can be renewed
// while the table rejects writes and all of them would appear expired.
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

// interrupt restarts the TTL of the other sessions after a failed operation.
func (s *Session) interrupt() {
	s.observer.interrupt(graceTimeouts * s.Timeout())
}

// leave deletes the session's row so that others needn't wait for its TTL. If
// that fails, the row expires by its TTL.
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

// publish sends an event to all subscribers. The caller must not hold the
// mutex.
func (s *Session) publish(e Event) {
	s.mu.Lock()
	subscribers := slices.Clone(s.subscribers)
	s.mu.Unlock()
	for _, r := range subscribers {
		r.TryPush(e)
	}
}

// errNotRenewed returns the error of a renewal that didn't update the row.
func errNotRenewed() error {
	return fault.New(fault.Unavailable, "session was not renewed")
}
