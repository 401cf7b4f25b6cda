package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// unknownJob is a job that workers have reported and that hasn't been added. A previous
// owner may have started it, in which case its runs and results count once it is added.
type unknownJob struct {
	since   time.Duration // when it was first reported
	results []unknownResult
}

// unknownResult is a result of an unknown job.
type unknownResult struct {
	worker *worker
	result port.RunResult
}

// noteUnknown records that a worker has reported a job that isn't known.
func (p *Planner) noteUnknown(id string, now time.Duration) *unknownJob {
	u := p.unknownJobs[id]
	if u == nil {
		u = &unknownJob{since: now}
		p.unknownJobs[id] = u
	}
	return u
}

// keepResult keeps a result of an unknown job until the job is added or dropped, and
// reports whether it did. The results of runs that are being stopped aren't kept.
func (p *Planner) keepResult(now time.Duration, w *worker, result port.RunResult) bool {
	id := result.Task.Job
	if p.jobs[id] != nil {
		return false
	}
	if r := w.runs[result.Task]; r != nil && r.number == result.Run && r.phase == runStopping {
		return false
	}
	u := p.noteUnknown(id, now)
	u.results = append(u.results, unknownResult{w, result})
	return true
}

// UnknownJobs returns, for each job that workers have reported and that hasn't been
// added, when it was first reported.
func (p *Planner) UnknownJobs() map[string]time.Duration {
	out := make(map[string]time.Duration, len(p.unknownJobs))
	for id, u := range p.unknownJobs {
		out[id] = u.since
	}
	return out
}

// DropUnknownJob drops the results of a job that doesn't exist, or has ended, and stops
// its runs. It has no effect on jobs that UnknownJobs doesn't return.
func (p *Planner) DropUnknownJob(id string) {
	u := p.unknownJobs[id]
	if u == nil {
		return
	}
	delete(p.unknownJobs, id)
	runs := p.unknownRuns(id)
	p.log(LogEntry{Event: EventUnknownJobDropped, Job: id, Count: len(u.results) + len(runs)})
	for _, r := range runs {
		p.stopOrphan(r)
	}
}

// unknownRuns returns the runs of a job that have no unit, sorted by worker and task.
func (p *Planner) unknownRuns(job string) []*run {
	var out []*run
	for _, id := range p.workerIDs {
		first := len(out)
		for task, r := range p.workers[id].runs {
			if task.Job == job && r.unit == nil {
				out = append(out, r)
			}
		}
		slices.SortFunc(out[first:], func(a, b *run) int { return compareTasks(a.task, b.task) })
	}
	return out
}

// takeUnknown gives a job that is being added its reported runs and results.
func (p *Planner) takeUnknown(j *job, now time.Duration) {
	id := j.rec.Job.ID
	for _, r := range p.unknownRuns(id) {
		if u := j.unitOf(r.task); r.phase == runStopping && u != nil {
			p.setNeed(r, u)
			u.nextRun = max(u.nextRun, r.number+1)
			p.blockUntilStopped(u, r, now)
			continue
		}
		p.dropRun(r)
		p.adopt(now, r.worker, &port.RunState{Task: r.task, Run: r.number, ProgressPercent: r.percent, Checkpoint: r.checkpoint})
	}
	if unknown := p.unknownJobs[id]; unknown != nil {
		delete(p.unknownJobs, id)
		for _, result := range unknown.results {
			p.handleResult(now, result.worker, result.result)
		}
	}
	if p.recovery.active {
		return // finishRecovery stops the gangs that are running only in part
	}
	for _, u := range j.units {
		if u.phase == unitActive && len(u.runs) < u.count {
			p.stopAttempt(u, now, "incomplete gang")
		}
	}
}

// setNeed sets what a run without a unit needs, once its unit is known.
func (p *Planner) setNeed(r *run, u *unit) {
	if u == nil || !r.needUnknown {
		return
	}
	r.needUnknown = false
	r.worker.unknownNeeds--
	r.need = u.spec().Need
	r.worker.free = r.worker.free.Sub(r.need)
}

func compareTasks(a, b work.TaskID) int {
	return slices.Compare([]int{a.Occurrence, a.Step, a.Index}, []int{b.Occurrence, b.Step, b.Index})
}
