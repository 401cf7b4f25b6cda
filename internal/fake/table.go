// Package fake holds small in-memory stand-ins for the ports, whose faults are
// set by tests and by the stand-in programs.
package fake

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// TableFaults says how a table misbehaves.
type TableFaults = Faults

// TableCounts counts what a table was asked, in rows as well as calls.
type TableCounts struct {
	Commits, RowsWritten, Reads, RowsRead, Conflicts int64
}

// Table is an in-memory transactional table. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rows     map[string]port.Row
	keys     []string
	revision int64
	gate     gate
	counts   TableCounts
	// onCommit is called with each transaction that took effect.
	onCommit func(port.Txn)
}

// NewTable returns an empty, healthy table.
func NewTable() *Table {
	return &Table{rows: make(map[string]port.Row)}
}

// SetFaults replaces the table's faults.
func (t *Table) SetFaults(f TableFaults) {
	t.gate.set(f)
}

// OnCommit sets a function to be called, under the table's lock, with each
// transaction that takes effect.
func (t *Table) OnCommit(f func(port.Txn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onCommit = f
}

// Counts returns what the table was asked so far.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Get implements port.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]port.Row, error) {
	if _, err := t.gate.enter(ctx, "table read"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []port.Row
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			out = append(out, row)
		}
	}
	t.counts.Reads++
	t.counts.RowsRead += int64(len(out))
	return out, nil
}

// Scan implements port.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]port.Row, bool, error) {
	if _, err := t.gate.enter(ctx, "table read"); err != nil {
		return nil, false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	start, _ := slices.BinarySearch(t.keys, max(prefix, after))
	var out []port.Row
	for _, key := range t.keys[start:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key <= after {
			continue
		}
		if limit > 0 && len(out) == limit {
			return out, true, nil
		}
		out = append(out, t.rows[key])
		t.counts.RowsRead++
	}
	return out, false, nil
}

// Commit implements port.Table.
func (t *Table) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	faults, err := t.gate.enterMutation(ctx, "table commit")
	if err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Commits++
	if keys := t.failing(txn.Conditions); len(keys) > 0 {
		t.counts.Conflicts++
		return 0, faults.answer(&port.ConflictError{Keys: keys})
	}
	t.revision++
	for _, w := range txn.Writes {
		t.write(w)
	}
	if t.onCommit != nil {
		t.onCommit(txn)
	}
	return t.revision, faults.answer(nil)
}

func (t *Table) failing(conditions []port.Condition) []string {
	var keys []string
	for _, c := range conditions {
		if !t.holds(c) {
			keys = append(keys, c.Key)
		}
	}
	return keys
}

func (t *Table) holds(c port.Condition) bool {
	row, ok := t.rows[c.Key]
	switch c.Kind {
	case port.Absent:
		return !ok
	case port.Present:
		return ok
	default:
		return ok && row.Revision == c.Revision
	}
}

func (t *Table) write(w port.Write) {
	t.counts.RowsWritten++
	i, found := slices.BinarySearch(t.keys, w.Key)
	if w.Delete {
		if found {
			t.keys = slices.Delete(t.keys, i, i+1)
			delete(t.rows, w.Key)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
	t.rows[w.Key] = port.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: t.revision}
}
