// Package store commits typed rows to the platform's table service. Every
// commit writes a unique token, so that the outcome of a commit whose reply was
// lost can be resolved by reading the row back.
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
	retryInitialInterval = 50 * time.Millisecond
	retryMaxInterval     = 2 * time.Second
	// scanPageRows is the row limit of one Scan call by ScanAll.
	scanPageRows = 500
)

// Store reads and writes typed rows. It is safe for concurrent use.
type Store struct {
	table    port.Table
	writerID string
	seq      atomic.Uint64
}

// New returns a store whose commit tokens start with writerID, which must be
// unique across processes and restarts.
func New(table port.Table, writerID string) *Store {
	return &Store{table: table, writerID: writerID}
}

// Txn builds a transaction from conditions and writes.
type Txn struct {
	conditions []port.Condition
	puts       []put
	deletes    []string
}

type put struct {
	key  string
	body any
}

// Create writes a row that must not exist.
func (t *Txn) Create(key string, body any) *Txn {
	t.conditions = append(t.conditions, port.Condition{Key: key, Kind: port.Absent})
	t.puts = append(t.puts, put{key: key, body: body})
	return t
}

// Update writes a row that must be at a revision.
func (t *Txn) Update(key string, revision int64, body any) *Txn {
	t.Require(key, revision)
	t.puts = append(t.puts, put{key: key, body: body})
	return t
}

// Put writes a row unconditionally. Commit requires that another operation adds
// a condition on a row that the transaction writes.
func (t *Txn) Put(key string, body any) *Txn {
	t.puts = append(t.puts, put{key: key, body: body})
	return t
}

// Delete removes a row unconditionally.
func (t *Txn) Delete(key string) *Txn {
	t.deletes = append(t.deletes, key)
	return t
}

// Require adds the condition that a row is at a revision.
func (t *Txn) Require(key string, revision int64) *Txn {
	t.conditions = append(t.conditions, port.Condition{Key: key, Kind: port.AtRevision, Revision: revision})
	return t
}

// RequirePresent adds the condition that a row exists.
func (t *Txn) RequirePresent(key string) *Txn {
	t.conditions = append(t.conditions, port.Condition{Key: key, Kind: port.Present})
	return t
}

// RequireAbsent adds the condition that a row doesn't exist.
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

// guardKey returns the key of a condition whose row the transaction also
// writes, preferring one that it puts, and whether it puts that row. The last
// result is false if there is none. The condition no longer holds once the
// transaction has taken effect, so a retry can't apply the transaction twice. This
// isn't true of RequirePresent with a put and of RequireAbsent with a deletion,
// which must not be the only conditions on written rows.
func (t *Txn) guardKey() (key string, isPut, ok bool) {
	for _, c := range t.conditions {
		if t.hasPut(c.Key) {
			return c.Key, true, true
		}
	}
	for _, c := range t.conditions {
		if t.hasDelete(c.Key) {
			return c.Key, false, true
		}
	}
	return "", false, false
}

func (t *Txn) hasPut(key string) bool {
	for _, p := range t.puts {
		if p.key == key {
			return true
		}
	}
	return false
}

func (t *Txn) hasDelete(key string) bool {
	for _, k := range t.deletes {
		if k == key {
			return true
		}
	}
	return false
}

// Commit applies a transaction and returns its revision, which is 0 if the
// outcome of a deletion was resolved by reading back. It retries until ctx ends
// and resolves lost replies. If the transaction puts no row that it has a
// condition on, a lost reply counts as success once the row to delete is gone,
// even if another writer deleted it. It fails with
//   - *port.ConflictError when a condition didn't hold and the transaction
//     had no effect,
//   - fault.Unavailable when ctx ended and the transaction had no effect,
//   - fault.Uncertain when the transaction may have taken effect or may still do
//     so, because ctx ended or another writer changed the row before the outcome
//     was resolved,
//   - fault.Internal for a transaction without a condition on a row it writes or
//     with a row that can't be encoded,
//   - any other error of the table, which isn't retried.
func (s *Store) Commit(ctx context.Context, t *Txn) (int64, error) {
	key, isPut, ok := t.guardKey()
	if !ok {
		return 0, fault.New(fault.Internal, "transaction has no condition on a row it writes")
	}
	token := s.newToken()
	txn, err := t.build(token)
	if err != nil {
		return 0, err
	}
	c := commit{store: s, txn: txn, token: token, key: key, isPut: isPut}
	return c.run(ctx)
}

func (s *Store) newToken() string {
	return s.writerID + "#" + strconv.FormatUint(s.seq.Add(1), 36)
}

// commit is a transaction that is being committed.
type commit struct {
	store *Store
	txn   port.Txn
	token string
	// key and isPut are the results of Txn.guardKey.
	key   string
	isPut bool
	// maybeApplied is set once an attempt may have taken effect.
	maybeApplied bool
}

func (c *commit) run(ctx context.Context) (int64, error) {
	pause := newBackOff()
	for {
		revision, err := c.attempt(ctx)
		if c.isFinal(err) {
			return revision, err
		}
		if sleepErr := wait.For(ctx, pause.NextBackOff()); sleepErr != nil {
			return 0, c.abortError(err)
		}
	}
}

// attempt commits once. If the reply is lost, it reads the row back before the
// next attempt, because the reply to that attempt may be lost too.
func (c *commit) attempt(ctx context.Context) (int64, error) {
	revision, err := c.store.table.Commit(ctx, c.txn)
	switch fault.CodeOf(err) {
	case fault.Uncertain:
		c.maybeApplied = true
		return c.readBack(ctx, err)
	case fault.Conflict:
		if !c.maybeApplied {
			return 0, err
		}
		return c.resolveConflict(ctx, err)
	default:
		return revision, err
	}
}

// readBack returns success if the row shows that the transaction has taken
// effect. Otherwise it returns uncertain, the attempt's error, because the
// transaction may still take effect.
func (c *commit) readBack(ctx context.Context, uncertain error) (int64, error) {
	rows, err := c.store.table.Get(ctx, c.key)
	switch {
	case err != nil:
		return 0, uncertain
	case len(rows) == 0 && !c.isPut:
		return c.resolveAbsent(uncertain)
	case len(rows) > 0 && c.isPut && tokenOf(rows[0]) == c.token:
		return rows[0].Revision, nil
	default:
		return 0, uncertain
	}
}

// resolveConflict determines whether an earlier attempt of the same commit
// caused the conflict.
func (c *commit) resolveConflict(ctx context.Context, conflict error) (int64, error) {
	rows, err := c.store.table.Get(ctx, c.key)
	if err != nil {
		return 0, fault.Wrap(fault.Uncertain, "read back "+c.key, err)
	}
	if len(rows) == 0 {
		return c.resolveAbsent(conflict)
	}
	if c.isPut && tokenOf(rows[0]) == c.token {
		return rows[0].Revision, nil
	}
	return 0, c.unresolvedError(conflict)
}

// unresolvedError returns the error for a row that another writer changed since
// an earlier attempt. That attempt may have taken effect before the change, or not
// at all.
func (c *commit) unresolvedError(cause error) error {
	return fault.Wrap(fault.Uncertain, "row "+c.key+" was changed after a try without an answer", cause)
}

// resolveAbsent returns the result if the row read back doesn't exist: success
// for a deletion, and otherwise an error with the attempt's error as the cause.
func (c *commit) resolveAbsent(attemptErr error) (int64, error) {
	if c.isPut {
		return 0, c.unresolvedError(attemptErr)
	}
	return 0, nil
}

func (c *commit) abortError(last error) error {
	if c.maybeApplied {
		return fault.Wrap(fault.Uncertain, "commit on "+c.key+" was not settled", last)
	}
	return fault.Wrap(fault.Unavailable, "commit on "+c.key, last)
}

// isFinal reports whether an attempt that returned err is the last one, because
// another attempt can't yield more information.
func (c *commit) isFinal(err error) bool {
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
	b.InitialInterval = retryInitialInterval
	b.MaxInterval = retryMaxInterval
	return b
}

// Get returns the existing rows among keys, by key. It fails with
// fault.Unavailable and does not retry.
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

// ScanAll returns all rows with the prefix in key order. Each page may take pageTimeout, so
// that the number of rows doesn't decide whether they can be read; 0 leaves the limit to ctx.
// It fails with fault.Unavailable and does not retry.
func (s *Store) ScanAll(ctx context.Context, prefix string, pageTimeout time.Duration) ([]port.Row, error) {
	var out []port.Row
	after := ""
	for {
		rows, more, err := s.scanPage(ctx, prefix, after, pageTimeout)
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

func (s *Store) scanPage(ctx context.Context, prefix, after string, timeout time.Duration) ([]port.Row, bool, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	return s.table.Scan(ctx, prefix, after, scanPageRows)
}

// Scan returns one page of the rows that have the prefix and a key greater than
// after, and reports whether more follow. It fails with fault.Unavailable and
// does not retry.
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]port.Row, bool, error) {
	return s.table.Scan(ctx, prefix, after, limit)
}
