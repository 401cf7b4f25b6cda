package session

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

// observer watches the revisions of the sessions' rows. It is pure: times are
// the caller's.
type observer struct {
	ttl  time.Duration
	seen map[string]sighting
	// since is the beginning of the time without an interruption; zero while
	// one lasts.
	since time.Time
	last  time.Time
	// grace is added to the TTL of sessions that haven't moved since: their
	// holders may wait that long for operations that will never be answered.
	grace    time.Duration
	maxGrace time.Duration
}

type sighting struct {
	revision int64
	// moved is when the revision was first seen.
	moved time.Time
}

// expired is a session to end.
type expired struct {
	key      string
	revision int64
}

// newObserver returns an observer that gives the grace for times in which it
// didn't watch, as before its first scan: the table may have failed then.
func newObserver(ttl, grace time.Duration) observer {
	return observer{ttl: ttl, grace: grace, maxGrace: grace, seen: make(map[string]sighting)}
}

// interrupt records a failure of the observer's own operations: nothing that
// stands still until the next scan is held against anybody, nor within the
// grace after it.
func (o *observer) interrupt(grace time.Duration) {
	o.since = time.Time{}
	o.grace = grace
}

// scan records the rows found at now. Two scans further apart than half of the
// TTL count as an interruption, because the observer didn't watch in between.
func (o *observer) scan(now time.Time, rows []port.Row, allowance time.Duration) {
	if !o.last.IsZero() && now.Sub(o.last) > o.ttl/2+allowance {
		o.interrupt(o.maxGrace)
	}
	if o.since.IsZero() {
		o.since = now
	}
	o.last = now
	next := make(map[string]sighting, len(rows))
	for _, r := range rows {
		was, ok := o.seen[r.Key]
		if !ok || was.revision != r.Revision {
			was = sighting{revision: r.Revision, moved: now}
		}
		next[r.Key] = was
	}
	o.seen = next
}

// expired returns the sessions other than own whose revision stood still for
// longer than the TTL and an allowance for the table's latency, in key order.
func (o *observer) expired(now time.Time, own string, allowance time.Duration) []expired {
	var out []expired
	for key, s := range o.seen {
		if key != own && now.Sub(o.begins(s)) >= o.ttl+allowance {
			out = append(out, expired{key: key, revision: s.revision})
		}
	}
	slices.SortFunc(out, func(a, b expired) int {
		return strings.Compare(a.key, b.key)
	})
	return out
}

// nextExpiry returns when the first session other than own will have stood
// still for long enough, unless an interruption lasts.
func (o *observer) nextExpiry(own string, allowance time.Duration) (time.Time, bool) {
	var next time.Time
	for key, s := range o.seen {
		expiry := o.begins(s).Add(o.ttl + allowance)
		if key != own && (next.IsZero() || expiry.Before(next)) {
			next = expiry
		}
	}
	return next, !next.IsZero() && !o.since.IsZero()
}

// begins returns when a session's TTL begins to run.
func (o *observer) begins(s sighting) time.Time {
	if s.moved.After(o.since) {
		return s.moved
	}
	return o.since.Add(o.grace)
}

// scan reads all sessions and publishes a change of the live ones.
func (s *Session) scan(ctx context.Context) error {
	ctx, done := s.start(ctx)
	rows, err := s.store.ScanAll(ctx, store.SessionPrefix)
	done(err)
	if err != nil {
		return err
	}
	s.observer.scan(time.Now(), rows, s.allowance())
	s.setLive(decodeSessions(rows))
	return nil
}

// decodeSessions leaves out rows that can't be read: they end by their TTL.
func decodeSessions(rows []port.Row) []Info {
	live := make([]Info, 0, len(rows))
	for _, r := range rows {
		var value row
		if err := store.Decode(r, &value); err != nil {
			continue
		}
		live = append(live, Info{
			Incarnation: r.Key[len(store.SessionPrefix):],
			Instance:    value.Instance,
			Domain:      value.Domain,
			Address:     value.Address,
			Draining:    value.Draining,
		})
	}
	return live
}

func (s *Session) setLive(live []Info) {
	s.mu.Lock()
	changed := !s.scanned || !slices.Equal(s.live, live)
	s.live = live
	s.scanned = true
	incarnation := s.incarnation
	s.mu.Unlock()
	if changed {
		s.publish(Event{Kind: EventChanged, Incarnation: incarnation})
	}
}

// expire deletes the rows of sessions that stood still, each on condition of
// the revision seen, so that a renewal that comes first wins.
func (s *Session) expire(ctx context.Context) {
	own := store.SessionKey(s.Incarnation())
	for _, e := range s.observer.expired(time.Now(), own, s.allowance()) {
		if err := s.end(ctx, e); err != nil && !fault.Is(err, fault.Conflict) {
			s.interrupt()
			return
		}
	}
}

func (s *Session) end(ctx context.Context, e expired) error {
	ctx, done := s.start(ctx)
	_, err := s.store.Commit(ctx, new(store.Txn).Require(e.key, e.revision).Delete(e.key))
	done(err)
	if err != nil {
		return err
	}
	live, _ := s.Live()
	s.setLive(slices.DeleteFunc(live, func(i Info) bool {
		return store.SessionKey(i.Incarnation) == e.key
	}))
	return nil
}
