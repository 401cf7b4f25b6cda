// Package fake contains in-memory implementations of the ports with injectable
// faults, for tests and for the stand-in programs.
package fake

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// TableFaults configures the faults of a table.
type TableFaults = Faults

// TableCounts counts the calls to a table and the rows read and written. Commits
// includes the calls that are counted as Conflicts, and RowsWritten the deletions.
// A call that a fault stopped isn't counted.
type TableCounts struct {
	Commits, RowsWritten, Reads, RowsRead, Conflicts int64
}

// Table is an in-memory transactional table. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rows     map[string]port.Row
	keys     []string // sorted keys of rows
	revision int64
	injector faultInjector
	counts   TableCounts
	// onCommit is called with each applied transaction.
	onCommit func(port.Txn)
}

// NewTable returns an empty, healthy table.
func NewTable() *Table {
	return &Table{rows: make(map[string]port.Row)}
}

// SetFaults replaces the table's faults.
func (t *Table) SetFaults(f TableFaults) {
	t.injector.set(f)
}

// OnCommit sets a function that is called with each applied transaction while
// the table is locked.
func (t *Table) OnCommit(f func(port.Txn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onCommit = f
}

// Counts returns the counts so far.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Get implements port.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]port.Row, error) {
	if _, err := t.injector.beforeRead(ctx, "table read"); err != nil {
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

// Scan implements port.Table. A limit below 1 means no limit.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]port.Row, bool, error) {
	if _, err := t.injector.beforeRead(ctx, "table read"); err != nil {
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
	faults, err := t.injector.beforeMutation(ctx, "table commit")
	if err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Commits++
	if keys := t.failedConditions(txn.Conditions); len(keys) > 0 {
		t.counts.Conflicts++
		return 0, faults.mutationResult(&port.ConflictError{Keys: keys})
	}
	t.revision++
	for _, w := range txn.Writes {
		t.write(w)
	}
	if t.onCommit != nil {
		t.onCommit(txn)
	}
	return t.revision, faults.mutationResult(nil)
}

func (t *Table) failedConditions(conditions []port.Condition) []string {
	var keys []string
	for _, c := range conditions {
		if !t.satisfied(c) {
			keys = append(keys, c.Key)
		}
	}
	return keys
}

func (t *Table) satisfied(c port.Condition) bool {
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
