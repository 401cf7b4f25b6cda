// Package peer links the instances with each other: one WebSocket per pair,
// with CBOR messages. Links carry hints only; whatever they carry is also found
// by polling the table, so that a lost message costs time and nothing else.
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

// Mesh is this instance's end of the links. It implements port.Peers. Its
// methods are safe for concurrent use.
type Mesh struct {
	cfg    Config
	self   func() port.PeerHello
	events *ring.Ring[port.PeerEvent]
	load   atomic.Pointer[port.PeerLoad]
	stats  counters
	// handshakes holds a token for each accepted connection without a hello.
	handshakes chan struct{}

	mu sync.Mutex
	// running is Run's context, nil before Run and after its end.
	running context.Context
	links   map[string]*link
	dialers map[string]*dialer
	targets map[string]Target
	// work counts the goroutines of dialers and accepted links.
	work sync.WaitGroup
}

var _ port.Peers = (*Mesh)(nil)

// New returns a mesh. Self returns the hello of this instance; its instance
// must not change.
func New(cfg Config, self func() port.PeerHello) *Mesh {
	cfg = cfg.withDefaults()
	m := &Mesh{
		cfg:        cfg,
		self:       self,
		events:     ring.New[port.PeerEvent]("peer events", cfg.Events),
		handshakes: make(chan struct{}, maxHandshakes),
		links:      make(map[string]*link),
		dialers:    make(map[string]*dialer),
		targets:    make(map[string]Target),
	}
	m.load.Store(new(port.PeerLoad))
	return m
}

// Events returns the ring of received messages. Of the heartbeats it gets only
// those that differ from the last in what the receiver must act on; Live has
// the last of each peer.
func (m *Mesh) Events() *ring.Ring[port.PeerEvent] {
	return m.events
}

// SetPeers replaces the set of peers to be linked with. Links that peers
// dialed are kept whether or not they are in the set.
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
	if m.running == nil {
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

// Run keeps the links until ctx ends, closes them and returns ctx's error.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.running = ctx
	m.reconcileLocked()
	m.mu.Unlock()
	<-ctx.Done()
	m.mu.Lock()
	m.running = nil
	m.mu.Unlock()
	m.work.Wait()
	return ctx.Err()
}

// Broadcast implements port.Peers. A load replaces the one that heartbeats
// carry; other messages are queued on each link that has room.
func (m *Mesh) Broadcast(msg port.PeerMessage) {
	if msg.Load != nil {
		load := *msg.Load
		m.load.Store(&load)
		return
	}
	for _, l := range m.snapshot() {
		if l.fresh(time.Now()) {
			l.offer(msg)
		}
	}
}

// Send implements port.Peers.
func (m *Mesh) Send(_ context.Context, instance string, msg port.PeerMessage) error {
	m.mu.Lock()
	l := m.links[instance]
	m.mu.Unlock()
	if l == nil || !l.fresh(time.Now()) {
		return fault.New(fault.Unavailable, "no live link to instance "+instance)
	}
	if !l.offer(msg) {
		return fault.New(fault.Overloaded, "link to instance "+instance+" is full")
	}
	return nil
}

// Live implements port.Peers; the peers are in order of instance.
func (m *Mesh) Live() []port.PeerInfo {
	now := time.Now()
	var out []port.PeerInfo
	for _, l := range m.snapshot() {
		if l.fresh(now) {
			out = append(out, port.PeerInfo{Hello: l.peer, Load: *l.load.Load()})
		}
	}
	return out
}

// Stats returns the counts so far.
func (m *Mesh) Stats() Stats {
	m.mu.Lock()
	links := len(m.links)
	m.mu.Unlock()
	return m.stats.read(links)
}

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

// attach makes a link the one of its peer. Where both ends dialed, the link
// that the lower instance dialed stays; of two dialed by the same end, the
// later one does, because the dialer gave the earlier one up. It fails with
// fault.Exists, fault.Overloaded or fault.Unavailable.
func (m *Mesh) attach(l *link) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
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

// preferred reports whether the lower instance dialed a link.
func (m *Mesh) preferred(l *link) bool {
	lower := m.self().Instance < l.peer.Instance
	return l.dialed == lower
}

func (m *Mesh) detach(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer.Instance] == l {
		delete(m.links, l.peer.Instance)
	}
	m.stats.linksDropped.Add(1)
}

// linked returns the link to an instance, or nil.
func (m *Mesh) linked(instance string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[instance]
}
