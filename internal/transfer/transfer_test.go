package transfer

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// slowBody returns one byte a call, each after the time pause, and then nothing more until
// its context ends.
type slowBody struct {
	ctx   context.Context
	left  int
	pause time.Duration
}

func (b *slowBody) Read(into []byte) (int, error) {
	if b.left == 0 {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	select {
	case <-time.After(b.pause):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	b.left--
	return copy(into, "x"), nil
}

// Guards against responses that are cut off although they arrive, as their size exceeds what
// a fixed timeout allows.
func TestStallTimeoutEndsOnlyAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		ctx, meter, cancel := WithStallTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, err := io.ReadAll(Reader(ctx, &slowBody{ctx, 10, 1900 * time.Millisecond}, 20))
		must.Error(t, err)
		must.EqOp(t, 21*time.Second, time.Since(startedAt))
		must.ErrorIs(t, context.Cause(ctx), context.DeadlineExceeded)
		must.EqOp(t, "10 of 20 bytes", meter.String())
	})
}

func TestMetersAlsoCountForTheirParents(t *testing.T) {
	ctx, outer := With(t.Context())
	_, unused := With(ctx)
	inner, meter := With(ctx)
	_, err := io.ReadAll(io.LimitReader(Reader(inner, &slowBody{ctx: inner, left: 3}, -1), 3))
	must.NoError(t, err)
	must.EqOp(t, 3, outer.Received())
	must.EqOp(t, 3, meter.Received())
	must.EqOp(t, "0 bytes", unused.String())
	_, arrived := unused.Since()
	must.False(t, arrived)
}
