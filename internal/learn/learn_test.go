package learn

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an estimate that stays at the declared run time because refresh
// is never called.
func TestObservedRunsReplaceDeclaredRunTime(t *testing.T) {
	r := New(time.Second)
	must.Eq(t, time.Second, r.Estimate().Median)
	must.False(t, r.Estimate().Learned)
	for i := range 1000 {
		run := 100 * time.Millisecond
		if i%100 == 0 {
			run *= 50
		}
		r.Observe(run)
	}
	r.Declare(time.Hour)
	e := r.Estimate()
	must.True(t, e.Learned)
	must.Between(t, 95*time.Millisecond, e.Low, 110*time.Millisecond)
	must.Between(t, 95*time.Millisecond, e.High, 110*time.Millisecond, must.Sprint("the tail is beyond the 95th percentile"))
	must.Between(t, 140*time.Millisecond, e.Mean, 160*time.Millisecond)
}

// Guards against a rotate that keeps old runs.
func TestOldRunsExpireFromTheWindow(t *testing.T) {
	r := New(0)
	for range 10_000 {
		r.Observe(time.Second)
	}
	for range 2 * windowRuns {
		r.Observe(10 * time.Millisecond)
	}
	must.Between(t, 9*time.Millisecond, r.Estimate().High, 11*time.Millisecond)
}

func TestObserveAllocatesNothing(t *testing.T) {
	r := New(0)
	must.Zero(t, testing.AllocsPerRun(5000, func() { r.Observe(time.Second) }))
}
