package transfer

import (
	"context"
	"time"
)

// maxDuration bounds a read that keeps receiving. A server that sends a byte now and then
// would hold it for ever.
const maxDuration = 30 * time.Second

// WithStallTimeout returns a context that ends once nothing has arrived for the given time,
// or after 30 s, with the cause context.DeadlineExceeded. It also returns the meter of what
// arrives. A response that makes progress isn't cut off because of its size.
func WithStallTimeout(parent context.Context, quiet time.Duration) (context.Context, *Meter, context.CancelFunc) {
	ctx, cancelLimit := context.WithTimeout(parent, maxDuration)
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, meter := With(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTimer(quiet)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			since, arrived := meter.Since()
			if !arrived || since >= quiet {
				cancel(context.DeadlineExceeded)
				return
			}
			t.Reset(quiet - since)
		}
	}()
	return ctx, meter, func() {
		cancel(context.Canceled)
		cancelLimit()
		<-done
	}
}
