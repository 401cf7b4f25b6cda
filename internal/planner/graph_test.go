package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// joinedStages returns steps in stages of equal width. Each step depends on all steps
// of the stage before.
func joinedStages(stages, width int) []work.Step {
	var steps []work.Step
	for stage := range stages {
		for range width {
			s := work.Step{Count: 1, Need: work.Resources{CPU: 100}, Estimate: time.Second}
			for k := range width {
				if stage > 0 {
					s.After = append(s.After, (stage-1)*width+k)
				}
			}
			steps = append(steps, s)
		}
	}
	return steps
}

// Guards against walks of a job's graph whose time grows with the number of paths: one
// job of joined stages stopped the owner's loop for good. The job here has 6 to the
// power of 100 paths, and all its stages run one after the other.
func TestJobOfJoinedStagesRunsToItsEnd(t *testing.T) {
	const stages, width = 100, 6
	done := make(chan struct{})
	go func() {
		defer close(done)
		p := New(Settings{ReclaimWithin: 3 * time.Second}, 1)
		now := time.Second
		p.PutWorker(work.Worker{ID: "w", Capacity: work.Resources{CPU: 64000, MemMB: 64000}})
		p.HandleReport(now, now, "w", port.HoldReply{})
		p.AddJob(now, 0, work.Record{State: work.Queued, Job: work.Job{ID: "j", Stretch: 2, Steps: joinedStages(stages, width)}}, false)
		sequence := int64(0)
		for range stages {
			orders := p.Plan(now)
			must.Len(t, width, orders)
			var reply port.HoldReply
			for _, o := range orders {
				p.StartAnswered(now, "w", o.Task, o.Run, port.NotRejected)
				sequence++
				reply.Results = append(reply.Results, port.RunResult{Sequence: sequence, Task: o.Task, Run: o.Run, Kind: port.ResultSucceeded})
			}
			now += time.Second
			p.HandleReport(now, now, "w", reply)
		}
		changed := p.TakeChanged()
		must.EqOp(t, work.Completed, changed[len(changed)-1].State)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the job of joined stages keeps the planner busy")
	}
}

// Guards against work per ended task that grows with the job: every task of a long
// chain, or of a wide step, used to be compared with all others.
func TestLargeJobIsFinishedInLinearTime(t *testing.T) {
	const tasks = 20000
	chain := make([]work.Step, tasks)
	for i := range chain {
		chain[i] = work.Step{Count: 1, Estimate: time.Second}
		for dep := max(i-4, 0); dep < i; dep++ {
			chain[i].After = append(chain[i].After, dep)
		}
	}
	wide := []work.Step{{Count: tasks - 1, Estimate: time.Second}, {Count: 1, Estimate: time.Second, After: []int{0}}}
	for name, steps := range map[string][]work.Step{"chain": chain, "wide": wide} {
		t.Run(name, func(t *testing.T) {
			p := New(Settings{}, 1)
			p.AddJob(0, 0, work.Record{State: work.Queued, Job: work.Job{ID: "j", Steps: steps}}, false)
			began := time.Now()
			for i, units := range p.jobs["j"].perStep {
				for _, u := range units {
					must.EqOp(t, unitReady, u.phase, must.Sprint(fmt.Sprintf("step %d", i)))
					p.completeUnit(u, 0)
				}
			}
			must.Less(t, 5*time.Second, time.Since(began))
			must.EqOp(t, work.Completed, p.jobs["j"].rec.State)
		})
	}
}
