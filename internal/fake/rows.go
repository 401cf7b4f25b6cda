package fake

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// Rows is a partitioned store with change feeds, for tests in virtual time. It
// is safe for concurrent use.
type Rows struct {
	gate
	began time.Time

	mu      sync.Mutex
	rows    map[port.RowKey]port.VersionedRow
	log     []port.VersionedRow
	version int64
	oldest  int64 // feeds from before this version have lost their history
	changed chan struct{}
}

// NewRows returns an empty store.
func NewRows() *Rows {
	return &Rows{began: time.Now(), rows: map[port.RowKey]port.VersionedRow{}, changed: make(chan struct{})}
}

// SetFaults changes how the store misbehaves.
func (r *Rows) SetFaults(f Faults) { r.set(f) }

// Healthy reports whether no fault is set.
func (r *Rows) Healthy() bool { return r.get() == Faults{} }

// Compact drops the feed's history.
func (r *Rows) Compact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log, r.oldest = nil, r.version
}

// Now implements port.RowStore.
func (r *Rows) Now() time.Duration { return time.Since(r.began) }

// Commit implements port.RowStore.
func (r *Rows) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	f, err := r.enterMutation(ctx, "commit")
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var conflict port.RowConflictError
	failed := false
	for key, version := range txn.ExpectedVersions {
		row, ok := r.rows[key]
		if ok {
			conflict.Current = append(conflict.Current, row)
		}
		failed = failed || row.Version != version
	}
	if failed {
		return 0, f.answer(&conflict)
	}
	r.version++
	for key, value := range txn.Puts {
		row := port.VersionedRow{RowKey: key, Value: slices.Clone(value), Version: r.version}
		r.rows[key] = row
		r.log = append(r.log, row)
	}
	for _, key := range txn.Deletes {
		delete(r.rows, key)
		r.log = append(r.log, port.VersionedRow{RowKey: key, Version: r.version, Deleted: true})
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return r.version, f.answer(nil)
}

// Scan implements port.RowStore.
func (r *Rows) Scan(ctx context.Context, table, part, from, to string) ([]port.VersionedRow, int64, error) {
	if _, err := r.enter(ctx, "scan"); err != nil {
		return nil, 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []port.VersionedRow
	for key, row := range r.rows {
		if key.Table == table && key.Partition == part && key.Key >= from && (to == "" || key.Key < to) {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b port.VersionedRow) int { return strings.Compare(a.Key, b.Key) })
	return out, r.version, nil
}

// Partitions implements port.RowStore.
func (r *Rows) Partitions(ctx context.Context, table string) ([]string, error) {
	if _, err := r.enter(ctx, "parts"); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for key := range r.rows {
		if key.Table == table && key.Partition != "" && !slices.Contains(out, key.Partition) {
			out = append(out, key.Partition)
		}
	}
	return out, nil
}

// Watch implements port.RowStore.
func (r *Rows) Watch(ctx context.Context, table string, after int64, patience time.Duration) ([]port.VersionedRow, int64, error) {
	until := time.Now().Add(patience)
	for {
		if _, err := r.enter(ctx, "feed"); err != nil {
			return nil, 0, err
		}
		rows, version, changed, err := r.since(table, after)
		if err != nil || len(rows) > 0 || !time.Now().Before(until) {
			return rows, version, err
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, 0, fault.Wrap(fault.Unavailable, "feed", ctx.Err())
		}
		timer.Stop()
	}
}

func (r *Rows) since(table string, after int64) ([]port.VersionedRow, int64, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if after < r.oldest {
		return nil, 0, nil, fault.New(fault.NotFound, "the history is gone")
	}
	var out []port.VersionedRow
	for _, row := range r.log {
		if row.Version > after && row.Table == table {
			out = append(out, row)
		}
	}
	return out, r.version, r.changed, nil
}

var _ port.RowStore = (*Rows)(nil)
