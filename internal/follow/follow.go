// Package follow keeps a copy of something that has a list and a change feed.
package follow

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

const (
	firstRetry = 50 * time.Millisecond
	// lastRetry keeps the delay after an outage short: callers are turned away
	// until the store is known to be back.
	lastRetry = 250 * time.Millisecond
)

// Source is what is followed.
type Source struct {
	// Name appears in the log.
	Name string
	// List reads everything and returns the version to watch from.
	List func(ctx context.Context) (int64, error)
	// Watch waits for changes after a version and returns the next one.
	Watch func(ctx context.Context, after int64) (int64, error)
	// Spacing tells the least time between two answers of Watch, which bounds
	// the wake-ups while changes are frequent.
	Spacing func() time.Duration
}

// Every returns a spacing that doesn't change.
func Every(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// Run lists, then watches, until ctx ends. It lists again when the history was
// lost. Every failure is tried again.
func Run(ctx context.Context, log *zap.Logger, src Source) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = firstRetry, lastRetry
	after, listed, failing := int64(0), false, false
	for ctx.Err() == nil {
		var err error
		if !listed {
			after, err = src.List(ctx)
			listed = err == nil
		} else {
			var next int64
			next, err = src.Watch(ctx, after)
			if err == nil {
				after = next
			}
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failing {
				log.Info("dependency regained", zap.String("feed", src.Name), zap.Int64("version", after))
			}
			failing = false
			retry.Reset()
			_ = wait.For(ctx, src.Spacing()) // ends early only with ctx, which the loop checks
			continue
		}
		if fault.Is(err, fault.NotFound) {
			log.Info("history lost, reading anew", zap.String("feed", src.Name), zap.Int64("after", after))
			listed = false
		} else if !failing {
			log.Warn("dependency lost", zap.String("feed", src.Name), zap.Error(err))
			failing = true
		}
		_ = wait.For(ctx, retry.NextBackOff()) // as above
	}
}
