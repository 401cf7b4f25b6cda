package fake

import (
	"encoding/json"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// fullSpeedPercent is the speed of a task that isn't throttled.
const fullSpeedPercent = 100

// TaskPayload is the payload of a task that the fake workers run.
type TaskPayload struct {
	// RunMillis is the run time at full speed.
	RunMillis int64 `json:"run_ms"`
	// Fail makes the task end as failed.
	Fail bool `json:"fail,omitempty"`
	// StateMillis is the time that a checkpoint of the task takes.
	StateMillis int64 `json:"state_ms,omitempty"`
}

// taskCheckpoint is the content of a checkpoint object.
type taskCheckpoint struct {
	ProgressMillis int64 `json:"progress_ms"`
}

// task is the task of one lease. Its state is computed on access; it has no
// goroutine.
type task struct {
	payload TaskPayload
	state   structs.TaskState
	// progress is the part of the run time completed at updated.
	progress     time.Duration
	updated      time.Time
	speedPercent int
	// resumed is the progress restored from a checkpoint.
	resumed time.Duration
	// reported is the accelerator time in the last usage report.
	reported   time.Duration
	reportedAt time.Time
	// saved contains the names of the stored checkpoint objects.
	saved map[string]struct{}
}

func newTask(raw []byte, resumed time.Duration, now time.Time) *task {
	t := &task{
		state:        structs.TaskRunning,
		progress:     resumed,
		resumed:      resumed,
		updated:      now,
		speedPercent: fullSpeedPercent,
		reportedAt:   now,
		saved:        make(map[string]struct{}),
	}
	if err := json.Unmarshal(raw, &t.payload); err != nil {
		// An invalid payload is the job's own failure: it fails the task and not
		// the start call.
		t.payload = TaskPayload{Fail: true}
	}
	return t
}

func (t *task) runTime() time.Duration {
	return time.Duration(t.payload.RunMillis) * time.Millisecond
}

// completionTime returns the time at which the task ends at its current speed,
// and false if it is throttled to zero.
func (t *task) completionTime() (time.Time, bool) {
	remaining := max(t.runTime()-t.progress, 0)
	if remaining == 0 {
		return t.updated, true
	}
	if t.speedPercent <= 0 {
		return time.Time{}, false
	}
	return t.updated.Add(remaining * fullSpeedPercent / time.Duration(t.speedPercent)), true
}

// advance updates a running task to now. It returns the time at which the task
// ended and whether it did.
func (t *task) advance(now time.Time) (time.Time, bool) {
	if t.state != structs.TaskRunning || now.Before(t.updated) {
		return time.Time{}, false
	}
	if end, ok := t.completionTime(); ok && !end.After(now) {
		t.progress = max(t.progress, t.runTime())
		t.updated = end
		t.state = t.finalState()
		return end, true
	}
	t.progress += now.Sub(t.updated) * time.Duration(t.speedPercent) / fullSpeedPercent
	t.updated = now
	return time.Time{}, false
}

func (t *task) finalState() structs.TaskState {
	if t.payload.Fail {
		return structs.TaskFailed
	}
	return structs.TaskSucceeded
}

// usage returns the accelerator time in the last usage report. The report is
// refreshed once its age reaches lag.
func (t *task) usage(now time.Time, lag time.Duration, accelerators int) time.Duration {
	if now.Sub(t.reportedAt) >= lag {
		t.reported = (t.progress - t.resumed) * time.Duration(accelerators)
		t.reportedAt = now
	}
	return t.reported
}
