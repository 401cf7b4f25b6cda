package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

func key(n int) structs.JobKey {
	return structs.JobKey{Workspace: "w", ID: fmt.Sprint(n)}
}

func TestWorkerWithFailuresOfSeveralJobsIsQuarantined(t *testing.T) {
	tr := New()
	now := time.Unix(0, 0)
	for n := range minJobsForFaultyWorker {
		must.False(t, tr.Quarantined(now, "bad"))
		tr.RecordFailure(now, "bad", key(n))
	}
	must.True(t, tr.Quarantined(now, "bad"))
	must.False(t, tr.Quarantined(now.Add(firstQuarantine), "bad"))
}

// Guards against counting failures on a worker without regard to the other
// workers on which the same job failed.
func TestJobsFailingOnManyWorkersDoNotCountAgainstAWorker(t *testing.T) {
	tr := New()
	now := time.Unix(0, 0)
	for n := range 10 {
		for w := range 10 {
			tr.RecordFailure(now, fmt.Sprintf("worker-%d-%d", n, w), key(n))
		}
		tr.RecordFailure(now, "last", key(n))
	}
	must.False(t, tr.Quarantined(now, "last"))
}

func TestRepeatedFailuresOfOneJobDoNotQuarantineWorker(t *testing.T) {
	tr := New()
	now := time.Unix(0, 0)
	for range 20 {
		tr.RecordFailure(now, "w1", key(1))
	}
	must.False(t, tr.Quarantined(now, "w1"))
}

func TestSuccessClearsFailures(t *testing.T) {
	tr := New()
	now := time.Unix(0, 0)
	tr.RecordFailure(now, "w1", key(1))
	tr.RecordFailure(now, "w1", key(2))
	tr.RecordSuccess("w1")
	tr.RecordFailure(now, "w1", key(3))
	must.False(t, tr.Quarantined(now, "w1"))
}

func TestQuarantineDurationDoubles(t *testing.T) {
	tr := New()
	now := time.Unix(0, 0)
	for round := range 2 {
		for n := range minJobsForFaultyWorker {
			tr.RecordFailure(now, "bad", key(round*100+n))
		}
	}
	must.True(t, tr.Quarantined(now.Add(firstQuarantine), "bad"))
	must.False(t, tr.Quarantined(now.Add(2*firstQuarantine), "bad"))
}
