// Package retention deletes rows that nobody asks for any more: claims and
// jobs that ended long ago. It goes through the table slowly and all the time,
// so that it takes a small, steady share of the table's reads and writes.
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

// Settings of the duty.
type Settings struct {
	// Interval is the time between two pages, Page the rows of one. Together
	// they bound the rows read and deleted a second.
	Interval time.Duration
	Page     int
	// Timeout bounds one call to the table.
	Timeout time.Duration
	// ClaimAge is how long the ID of a request that may not be repeated is
	// remembered.
	ClaimAge time.Duration
	// JobAge is how long a job is kept after its end.
	JobAge time.Duration
}

// Sweeper deletes old rows. Sweepers of several instances don't harm each
// other; Active keeps them from doing the same work.
type Sweeper struct {
	settings Settings
	store    *store.Store
	// active reports whether this instance is the one to sweep.
	active func() bool
	log    *zap.Logger

	kinds []kind
	// kind and after are where the next page begins.
	kind  int
	after string
}

// kind is a sort of rows with the time at which one may go.
type kind struct {
	prefix string
	// expiry returns the zero time for rows that stay.
	expiry func(port.Row) (time.Time, error)
}

// New returns a sweeper that works while active returns true.
func New(s Settings, st *store.Store, active func() bool, log *zap.Logger) *Sweeper {
	w := &Sweeper{settings: s, store: st, active: active, log: log}
	w.kinds = []kind{
		{prefix: store.ClaimPrefix, expiry: w.claimExpiry},
		{prefix: store.JobPrefix, expiry: w.jobExpiry},
	}
	return w
}

// Run sweeps until ctx ends.
func (w *Sweeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !w.active() {
			continue
		}
		if err := w.page(ctx); err != nil {
			w.log.Warn("sweep_failed", zap.Error(err))
		}
	}
}

// page reads one page and deletes what is old on it.
func (w *Sweeper) page(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.settings.Timeout)
	defer cancel()
	k := w.kinds[w.kind]
	rows, more, err := w.store.Scan(ctx, k.prefix, w.after, w.settings.Page)
	if err != nil {
		return err
	}
	if err := w.remove(ctx, old(rows, k.expiry, time.Now())); err != nil {
		return err
	}
	if more && len(rows) > 0 {
		w.after = rows[len(rows)-1].Key
		return nil
	}
	w.kind = (w.kind + 1) % len(w.kinds)
	w.after = ""
	return nil
}

// old returns the rows whose expiry has passed. A row that can't be read stays.
func old(rows []port.Row, expiry func(port.Row) (time.Time, error), now time.Time) []port.Row {
	var out []port.Row
	for _, row := range rows {
		at, err := expiry(row)
		if err == nil && !at.IsZero() && now.After(at) {
			out = append(out, row)
		}
	}
	return out
}

// remove deletes rows in one commit unless one of them was changed since.
func (w *Sweeper) remove(ctx context.Context, rows []port.Row) error {
	if len(rows) == 0 {
		return nil
	}
	txn := new(store.Txn)
	for _, row := range rows {
		txn.Require(row.Key, row.Revision).Delete(row.Key)
	}
	_, err := w.store.Commit(ctx, txn)
	return err
}

func (w *Sweeper) claimExpiry(row port.Row) (time.Time, error) {
	since, err := claims.Since(row)
	if err != nil {
		return time.Time{}, err
	}
	return since.Add(w.settings.ClaimAge), nil
}

func (w *Sweeper) jobExpiry(row port.Row) (time.Time, error) {
	var j structs.Job
	if err := store.Decode(row, &j); err != nil {
		return time.Time{}, err
	}
	if !j.State.Final() {
		return time.Time{}, nil
	}
	return j.Ended.Add(w.settings.JobAge), nil
}
