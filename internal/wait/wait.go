// Package wait provides sleeps that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For sleeps for d. It fails with ctx's error when ctx ends first. If d is 0 or
// less, it returns ctx's error, or nil, immediately.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
