// Package retention deletes rows that are no longer needed: jobs that ended long
// ago and old claims, the rows that keep a non-repeatable request from running
// twice. It sweeps the table slowly and continuously, so its share of the table's
// reads and writes stays small and steady.
package retention

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/claims"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Settings configures a Sweeper.
type Settings struct {
	// Interval is the time between two pages and PageSize the number of rows in
	// one. Together they bound the rows read and deleted per second.
	Interval time.Duration
	PageSize int
	// Timeout bounds the read and the deletion of one page together.
	Timeout time.Duration
	// ClaimAge is how long the claim of a non-repeatable request is kept after
	// its creation.
	ClaimAge time.Duration
	// JobAge is how long a job is kept after its end.
	JobAge time.Duration
}

// Sweeper deletes old rows while its active callback returns true. The callback
// only avoids duplicate work: sweepers of several instances can run concurrently
// without harm.
type Sweeper struct {
	settings Settings
	store    *store.Store
	// active reports whether this instance should sweep.
	active func() bool
	log    *zap.Logger

	rowKinds []rowKind
	// kindIndex and after are the position of the next page: the index of its row
	// kind and the last key of the previous page, or "" if there is none.
	kindIndex int
	after     string
}

// rowKind is a key prefix and the expiry of the rows under it.
type rowKind struct {
	prefix string
	// expiry returns when a row may be deleted, or the zero time for rows to
	// keep.
	expiry func(port.Row) (time.Time, error)
}

// New returns a sweeper that sweeps while active returns true.
func New(s Settings, st *store.Store, active func() bool, log *zap.Logger) *Sweeper {
	w := &Sweeper{settings: s, store: st, active: active, log: log}
	w.rowKinds = []rowKind{
		{prefix: store.ClaimPrefix, expiry: w.claimExpiry},
		{prefix: store.JobPrefix, expiry: w.jobExpiry},
	}
	return w
}

// Run sweeps until ctx ends and returns the error of ctx. It logs failed sweeps.
func (s *Sweeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !s.active() {
			continue
		}
		if err := s.sweepPage(ctx); err != nil {
			s.log.Warn("sweep_failed", zap.Error(err))
		}
	}
}

// sweepPage reads one page and deletes its expired rows.
func (s *Sweeper) sweepPage(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	k := s.rowKinds[s.kindIndex]
	rows, more, err := s.store.Scan(ctx, k.prefix, s.after, s.settings.PageSize)
	if err != nil {
		return err
	}
	if err := s.deleteRows(ctx, expiredRows(rows, k.expiry, time.Now())); err != nil {
		return err
	}
	if more && len(rows) > 0 {
		s.after = rows[len(rows)-1].Key
		return nil
	}
	s.kindIndex = (s.kindIndex + 1) % len(s.rowKinds)
	s.after = ""
	return nil
}

// expiredRows returns the rows whose expiry has passed. Rows that can't be
// decoded are kept.
func expiredRows(rows []port.Row, expiry func(port.Row) (time.Time, error), now time.Time) []port.Row {
	var out []port.Row
	for _, row := range rows {
		expiresAt, err := expiry(row)
		if err == nil && !expiresAt.IsZero() && now.After(expiresAt) {
			out = append(out, row)
		}
	}
	return out
}

// deleteRows deletes rows in one commit. It fails and deletes none if one of them
// has changed since it was read.
func (s *Sweeper) deleteRows(ctx context.Context, rows []port.Row) error {
	if len(rows) == 0 {
		return nil
	}
	txn := new(store.Txn)
	for _, row := range rows {
		txn.Require(row.Key, row.Revision).Delete(row.Key)
	}
	_, err := s.store.Commit(ctx, txn)
	return err
}

func (s *Sweeper) claimExpiry(row port.Row) (time.Time, error) {
	createdAt, err := claims.CreatedAt(row)
	if err != nil {
		return time.Time{}, err
	}
	return createdAt.Add(s.settings.ClaimAge), nil
}

func (s *Sweeper) jobExpiry(row port.Row) (time.Time, error) {
	var j structs.Job
	if err := store.Decode(row, &j); err != nil {
		return time.Time{}, err
	}
	if !j.State.Final() {
		return time.Time{}, nil
	}
	return j.Ended.Add(s.settings.JobAge), nil
}
