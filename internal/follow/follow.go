// Package follow keeps local state synchronized with a source that can be listed
// and watched.
package follow

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

// The retry delay grows from minRetryDelay to maxRetryDelay, each with a random
// deviation of up to 50%.
const (
	minRetryDelay = 50 * time.Millisecond
	// maxRetryDelay is short because callers are rejected until the recovery of the
	// store is noticed.
	maxRetryDelay = 250 * time.Millisecond
)

// Source is a list whose changes can be watched.
type Source struct {
	// Name identifies the source in the log.
	Name string
	// List reads all entries and returns the version to watch from.
	List func(ctx context.Context) (int64, error)
	// Watch waits for changes after a version and returns the version to continue
	// from. It fails with fault.NotFound if the history since then is lost.
	Watch func(ctx context.Context, after int64) (int64, error)
	// MinWatchInterval returns the delay between a successful call of List or Watch
	// and the next call. It bounds the wake-ups while changes are frequent.
	MinWatchInterval func() time.Duration
	// Hurry, if set, ends the delay of MinWatchInterval when it is signaled.
	Hurry <-chan struct{}
}

// ConstantInterval returns a MinWatchInterval function that always returns d.
func ConstantInterval(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// Run lists, then watches, until ctx ends. It lists again if the history is lost,
// and retries every failure after a delay.
func Run(ctx context.Context, log *zap.Logger, src Source) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryDelay, maxRetryDelay
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
			src.delay(ctx)
			continue
		}
		if fault.Is(err, fault.NotFound) {
			log.Info("history lost, reading anew", zap.String("feed", src.Name), zap.Int64("after", after))
			listed = false
		} else if !failing {
			log.Warn("dependency lost", zap.String("feed", src.Name), zap.Error(err))
			failing = true
		}
		_ = wait.For(ctx, retry.NextBackOff()) // ends early only with ctx, which the loop checks
	}
}

// delay waits for MinWatchInterval, Hurry or the end of ctx.
func (src *Source) delay(ctx context.Context) {
	timer := time.NewTimer(src.MinWatchInterval())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-src.Hurry:
	case <-ctx.Done():
	}
}
