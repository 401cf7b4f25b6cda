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

// writeOp is the write of one row in a shared commit.
type writeOp struct {
	key string
	rec record
	// revision is the revision of the row to replace; 0 creates the row.
	revision int64
	// session, if set, must exist for the write to take effect.
	session string
	done    chan writeResult
}

type writeResult struct {
	revision int64
	err      error
}

func newWriteOp(key string, rec record, revision int64, session string) *writeOp {
	return &writeOp{key: key, rec: rec, revision: revision, session: session, done: make(chan writeResult, 1)}
}

func (o *writeOp) finish(revision int64, err error) {
	o.done <- writeResult{revision: revision, err: err}
}

// Run commits queued writes in batches until ctx ends. Each batch waits up to
// Settings.Flush for more writes; up to Settings.Commits batches are committed
// concurrently. Run also retries failed records in the background. It returns
// ctx's error.
func (c *Claims) Run(ctx context.Context) error {
	defer c.wg.Wait()
	c.wg.Go(func() { c.resolveLoop(ctx) })
	for {
		first, err := c.pending.Pop(ctx)
		if err != nil {
			return err
		}
		batch := c.collectBatch(ctx, first)
		if err := c.commits.Acquire(ctx, 1); err != nil {
			return err
		}
		c.wg.Go(func() {
			defer c.commits.Release(1)
			c.commitBatch(ctx, batch)
		})
	}
}

// collectBatch collects a batch with at most one write per key. Further writes
// of a key fail with a conflict.
func (c *Claims) collectBatch(ctx context.Context, first *writeOp) []*writeOp {
	batch := []*writeOp{first}
	timer := time.NewTimer(c.settings.Flush)
	defer timer.Stop()
	for len(batch) < c.settings.Batch {
		select {
		case o := <-c.pending.C():
			if slices.ContainsFunc(batch, func(b *writeOp) bool { return b.key == o.key }) {
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

// commitBatch commits the writes together. Writes whose condition doesn't hold
// are rejected and the others retried.
func (c *Claims) commitBatch(ctx context.Context, batch []*writeOp) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CommitTimeout)
	defer cancel()
	for len(batch) > 0 {
		revision, err := c.store.Commit(ctx, transaction(batch))
		c.commitHealth.recordResult(time.Now(), err)
		var conflict *port.ConflictError
		if fault.Is(err, fault.Conflict) && errors.As(err, &conflict) {
			batch = rejectConflicting(batch, conflict)
			continue
		}
		for _, o := range batch {
			o.finish(revision, err)
		}
		return
	}
}

func transaction(batch []*writeOp) *store.Txn {
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

// rejectConflicting rejects the writes whose keys are in the conflict and
// returns the others.
func rejectConflicting(batch []*writeOp, conflict *port.ConflictError) []*writeOp {
	var rest []*writeOp
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
	// A conflict without a key of the batch can't be resolved by a retry.
	for _, o := range rest {
		o.finish(0, fault.Wrap(fault.Internal, "conflict on unknown keys", conflict))
	}
	return nil
}
