// Package membership keeps the backend servers and entry instances that this
// process knows of. The platform's list lags and can be down, so that every
// other sign that an instance is leaving counts at once and for good.
package membership

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/ring"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	defaultPoll    = 500 * time.Millisecond
	defaultTimeout = 3 * time.Second
	defaultForget  = 10 * time.Minute
	defaultSpread  = time.Minute
	// maxMarks bounds the remembered signs.
	maxMarks = 8192
	// maxIDBytes bounds the instance IDs that are remembered.
	maxIDBytes = 256
	// maxTold bounds the signs passed on at once.
	maxTold = 128
)

// Config holds a membership's intervals. Zero fields take the defaults.
type Config struct {
	// Poll is the time between reads of the list.
	Poll time.Duration
	// Timeout bounds one read.
	Timeout time.Duration
	// Forget is how long a sign outlives its instance's last listing.
	Forget time.Duration
	// Spread is how long a sign is passed on to peers.
	Spread time.Duration
}

func (c Config) withDefaults() Config {
	c.Poll = cmp.Or(c.Poll, defaultPoll)
	c.Timeout = cmp.Or(c.Timeout, defaultTimeout)
	c.Forget = cmp.Or(c.Forget, defaultForget)
	c.Spread = cmp.Or(c.Spread, defaultSpread)
	return c
}

// Sign says how an instance was seen leaving.
type Sign int

// The signs.
const (
	// SignList is the platform's list.
	SignList Sign = iota + 1
	// SignServer is the instance's own answer, probe or refusal.
	SignServer
	// SignPeer is another instance's word. It isn't passed on.
	SignPeer
)

// mark is a remembered sign.
type mark struct {
	// firsthand is set unless only peers told.
	firsthand bool
	first     time.Time
	// listed is when the instance was last in the list, or when it was first
	// marked.
	listed time.Time
}

// Snapshot is the membership at a moment. It must not be changed.
type Snapshot struct {
	// Servers are the listed backend servers in order of ID, with StateLeaving
	// where any sign says so.
	Servers []structs.Instance
	// Entries are the listed entry instances in order of ID, with StateLeaving
	// likewise.
	Entries []structs.Instance
	// Listed is when the list was last read; zero before the first time.
	Listed time.Time
}

// Membership polls the list and merges the signs. Its methods are safe for
// concurrent use.
type Membership struct {
	cfg  Config
	list port.Instances

	mu          sync.Mutex
	listed      []structs.Instance
	marks       map[string]mark
	snapshot    Snapshot
	subscribers []*ring.Ring[struct{}]
}

// New returns a membership that Run keeps current.
func New(cfg Config, list port.Instances) *Membership {
	return &Membership{
		cfg:   cfg.withDefaults(),
		list:  list,
		marks: make(map[string]mark),
	}
}

// Subscribe returns a ring that gets an item after a change. The name appears
// in failures.
func (m *Membership) Subscribe(name string) *ring.Ring[struct{}] {
	r := ring.New[struct{}](name, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, r)
	return r
}

// Snapshot returns the present membership.
func (m *Membership) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot
}

// Servers returns the listed backend servers, with StateLeaving where any sign
// says so. The caller must not change them.
func (m *Membership) Servers() []structs.Instance {
	return m.Snapshot().Servers
}

// Leaving reports whether any sign says that an instance is leaving.
func (m *Membership) Leaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.marks[id]
	return ok
}

// MarkLeaving records a sign that instances are leaving.
func (m *Membership) MarkLeaving(sign Sign, ids ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	changed := false
	for _, id := range ids {
		changed = m.markLocked(sign, id, now) || changed
	}
	if changed {
		m.rebuildLocked()
	}
}

// markLocked reports whether the sign is news about the instance.
func (m *Membership) markLocked(sign Sign, id string, now time.Time) bool {
	was, known := m.marks[id]
	if !known && (len(m.marks) >= maxMarks || len(id) > maxIDBytes) {
		return false
	}
	if !known {
		was = mark{first: now, listed: now}
	}
	if sign != SignPeer && !was.firsthand {
		was.firsthand = true
		was.first = now
	}
	m.marks[id] = was
	return !known
}

// Told returns the instances seen leaving at first hand of late, the latest
// first, to be told to peers. What peers told isn't passed on: it would else
// never be forgotten.
func (m *Membership) Told() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var out []string
	for id, mark := range m.marks {
		if mark.firsthand && now.Sub(mark.first) < m.cfg.Spread {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(m.marks[b].first.Compare(m.marks[a].first), strings.Compare(a, b))
	})
	return out[:min(len(out), maxTold)]
}

// Run polls the list until ctx ends and returns ctx's error. While the list
// can't be read, the last one stays in force.
func (m *Membership) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.cfg.Poll)
	defer ticker.Stop()
	for {
		m.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m *Membership) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.Timeout)
	defer cancel()
	listed, err := m.list.List(ctx)
	if err != nil {
		return
	}
	m.accept(listed, time.Now())
}

// accept takes in a list.
func (m *Membership) accept(listed []structs.Instance, now time.Time) {
	listed = slices.Clone(listed)
	slices.SortFunc(listed, func(a, b structs.Instance) int {
		return strings.Compare(a.ID, b.ID)
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = listed
	m.snapshot.Listed = now
	for _, instance := range listed {
		if instance.State == structs.StateLeaving {
			m.markLocked(SignList, instance.ID, now)
		}
		if mark, ok := m.marks[instance.ID]; ok {
			mark.listed = now
			m.marks[instance.ID] = mark
		}
	}
	m.forgetLocked(now)
	m.rebuildLocked()
}

// forgetLocked drops the signs about instances that left the list long ago.
func (m *Membership) forgetLocked(now time.Time) {
	for id, mark := range m.marks {
		if now.Sub(mark.listed) > m.cfg.Forget {
			delete(m.marks, id)
		}
	}
}

// rebuildLocked makes the snapshot from the list and the signs, and tells the
// subscribers where it differs from the last.
func (m *Membership) rebuildLocked() {
	next := Snapshot{Listed: m.snapshot.Listed}
	for _, instance := range m.listed {
		if _, leaving := m.marks[instance.ID]; leaving {
			instance.State = structs.StateLeaving
		}
		switch instance.Kind {
		case structs.KindBackend:
			next.Servers = append(next.Servers, instance)
		case structs.KindEntry:
			next.Entries = append(next.Entries, instance)
		}
	}
	same := slices.EqualFunc(next.Servers, m.snapshot.Servers, equal) &&
		slices.EqualFunc(next.Entries, m.snapshot.Entries, equal)
	m.snapshot = next
	if same {
		return
	}
	for _, r := range m.subscribers {
		r.Offer(struct{}{})
	}
}

func equal(a, b structs.Instance) bool {
	return a.ID == b.ID && a.Kind == b.Kind && a.State == b.State && a.Domain == b.Domain &&
		a.Address == b.Address && a.Slots == b.Slots && slices.Equal(a.Services, b.Services)
}
