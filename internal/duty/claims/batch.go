package claims

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

// op is one row to be written in a shared commit.
type op struct {
	key string
	rec record
	// revision of the row to replace; 0 creates it.
	revision int64
	// session, if set, must exist for the write to take effect.
	session string
	done    chan opResult
}

type opResult struct {
	revision int64
	err      error
}

func newOp(key string, rec record, revision int64, session string) *op {
	return &op{key: key, rec: rec, revision: revision, session: session, done: make(chan opResult, 1)}
}

func (o *op) finish(revision int64, err error) {
	o.done <- opResult{revision: revision, err: err}
}

// Run commits queued writes in batches until ctx ends. Each batch waits up to
// Flush for company; Commits batches are in progress at once.
func (c *Claims) Run(ctx context.Context) error {
	defer c.wg.Wait()
	c.wg.Go(func() { c.settleLoop(ctx) })
	for {
		first, err := c.pending.Pop(ctx)
		if err != nil {
			return err
		}
		batch := c.gather(ctx, first)
		if err := c.commits.Acquire(ctx, 1); err != nil {
			return err
		}
		c.wg.Go(func() {
			defer c.commits.Release(1)
			c.commitBatch(ctx, batch)
		})
	}
}

// gather collects a batch with at most one write for each key.
func (c *Claims) gather(ctx context.Context, first *op) []*op {
	batch := []*op{first}
	timer := time.NewTimer(c.settings.Flush)
	defer timer.Stop()
	for len(batch) < c.settings.Batch {
		select {
		case o := <-c.pending.C():
			if slices.ContainsFunc(batch, func(b *op) bool { return b.key == o.key }) {
				o.finish(0, &port.ConflictError{Keys: []string{o.key}})
				continue
			}
			batch = append(batch, o)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// commitBatch commits the writes together. Those whose condition doesn't hold
// are refused and the rest tried again.
func (c *Claims) commitBatch(ctx context.Context, batch []*op) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CommitTimeout)
	defer cancel()
	for len(batch) > 0 {
		revision, err := c.store.Commit(ctx, transaction(batch))
		c.table.note(time.Now(), err)
		var conflict *port.ConflictError
		if fault.Is(err, fault.Conflict) && errors.As(err, &conflict) {
			batch = refuse(batch, conflict)
			continue
		}
		for _, o := range batch {
			o.finish(revision, err)
		}
		return
	}
}

func transaction(batch []*op) *store.Txn {
	txn := new(store.Txn)
	sessions := make(map[string]bool)
	for _, o := range batch {
		if o.revision == 0 {
			txn.Create(o.key, o.rec)
		} else {
			txn.Update(o.key, o.revision, o.rec)
		}
		if o.session != "" && !sessions[o.session] {
			sessions[o.session] = true
			txn.RequirePresent(store.SessionKey(o.session))
		}
	}
	return txn
}

// refuse ends the writes that a conflict names and returns the others.
func refuse(batch []*op, conflict *port.ConflictError) []*op {
	var rest []*op
	for _, o := range batch {
		switch {
		case o.session != "" && slices.Contains(conflict.Keys, store.SessionKey(o.session)):
			o.finish(0, fault.New(fault.Fenced, "session "+o.session+" has ended"))
		case slices.Contains(conflict.Keys, o.key):
			o.finish(0, conflict)
		default:
			rest = append(rest, o)
		}
	}
	if len(rest) < len(batch) {
		return rest
	}
	// A conflict that names none of the batch's keys can't be acted upon.
	for _, o := range rest {
		o.finish(0, fault.Wrap(fault.Internal, "conflict on unknown keys", conflict))
	}
	return nil
}
