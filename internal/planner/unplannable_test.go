package planner

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Guards against a stored job that takes every owner down: one whose counts overflow was
// accepted by earlier builds and exceeded the owner's memory after each takeover.
func TestStoredJobBeyondLimitsFailsAndOthersRun(t *testing.T) {
	for name, steps := range map[string][]work.Step{
		"counts overflow":    {{Count: math.MaxInt64/2 + 1}, {Count: math.MaxInt64/2 + 1}},
		"too many tasks":     {{Count: work.MaxTasks + 1}},
		"dependency ahead":   {{Count: 1, After: []int{1}}, {Count: 1}},
		"unknown dependency": {{Count: 1, After: []int{-1}}},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Settings{ReclaimWithin: 3 * time.Second}, 1)
			p.PutWorker(work.Worker{ID: "w", Capacity: work.Resources{CPU: 1000}})
			p.HandleReport(0, 0, "w", port.HoldReply{})
			p.AddJob(0, 0, work.Record{State: work.Queued, Job: work.Job{ID: "bad", Steps: steps}}, false)
			p.AddJob(0, 0, work.Record{State: work.Queued, Job: work.Job{ID: "good", Steps: []work.Step{{Count: 1, Need: work.Resources{CPU: 1000}}}}}, false)
			orders := p.Plan(0)
			must.Len(t, 1, orders)
			must.EqOp(t, "good", orders[0].Task.Job)
			changed := p.TakeChanged()
			must.EqOp(t, "bad", changed[0].Job.ID)
			must.EqOp(t, work.Failed, changed[0].State)
		})
	}
}
