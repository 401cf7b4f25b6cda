// Package store commits typed rows to the platform's table service. Every
// commit carries a token of its own, so that a lost answer is settled by
// reading back.
package store

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

const (
	retryInitial = 50 * time.Millisecond
	retryMax     = 2 * time.Second
	// scanPage is the number of rows that one Scan call asks for.
	scanPage = 500
)

// Store reads and writes typed rows. It is safe for concurrent use.
type Store struct {
	table  port.Table
	writer string
	seq    atomic.Uint64
}

// New returns a store whose tokens begin with writer, which must differ
// between all processes and restarts.
func New(table port.Table, writer string) *Store {
	return &Store{table: table, writer: writer}
}

// Txn collects conditions and writes.
type Txn struct {
	conditions []port.Condition
	puts       []put
	deletes    []string
}

type put struct {
	key  string
	body any
}

// Create puts a row that must not exist.
func (t *Txn) Create(key string, body any) *Txn {
	t.conditions = append(t.conditions, port.Condition{Key: key, Kind: port.Absent})
	t.puts = append(t.puts, put{key: key, body: body})
	return t
}

// Update puts a row that must be at a revision.
func (t *Txn) Update(key string, revision int64, body any) *Txn {
	t.Require(key, revision)
	t.puts = append(t.puts, put{key: key, body: body})
	return t
}

// Put puts a row whatever it was. The transaction needs a condition elsewhere.
func (t *Txn) Put(key string, body any) *Txn {
	t.puts = append(t.puts, put{key: key, body: body})
	return t
}

// Delete removes a row whatever it was.
func (t *Txn) Delete(key string) *Txn {
	t.deletes = append(t.deletes, key)
	return t
}

// Require asks that a row is at a revision.
func (t *Txn) Require(key string, revision int64) *Txn {
	t.conditions = append(t.conditions, port.Condition{Key: key, Kind: port.AtRevision, Revision: revision})
	return t
}

// RequirePresent asks that a row exists.
func (t *Txn) RequirePresent(key string) *Txn {
	t.conditions = append(t.conditions, port.Condition{Key: key, Kind: port.Present})
	return t
}

// RequireAbsent asks that a row doesn't exist.
func (t *Txn) RequireAbsent(key string) *Txn {
	t.conditions = append(t.conditions, port.Condition{Key: key, Kind: port.Absent})
	return t
}

func (t *Txn) build(token string) (port.Txn, error) {
	out := port.Txn{Conditions: t.conditions}
	for _, p := range t.puts {
		value, err := encode(token, p.body)
		if err != nil {
			return port.Txn{}, err
		}
		out.Writes = append(out.Writes, port.Write{Key: p.key, Value: value})
	}
	for _, key := range t.deletes {
		out.Writes = append(out.Writes, port.Write{Key: key, Delete: true})
	}
	return out, nil
}

// witness returns the condition whose row the transaction also writes. Once
// the transaction has taken effect that condition no longer holds, so sending
// it again can't apply it twice.
func (t *Txn) witness() (key string, isPut, ok bool) {
	for _, c := range t.conditions {
		if t.putsKey(c.Key) {
			return c.Key, true, true
		}
	}
	for _, c := range t.conditions {
		if t.deletesKey(c.Key) {
			return c.Key, false, true
		}
	}
	return "", false, false
}

func (t *Txn) putsKey(key string) bool {
	for _, p := range t.puts {
		if p.key == key {
			return true
		}
	}
	return false
}

func (t *Txn) deletesKey(key string) bool {
	for _, k := range t.deletes {
		if k == key {
			return true
		}
	}
	return false
}

// Commit applies a transaction and returns its revision, which is 0 where a
// deletion was settled by reading back. It tries until ctx ends and settles
// lost answers. It fails with
//   - *port.ConflictError when a condition didn't hold and the transaction
//     had no effect,
//   - fault.Unavailable when ctx ended and the transaction had no effect,
//   - fault.Uncertain when it may have taken effect or may yet do so: ctx
//     ended, or the row was changed by others before the answer was settled,
//   - fault.Internal for a transaction without a condition on a row it writes.
func (s *Store) Commit(ctx context.Context, t *Txn) (int64, error) {
	key, isPut, ok := t.witness()
	if !ok {
		return 0, fault.New(fault.Internal, "transaction has no condition on a row it writes")
	}
	token := s.token()
	txn, err := t.build(token)
	if err != nil {
		return 0, err
	}
	c := commit{store: s, txn: txn, token: token, key: key, isPut: isPut}
	return c.run(ctx)
}

func (s *Store) token() string {
	return s.writer + "#" + strconv.FormatUint(s.seq.Add(1), 36)
}

// commit is one transaction in progress.
type commit struct {
	store *Store
	txn   port.Txn
	token string
	key   string
	isPut bool
	// sent is set once an attempt may have taken effect.
	sent bool
}

func (c *commit) run(ctx context.Context) (int64, error) {
	pause := newBackOff()
	for {
		revision, err := c.attempt(ctx)
		if c.settled(err) {
			return revision, err
		}
		if sleepErr := wait.For(ctx, pause.NextBackOff()); sleepErr != nil {
			return 0, c.gaveUp(err)
		}
	}
}

// attempt commits once. Without an answer it looks for its own write before
// anything is sent again, because a table may lose the next answer too.
func (c *commit) attempt(ctx context.Context) (int64, error) {
	revision, err := c.store.table.Commit(ctx, c.txn)
	switch fault.CodeOf(err) {
	case fault.Uncertain:
		c.sent = true
		return c.readBack(ctx, err)
	case fault.Conflict:
		if !c.sent {
			return 0, err
		}
		return c.settle(ctx, err)
	default:
		return revision, err
	}
}

// readBack reports the transaction's effect where the row shows it, and
// otherwise uncertain, the failure of the try: it may yet take effect.
func (c *commit) readBack(ctx context.Context, uncertain error) (int64, error) {
	rows, err := c.store.table.Get(ctx, c.key)
	switch {
	case err != nil:
		return 0, uncertain
	case len(rows) == 0 && !c.isPut:
		return c.settleAbsent(uncertain)
	case len(rows) > 0 && c.isPut && tokenOf(rows[0]) == c.token:
		return rows[0].Revision, nil
	default:
		return 0, uncertain
	}
}

// settle decides whether a conflict was caused by our own earlier try.
func (c *commit) settle(ctx context.Context, conflict error) (int64, error) {
	rows, err := c.store.table.Get(ctx, c.key)
	if err != nil {
		return 0, fault.Wrap(fault.Uncertain, "read back "+c.key, err)
	}
	if len(rows) == 0 {
		return c.settleAbsent(conflict)
	}
	if c.isPut && tokenOf(rows[0]) == c.token {
		return rows[0].Revision, nil
	}
	return 0, c.undecided(conflict)
}

// undecided reports that the row was changed since an earlier try of ours,
// which may have come before that change or not at all.
func (c *commit) undecided(conflict error) error {
	return fault.Wrap(fault.Uncertain, "row "+c.key+" was changed after a try without an answer", conflict)
}

func (c *commit) settleAbsent(conflict error) (int64, error) {
	if c.isPut {
		return 0, c.undecided(conflict)
	}
	return 0, nil
}

func (c *commit) gaveUp(last error) error {
	if c.sent {
		return fault.Wrap(fault.Uncertain, "commit on "+c.key+" was not settled", last)
	}
	return fault.Wrap(fault.Unavailable, "commit on "+c.key, last)
}

// settled reports whether another attempt can't tell more than err does.
func (c *commit) settled(err error) bool {
	switch fault.CodeOf(err) {
	case fault.Unavailable:
		return false
	case fault.Uncertain:
		var conflict *port.ConflictError
		return errors.As(err, &conflict)
	default:
		return true
	}
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryInitial
	b.MaxInterval = retryMax
	return b
}

// Get returns the rows that exist among keys, by key. It fails with
// fault.Unavailable; it doesn't retry.
func (s *Store) Get(ctx context.Context, keys ...string) (map[string]port.Row, error) {
	rows, err := s.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	out := make(map[string]port.Row, len(rows))
	for _, row := range rows {
		out[row.Key] = row
	}
	return out, nil
}

// ScanAll returns every row with the prefix in key order. It fails with
// fault.Unavailable; it doesn't retry.
func (s *Store) ScanAll(ctx context.Context, prefix string) ([]port.Row, error) {
	var out []port.Row
	after := ""
	for {
		rows, more, err := s.table.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, err
		}
		out = append(out, rows...)
		if !more || len(rows) == 0 {
			return out, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// Scan returns one page of rows with the prefix after a key and whether more
// follow. It fails with fault.Unavailable; it doesn't retry.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]port.Row, bool, error) {
	return s.table.Scan(ctx, prefix, after, limit)
}
