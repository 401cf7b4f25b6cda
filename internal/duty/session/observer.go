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

// observer tracks the revisions of the session rows and decides which
// sessions have expired. It reads no clock; callers pass the time.
type observer struct {
	ttl          time.Duration
	observations map[string]observation
	// watchingSince is the time of the first scan after the last interruption
	// (see interrupt), or zero until that scan.
	watchingSince time.Time
	lastScan      time.Time
	// grace is added to the TTL of sessions that haven't been renewed since
	// watchingSince. Their holders may be waiting for an unanswered operation
	// to time out before they can renew.
	grace    time.Duration
	maxGrace time.Duration
}

type observation struct {
	revision int64
	// firstSeen is when this revision was first seen.
	firstSeen time.Time
}

// expiredSession is a session to delete and the revision at which it expired.
type expiredSession struct {
	key      string
	revision int64
}

// newObserver returns an observer that grants the grace after each period
// without scans, including the one before its first scan, because the table
// may have been unavailable in that period.
func newObserver(ttl, grace time.Duration) observer {
	return observer{ttl: ttl, grace: grace, maxGrace: grace, observations: make(map[string]observation)}
}

// interrupt records a failed operation of this process or a gap between scans.
// The TTL of all sessions restarts at the next scan, extended by grace for those
// that aren't renewed after it.
func (o *observer) interrupt(grace time.Duration) {
	o.watchingSince = time.Time{}
	o.grace = grace
}

// recordScan records the rows found at now. Two scans that are further apart than
// the allowance and half of the TTL together count as an interruption, because
// the observer saw no renewals in between.
func (o *observer) recordScan(now time.Time, rows []port.Row, allowance time.Duration) {
	if !o.lastScan.IsZero() && now.Sub(o.lastScan) > o.ttl/2+allowance {
		o.interrupt(o.maxGrace)
	}
	if o.watchingSince.IsZero() {
		o.watchingSince = now
	}
	o.lastScan = now
	next := make(map[string]observation, len(rows))
	for _, r := range rows {
		seen, ok := o.observations[r.Key]
		if !ok || seen.revision != r.Revision {
			seen = observation{revision: r.Revision, firstSeen: now}
		}
		next[r.Key] = seen
	}
	o.observations = next
}

// expired returns the sessions other than own whose revision stayed unchanged
// for the TTL plus an allowance for the table's latency, counted from ttlStart, in
// key order.
func (o *observer) expired(now time.Time, own string, allowance time.Duration) []expiredSession {
	var out []expiredSession
	for key, s := range o.observations {
		if key != own && now.Sub(o.ttlStart(s)) >= o.ttl+allowance {
			out = append(out, expiredSession{key: key, revision: s.revision})
		}
	}
	slices.SortFunc(out, func(a, b expiredSession) int {
		return strings.Compare(a.key, b.key)
	})
	return out
}

// nextExpiry returns when the first session other than own expires, or false
// if there is none or an interruption is in progress.
func (o *observer) nextExpiry(own string, allowance time.Duration) (time.Time, bool) {
	var next time.Time
	for key, s := range o.observations {
		expiry := o.ttlStart(s).Add(o.ttl + allowance)
		if key != own && (next.IsZero() || expiry.Before(next)) {
			next = expiry
		}
	}
	return next, !next.IsZero() && !o.watchingSince.IsZero()
}

// ttlStart returns the start of a session's TTL: when its revision was first seen,
// or watchingSince plus the grace if it hasn't been renewed since then.
func (o *observer) ttlStart(s observation) time.Time {
	if s.firstSeen.After(o.watchingSince) {
		return s.firstSeen
	}
	return o.watchingSince.Add(o.grace)
}

// scan reads all sessions and publishes an event if the live ones changed.
func (s *Session) scan(ctx context.Context) error {
	ctx, done := s.startOperation(ctx)
	rows, err := s.store.ScanAll(ctx, store.SessionPrefix, 0)
	done(err)
	if err != nil {
		return err
	}
	s.observer.recordScan(time.Now(), rows, s.allowance())
	s.setLive(decodeSessions(rows))
	return nil
}

// decodeSessions skips rows that can't be decoded. They expire by their TTL.
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

// expire deletes the rows of expired sessions. Each deletion requires the
// observed revision, so a concurrent renewal wins.
func (s *Session) expire(ctx context.Context) {
	own := store.SessionKey(s.Incarnation())
	for _, e := range s.observer.expired(time.Now(), own, s.allowance()) {
		if err := s.deleteExpired(ctx, e); err != nil && !fault.Is(err, fault.Conflict) {
			s.interrupt()
			return
		}
	}
}

func (s *Session) deleteExpired(ctx context.Context, e expiredSession) error {
	ctx, done := s.startOperation(ctx)
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
