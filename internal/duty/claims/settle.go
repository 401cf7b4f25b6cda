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

// unsettled is a final record whose write failed.
type unsettled struct {
	key structs.RequestKey
	rec record
}

// settleLater hands a record to the settling goroutine. One that finds no room
// is lost, as by a crash: others then find the claim abandoned once this
// session ends.
func (c *Claims) settleLater(u *unsettled) {
	if !c.settle.Offer(u) {
		c.log.Error("outcome_not_recorded", zap.String("request", u.key.ID))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsettled++
}

// settleLoop records outcomes one after the other, each until it stands.
func (c *Claims) settleLoop(ctx context.Context) {
	pace := rate.NewLimiter(rate.Every(c.settings.SettleInterval), 1)
	for {
		u, err := c.settle.Pop(ctx)
		if err != nil || pace.Wait(ctx) != nil {
			return
		}
		for !c.trySettle(ctx, u) {
			if wait.For(ctx, c.settings.SettleRetry) != nil {
				return
			}
		}
		c.mu.Lock()
		c.unsettled--
		c.mu.Unlock()
	}
}

// trySettle reports whether the request's row is final.
func (c *Claims) trySettle(ctx context.Context, u *unsettled) bool {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CommitTimeout)
	defer cancel()
	found, ok, err := c.read(ctx, u.key)
	if err != nil {
		return c.unreadable(err)
	}
	txn := new(store.Txn)
	switch {
	case !ok:
		txn.Create(store.ClaimKey(u.key), u.rec)
	case found.rec.final() && !u.rec.outranks(found.rec):
		return true
	case !u.rec.sameClaim(found.rec):
		return true
	default:
		txn.Update(store.ClaimKey(u.key), found.revision, u.rec)
	}
	_, err = c.store.Commit(ctx, txn)
	c.table.note(time.Now(), err)
	return err == nil
}

// unreadable reports whether a row that wasn't read never will be.
func (c *Claims) unreadable(err error) bool {
	if fault.Is(err, fault.Invalid) {
		return true
	}
	c.table.failed(time.Now())
	return false
}
