// Package membership maintains the list of backend servers and entry
// instances. The platform's list lags and can be unavailable, so any other
// sign that an instance is leaving takes effect at once and isn't reverted by
// the list.
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
	defaultPollInterval  = 500 * time.Millisecond
	defaultTimeout       = 3 * time.Second
	defaultMarkRetention = 10 * time.Minute
	defaultReportPeriod  = time.Minute
	// maxMarks bounds the number of instances marked as leaving.
	maxMarks = 8192
	// maxIDBytes bounds the length of the ID of a marked instance.
	maxIDBytes = 256
	// maxReported bounds the number of instances that ReportedLeaving returns.
	maxReported = 128
)

// Config holds the intervals of a Membership. Zero fields take the defaults.
type Config struct {
	// PollInterval is the time between reads of the list.
	PollInterval time.Duration
	// Timeout bounds one read.
	Timeout time.Duration
	// MarkRetention is how long a mark is kept after the instance was last
	// listed.
	MarkRetention time.Duration
	// ReportPeriod is how long a mark is reported to peers.
	ReportPeriod time.Duration
}

func (c Config) withDefaults() Config {
	c.PollInterval = cmp.Or(c.PollInterval, defaultPollInterval)
	c.Timeout = cmp.Or(c.Timeout, defaultTimeout)
	c.MarkRetention = cmp.Or(c.MarkRetention, defaultMarkRetention)
	c.ReportPeriod = cmp.Or(c.ReportPeriod, defaultReportPeriod)
	return c
}

// Source is the source of the information that an instance is leaving.
type Source int

// The sources.
const (
	// SourceList is the platform's list.
	SourceList Source = iota + 1
	// SourceServer is the instance itself: its answer, probe result or refusal.
	SourceServer
	// SourcePeer is a report of another instance. It isn't forwarded.
	SourcePeer
)

// leavingMark records that an instance is leaving.
type leavingMark struct {
	// direct is set if a source other than a peer marked the instance.
	direct bool
	// markedAt is when a source other than a peer first marked the instance.
	// While only peers have, it is when the first of them did.
	markedAt time.Time
	// lastListed is when the instance was last in the list, or when it was
	// first marked.
	lastListed time.Time
}

// Snapshot is the membership at one time. It must not be modified.
type Snapshot struct {
	// Servers are the listed backend servers ordered by ID, with StateLeaving
	// if marked.
	Servers []structs.Instance
	// Entries are the listed entry instances ordered by ID, with StateLeaving
	// if marked.
	Entries []structs.Instance
	// ListReadAt is when the list was last read, or zero if it never was.
	ListReadAt time.Time `json:"Listed"`
}

// Membership polls the list and merges it with the marks. Its methods are
// safe for concurrent use.
type Membership struct {
	cfg  Config
	list port.Instances

	mu          sync.Mutex
	listed      []structs.Instance
	marks       map[string]leavingMark
	snapshot    Snapshot
	subscribers []*ring.Ring[struct{}]
}

// New returns an empty membership. Run keeps it up to date.
func New(cfg Config, list port.Instances) *Membership {
	return &Membership{
		cfg:   cfg.withDefaults(),
		list:  list,
		marks: make(map[string]leavingMark),
	}
}

// Subscribe returns a ring that gets an item after a change of the servers or
// entries. It holds one item, which stands for all changes until it is removed.
// The name appears in the ring's errors.
func (m *Membership) Subscribe(name string) *ring.Ring[struct{}] {
	r := ring.New[struct{}](name, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, r)
	return r
}

// Snapshot returns the current membership.
func (m *Membership) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot
}

// Servers returns the listed backend servers, with StateLeaving if marked.
// The caller must not modify them.
func (m *Membership) Servers() []structs.Instance {
	return m.Snapshot().Servers
}

// Leaving reports whether an instance is marked as leaving.
func (m *Membership) Leaving(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.marks[id]
	return ok
}

// MarkLeaving marks instances as leaving. It ignores IDs longer than maxIDBytes
// and, once maxMarks instances are marked, any further ones.
func (m *Membership) MarkLeaving(source Source, ids ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	changed := false
	for _, id := range ids {
		changed = m.markLocked(source, id, now) || changed
	}
	if changed {
		m.rebuildLocked()
	}
}

// markLocked marks an instance and reports whether the mark is new.
func (m *Membership) markLocked(source Source, id string, now time.Time) bool {
	mark, marked := m.marks[id]
	if !marked && (len(m.marks) >= maxMarks || len(id) > maxIDBytes) {
		return false
	}
	if !marked {
		mark = leavingMark{markedAt: now, lastListed: now}
	}
	if source != SourcePeer && !mark.direct {
		mark.direct = true
		mark.markedAt = now
	}
	m.marks[id] = mark
	return !marked
}

// ReportedLeaving returns the instances to report to peers as leaving: those
// marked directly within ReportPeriod, latest first. Marks from peers are left
// out, since peers that forward each other's marks would keep them forever.
func (m *Membership) ReportedLeaving() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var out []string
	for id, mark := range m.marks {
		if mark.direct && now.Sub(mark.markedAt) < m.cfg.ReportPeriod {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(m.marks[b].markedAt.Compare(m.marks[a].markedAt), strings.Compare(a, b))
	})
	return out[:min(len(out), maxReported)]
}

// Run polls the list until ctx ends and returns ctx's error. The last list
// stays in force while the list can't be read.
func (m *Membership) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.cfg.PollInterval)
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
	m.applyList(listed, time.Now())
}

// applyList replaces the list and updates the marks.
func (m *Membership) applyList(listed []structs.Instance, now time.Time) {
	listed = slices.Clone(listed)
	slices.SortFunc(listed, func(a, b structs.Instance) int {
		return strings.Compare(a.ID, b.ID)
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = listed
	m.snapshot.ListReadAt = now
	for _, instance := range listed {
		if instance.State == structs.StateLeaving {
			m.markLocked(SourceList, instance.ID, now)
		}
		if mark, ok := m.marks[instance.ID]; ok {
			mark.lastListed = now
			m.marks[instance.ID] = mark
		}
	}
	m.pruneLocked(now)
	m.rebuildLocked()
}

// pruneLocked drops the marks of instances that haven't been listed for
// MarkRetention.
func (m *Membership) pruneLocked(now time.Time) {
	for id, mark := range m.marks {
		if now.Sub(mark.lastListed) > m.cfg.MarkRetention {
			delete(m.marks, id)
		}
	}
}

// rebuildLocked builds the snapshot from the list and the marks and notifies
// the subscribers if it changed.
func (m *Membership) rebuildLocked() {
	next := Snapshot{ListReadAt: m.snapshot.ListReadAt}
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
	unchanged := slices.EqualFunc(next.Servers, m.snapshot.Servers, equalInstances) &&
		slices.EqualFunc(next.Entries, m.snapshot.Entries, equalInstances)
	m.snapshot = next
	if unchanged {
		return
	}
	for _, r := range m.subscribers {
		r.TryPush(struct{}{})
	}
}

func equalInstances(a, b structs.Instance) bool {
	return a.ID == b.ID && a.Kind == b.Kind && a.State == b.State && a.Domain == b.Domain &&
		a.Address == b.Address && a.Slots == b.Slots && slices.Equal(a.Services, b.Services)
}
