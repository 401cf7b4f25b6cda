package claims

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

// unresolvedRecord is a final record that is still to be written in the
// background.
type unresolvedRecord struct {
	key structs.RequestKey
	rec record
}

// resolveLater queues a record to be written in the background. If the queue is
// full the record is lost, as in a crash: if the request has a claim row, other
// instances record the outcome as unknown once this session has ended.
func (c *Claims) resolveLater(u *unresolvedRecord) {
	if !c.unresolvedQueue.TryPush(u) {
		c.log.Error("outcome_not_recorded", zap.String("request", u.key.ID))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresolvedCount++
}

// resolveLoop writes the queued records one at a time, retrying each until it is
// resolved.
func (c *Claims) resolveLoop(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Every(c.settings.ResolveInterval), 1)
	for {
		u, err := c.unresolvedQueue.Pop(ctx)
		if err != nil || limiter.Wait(ctx) != nil {
			return
		}
		for !c.tryResolve(ctx, u) {
			if wait.For(ctx, c.settings.ResolveRetry) != nil {
				return
			}
		}
		c.mu.Lock()
		c.unresolvedCount--
		c.mu.Unlock()
	}
}

// tryResolve tries to write a record and reports whether it is resolved: it was
// written, the row is already final or can't be decoded, or the row belongs to
// another claim.
func (c *Claims) tryResolve(ctx context.Context, u *unresolvedRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CommitTimeout)
	defer cancel()
	found, ok, err := c.read(ctx, u.key)
	if err != nil {
		return c.permanentReadError(err)
	}
	txn := new(store.Txn)
	switch {
	case !ok:
		txn.Create(store.ClaimKey(u.key), u.rec)
	case found.rec.final() && !u.rec.supersedes(found.rec):
		return true
	case !u.rec.sameClaim(found.rec):
		return true
	default:
		txn.Update(store.ClaimKey(u.key), found.revision, u.rec)
	}
	_, err = c.store.Commit(ctx, txn)
	c.commitHealth.recordResult(time.Now(), err)
	return err == nil
}

// permanentReadError reports whether a failed read can never succeed. Any other
// read error counts as a failure of the table.
func (c *Claims) permanentReadError(err error) bool {
	if fault.Is(err, fault.Invalid) {
		return true
	}
	c.commitHealth.recordFailure(time.Now())
	return false
}
