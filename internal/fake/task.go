package fake

import (
	"encoding/json"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// fullSpeedPercent is the speed of a task that isn't throttled.
const fullSpeedPercent = 100

// TaskPayload is the payload of a task that the workers understand.
type TaskPayload struct {
	// RunMillis is the run time at full speed.
	RunMillis int64 `json:"run_ms"`
	// Fail ends the task as failed.
	Fail bool `json:"fail,omitempty"`
	// StateMillis is how long a checkpoint of the task takes.
	StateMillis int64 `json:"state_ms,omitempty"`
}

// taskCheckpoint is the content of a checkpoint's object.
type taskCheckpoint struct {
	ProgressMillis int64 `json:"progress_ms"`
}

// task is the work under one lease. Its state is worked out when it is looked
// at; it has no goroutine of its own.
type task struct {
	payload TaskPayload
	state   structs.TaskState
	// progress of the run time as of updated.
	progress time.Duration
	updated  time.Time
	percent  int
	// resumed is the progress that a checkpoint brought.
	resumed time.Duration
	// reported is the busy time of the last usage report.
	reported   time.Duration
	reportedAt time.Time
	// saved names the checkpoints that were stored.
	saved map[string]struct{}
}

func newTask(raw []byte, resumed time.Duration, now time.Time) *task {
	t := &task{
		state:      structs.TaskRunning,
		progress:   resumed,
		resumed:    resumed,
		updated:    now,
		percent:    fullSpeedPercent,
		reportedAt: now,
		saved:      make(map[string]struct{}),
	}
	if err := json.Unmarshal(raw, &t.payload); err != nil {
		// A payload that can't run is the job's own failure.
		t.payload = TaskPayload{Fail: true}
	}
	return t
}

func (t *task) runTime() time.Duration {
	return time.Duration(t.payload.RunMillis) * time.Millisecond
}

// finish returns when the task ends at its present speed.
func (t *task) finish() (time.Time, bool) {
	left := max(t.runTime()-t.progress, 0)
	if left == 0 {
		return t.updated, true
	}
	if t.percent <= 0 {
		return time.Time{}, false
	}
	return t.updated.Add(left * fullSpeedPercent / time.Duration(t.percent)), true
}

// advance moves a running task to now and reports whether it ended, and when.
func (t *task) advance(now time.Time) (time.Time, bool) {
	if t.state != structs.TaskRunning || now.Before(t.updated) {
		return time.Time{}, false
	}
	if end, ok := t.finish(); ok && !end.After(now) {
		t.progress = max(t.progress, t.runTime())
		t.updated = end
		t.state = t.lastState()
		return end, true
	}
	t.progress += now.Sub(t.updated) * time.Duration(t.percent) / fullSpeedPercent
	t.updated = now
	return time.Time{}, false
}

func (t *task) lastState() structs.TaskState {
	if t.payload.Fail {
		return structs.TaskFailed
	}
	return structs.TaskSucceeded
}

// usage returns the busy accelerator time as of the last report, which is made
// anew once the lag has passed.
func (t *task) usage(now time.Time, lag time.Duration, accelerators int) time.Duration {
	if now.Sub(t.reportedAt) >= lag {
		t.reported = (t.progress - t.resumed) * time.Duration(accelerators)
		t.reportedAt = now
	}
	return t.reported
}
