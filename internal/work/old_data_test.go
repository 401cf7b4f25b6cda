package work

import (
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// oldRecord is the content of testdata/record.cbor. Every field is set.
var oldRecord = Record{
	Job: Job{
		ID: "5c0e7a21d94b36f8", Pool: "p", Queue: "urgent", Workspace: "willow", Priority: 1, MaxAttempts: 3, Stretch: 2.5,
		Target: time.Minute, Spec: "spec", SubmittedAt: 7 * time.Second, PolicyControlled: true,
		Steps: []Step{{
			Count: 4, Need: Resources{CPU: 1500, MemMB: 2048, Accel: 2}, Estimate: 3 * time.Second, After: []int{1, 2},
			Checkpointable: true, Gang: true, SameRack: true, RequiredLabel: "fast", DataRack: "r1", MaxPerWorker: 5,
			LongLived: true, MaxUnavailable: 6, TailLatencyTarget: 20 * time.Millisecond, BestEffort: true, BestEffortCPU: 250, Concurrent: true,
			Image: "image",
		}},
		Schedule: Schedule{Count: 8, First: 9 * time.Hour, Every: 10 * time.Minute},
	},
	State: Running,
	Steps: []StepProgress{{
		Done:        []int{1, 3},
		Failures:    map[int][]int64{2: {11, 12}},
		Checkpoints: map[int]string{2: "checkpoint"},
		Placed:      map[int][]string{4: {"w1", "w2"}},
	}},
	EndedAt:  13 * time.Second,
	Sequence: 5<<32 | 14,
}

// Guards against a changed key or state that makes job records of earlier builds
// unreadable. A changed key would leave its field of every stored record at zero
// and lose the job's progress.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	raw, err := os.ReadFile("testdata/record.cbor")
	must.NoError(t, err)
	var got Record
	must.NoError(t, Decode(raw, &got))
	must.Eq(t, oldRecord, got)
	fresh, err := Encode(oldRecord)
	must.NoError(t, err)
	must.Eq(t, raw, fresh)
	must.Eq(t, []State{"queued", "running", "completed", "failed", "cancelled"},
		[]State{Queued, Running, Completed, Failed, Cancelled})
}
