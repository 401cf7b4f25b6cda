// Package peer connects the instances to each other with one WebSocket per pair
// and messages in CBOR. Links carry only hints. Everything that they carry can also
// be found by polling the table, so that a lost message only causes a delay.
package peer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/ring"
)

// Mesh manages the links of this instance to its peers. It implements
// port.Peers. Its methods are safe for concurrent use.
type Mesh struct {
	cfg       Config
	self      func() port.PeerHello
	events    *ring.Ring[port.PeerEvent]
	heartbeat atomic.Pointer[port.PeerHeartbeat]
	stats     counters
	// handshakes holds a token for each accepted connection that awaits a hello.
	handshakes chan struct{}

	mu sync.Mutex
	// runCtx is the context of Run, nil while Run isn't running.
	runCtx  context.Context
	links   map[string]*link
	dialers map[string]*dialer
	targets map[string]Target
	// wg waits for the goroutines of dialers and accepted links.
	wg sync.WaitGroup
}

var _ port.Peers = (*Mesh)(nil)

// New returns a mesh. The function self returns the hello of this instance, in
// which the instance ID must not change.
func New(cfg Config, self func() port.PeerHello) *Mesh {
	cfg = cfg.withDefaults()
	m := &Mesh{
		cfg:        cfg,
		self:       self,
		events:     ring.New[port.PeerEvent]("peer events", cfg.EventQueueSize),
		handshakes: make(chan struct{}, maxHandshakes),
		links:      make(map[string]*link),
		dialers:    make(map[string]*dialer),
		targets:    make(map[string]Target),
	}
	m.heartbeat.Store(new(port.PeerHeartbeat))
	return m
}

// Events returns the ring of received messages. It has only those heartbeats
// that differ from the previous one in a field that the receiver must act on.
// Live returns the last heartbeat of each peer.
func (m *Mesh) Events() *ring.Ring[port.PeerEvent] {
	return m.events
}

// SetPeers replaces the set of peers to dial. Links that were dialed by peers
// are kept even if those peers aren't in the set.
func (m *Mesh) SetPeers(targets []Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.self().Instance
	clear(m.targets)
	for _, t := range targets {
		if t.Instance != self && t.Instance != "" {
			m.targets[t.Instance] = t
		}
	}
	m.reconcileLocked()
}

// reconcileLocked starts and stops dialers to match the targets.
func (m *Mesh) reconcileLocked() {
	if m.runCtx == nil {
		return
	}
	for instance, d := range m.dialers {
		if m.targets[instance] != d.target {
			d.cancel()
			delete(m.dialers, instance)
		}
	}
	for instance, target := range m.targets {
		if _, ok := m.dialers[instance]; !ok {
			m.dialers[instance] = m.startDialerLocked(target)
		}
	}
}

// Run maintains the links until ctx is done, closes them and returns the error
// of ctx.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.runCtx = ctx
	m.reconcileLocked()
	m.mu.Unlock()
	<-ctx.Done()
	m.mu.Lock()
	m.runCtx = nil
	m.mu.Unlock()
	m.wg.Wait()
	return ctx.Err()
}

// Broadcast implements port.Peers. A heartbeat isn't queued: it replaces the one
// that every link sends at its next heartbeat interval. Other messages are queued
// on each live link with free capacity.
func (m *Mesh) Broadcast(msg port.PeerMessage) {
	if msg.Heartbeat != nil {
		heartbeat := *msg.Heartbeat
		m.heartbeat.Store(&heartbeat)
		return
	}
	for _, l := range m.snapshot() {
		if l.isLive(time.Now()) {
			l.offer(msg)
		}
	}
}

// Send implements port.Peers.
func (m *Mesh) Send(_ context.Context, instance string, msg port.PeerMessage) error {
	m.mu.Lock()
	l := m.links[instance]
	m.mu.Unlock()
	if l == nil || !l.isLive(time.Now()) {
		return fault.New(fault.Unavailable, "no live link to instance "+instance)
	}
	if !l.offer(msg) {
		return fault.New(fault.Overloaded, "queue of the link to instance "+instance+" is full")
	}
	return nil
}

// Live implements port.Peers. The peers are sorted by instance ID.
func (m *Mesh) Live() []port.PeerInfo {
	now := time.Now()
	var out []port.PeerInfo
	for _, l := range m.snapshot() {
		if l.isLive(now) {
			out = append(out, port.PeerInfo{Hello: l.peer, Heartbeat: *l.heartbeat.Load()})
		}
	}
	return out
}

// Stats returns the counters since New and the current number of links.
func (m *Mesh) Stats() Stats {
	m.mu.Lock()
	links := len(m.links)
	m.mu.Unlock()
	return m.stats.toStats(links)
}

// snapshot returns the links sorted by the instance ID of their peers.
func (m *Mesh) snapshot() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*link, 0, len(m.links))
	for _, l := range m.links {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *link) int {
		return strings.Compare(a.peer.Instance, b.peer.Instance)
	})
	return out
}

// register makes l the link to its peer. If both instances dialed, the link that
// the instance with the lower ID dialed is kept. If the same instance dialed
// twice, the later link is kept, because the dialer has abandoned the earlier one.
// It fails with fault.Exists, fault.Overloaded or fault.Unavailable.
func (m *Mesh) register(l *link) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runCtx == nil {
		return fault.New(fault.Unavailable, "mesh is not running")
	}
	old := m.links[l.peer.Instance]
	if old == nil && len(m.links) >= m.cfg.MaxLinks {
		return fault.New(fault.Overloaded, "too many peer links")
	}
	if old != nil && m.preferred(old) && !m.preferred(l) {
		return fault.New(fault.Exists, "link to instance "+l.peer.Instance)
	}
	if old != nil {
		old.stop(fault.New(fault.Exists, "replaced link to instance "+l.peer.Instance))
	}
	m.links[l.peer.Instance] = l
	m.stats.linksOpened.Add(1)
	return nil
}

// preferred reports whether the instance with the lower ID dialed l.
func (m *Mesh) preferred(l *link) bool {
	lower := m.self().Instance < l.peer.Instance
	return l.dialed == lower
}

func (m *Mesh) unregister(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer.Instance] == l {
		delete(m.links, l.peer.Instance)
	}
	m.stats.linksDropped.Add(1)
}

// linkTo returns the link to an instance, or nil.
func (m *Mesh) linkTo(instance string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[instance]
}
