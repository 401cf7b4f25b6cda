package ingress

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// A body of the size of ordinary ones waits for no other one.
func TestSmallBodiesTakeNoTurn(t *testing.T) {
	turns := newTurns(1)
	must.Nil(t, turns.open().request(freeBytes+1))
	small := turns.open()
	must.Nil(t, small.request(freeBytes))
	must.NotNil(t, small.request(1))
}

func TestTurnsAreBoundedAndGoToTheLeastParsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 3).Draw(t, "limit")
		turns := newTurns(limit)
		waiting, held := map[*turn]<-chan struct{}{}, map[*turn]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			var ended *turn
			for h := range held {
				if ended == nil || h.order < ended.order {
					ended = h
				}
			}
			if ended != nil && rapid.Bool().Draw(t, "releases") {
				delete(held, ended)
				ended.release()
			} else {
				body := turns.open()
				granted := body.request(rapid.IntRange(freeBytes+1, freeBytes+9).Draw(t, "size"))
				if granted == nil {
					held[body] = true
				} else {
					waiting[body] = granted
				}
			}
			for body, granted := range waiting {
				select {
				case <-granted:
					delete(waiting, body)
					held[body] = true
					for other := range waiting {
						must.LessEq(t, other.parsed, body.parsed, must.Sprint("parsed by the next one"))
					}
				default:
				}
			}
			must.LessEq(t, limit, len(held))
			if len(waiting) > 0 {
				must.EqOp(t, limit, len(held), must.Sprint("all turns are held while bodies wait"))
			}
		}
	})
}

// A body that is aborted or late while it waits must neither keep a turn nor get one.
func TestWaitForTurnEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns := newTurns(1)
		first, second, third := turns.open(), turns.open(), turns.open()
		must.NoError(t, first.take(t.Context(), freeBytes+1))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, second.take(ctx, freeBytes+1), context.DeadlineExceeded)
		first.close()
		must.NoError(t, third.take(ctx, freeBytes+1))
		third.close()
		must.EqOp(t, 1, turns.free)
		must.NoError(t, third.take(ctx, freeBytes+1))
		must.EqOp(t, 1, turns.free, must.Sprint("a closed turn takes none"))
	})
}
