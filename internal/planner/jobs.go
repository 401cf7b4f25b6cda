package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// SetGuarantees replaces the guaranteed accelerators of all workspaces.
func (p *Planner) SetGuarantees(workspaces []work.Workspace) {
	p.guarantee = map[string]int64{}
	for _, w := range workspaces {
		p.guarantee[w.Name] = w.GuaranteedAccelerators
	}
}

// AddJob adds a job that was accepted age ago. It has no effect if the job is
// known or its record is in a final state. A job that can't be planned fails. Jobs that
// a previous owner may have started are inherited: during a recovery they wait as
// Recover describes.
func (p *Planner) AddJob(now, age time.Duration, rec work.Record, inherited bool) {
	if p.jobs[rec.Job.ID] != nil || rec.State.Ended() {
		return
	}
	if !rec.Job.Plannable() {
		p.failUnplannable(now, age, rec)
		return
	}
	j := p.newJob(now, age, rec, inherited)
	p.jobs[rec.Job.ID] = j
	p.jobsByArrival = append(p.jobsByArrival, j)
	meanWeight := p.queueMeanWeight[rec.Job.Queue]
	if meanWeight == nil {
		meanWeight = &mean{}
		p.queueMeanWeight[rec.Job.Queue] = meanWeight
	}
	meanWeight.add(j.weight)
	if rec.Job.Priority == 0 && !inherited && rec.Job.Schedule.Count == 0 {
		p.urgentDemand.add(now, j.initialCores())
	}
	for i := range j.perStep {
		j.unblock(i)
	}
	if slices.ContainsFunc(j.units, func(u *unit) bool { return u.phase == unitAbandoned }) {
		p.finish(j, work.Failed, now)
	}
	p.checkCompletion(j, now)
	p.takeUnknown(j, now)
}

// newJob returns a plannable job that the planner doesn't know yet, with all its units
// blocked.
func (p *Planner) newJob(now, age time.Duration, rec work.Record, inherited bool) *job {
	criticalPaths := rec.Job.CriticalPaths()
	j := &job{
		rec:           rec,
		arrivedAt:     now - age,
		criticalPaths: criticalPaths,
		objective:     rec.Job.Objective(criticalPaths),
		weight:        rec.Job.Weight(),
		started:       rec.State == work.Running,
		dependents:    make([][]int, len(rec.Job.Steps)),
	}
	for i := range rec.Job.Steps {
		for _, dep := range rec.Job.Steps[i].After {
			j.dependents[dep] = append(j.dependents[dep], i)
		}
	}
	j.perStep = make([][]*unit, rec.Job.Occurrences()*len(rec.Job.Steps))
	j.unitsLeft = make([]int, len(j.perStep))
	for i := range j.perStep {
		p.addUnits(j, i, inherited)
	}
	return j
}

// failUnplannable adds a job that was stored without the checks of work.Job.Check as
// failed, since its tasks may exceed this process's memory.
func (p *Planner) failUnplannable(now, age time.Duration, rec work.Record) {
	j := &job{rec: rec, arrivedAt: now - age}
	p.jobs[rec.Job.ID] = j
	p.jobsByArrival = append(p.jobsByArrival, j)
	p.finish(j, work.Failed, now)
	p.takeUnknown(j, now)
}

// adoptionDelay is how long a job that a previous owner held waits for workers to
// report its runs. It covers a long poll and its timeout.
const adoptionDelay = 1700 * time.Millisecond

// DelayPlacement delays the placement of a job until workers have had time to
// report its runs.
func (p *Planner) DelayPlacement(id string, now time.Duration) {
	if j := p.jobs[id]; j != nil {
		for _, u := range j.units {
			u.notBefore = now + adoptionDelay
		}
	}
}

// addUnits creates the units of one step of one occurrence.
func (p *Planner) addUnits(j *job, index int, inherited bool) {
	steps := len(j.rec.Job.Steps)
	occurrence, step := index/steps, index%steps
	s := &j.rec.Job.Steps[step]
	var progress work.StepProgress
	if index < len(j.rec.Steps) {
		progress = j.rec.Steps[index]
	}
	size, units := 1, s.Count
	if s.Gang {
		size, units = s.Count, 1
	}
	for k := range units {
		u := &unit{
			job: j, occurrence: occurrence, step: step, first: k * size, count: size,
			nextRun: p.firstRun, runs: map[int]*run{},
			failedRuns: slices.Clone(progress.Failures[k*size]), checkpoint: progress.Checkpoints[k*size],
			previousWorkers: progress.Placed[k*size], previousConfirmed: len(progress.Placed) > 0 && j.rec.Confirmed(index, k*size),
			inherited: inherited, arrivedInRecovery: !inherited && p.recovery.active,
		}
		if slices.Contains(progress.Done, u.first) {
			u.phase = unitDone
		} else if u.attemptsExhausted() {
			u.phase = unitAbandoned
		}
		if u.phase != unitDone {
			j.unitsLeft[index]++
			j.left++
		}
		j.perStep[index] = append(j.perStep[index], u)
		j.units = append(j.units, u)
	}
}

// initialCores returns the cores that the steps without dependencies require.
func (j *job) initialCores() float64 {
	sum := 0.0
	for i := range j.rec.Job.Steps {
		if s := &j.rec.Job.Steps[i]; len(s.After) == 0 {
			sum += float64(s.Count) * s.Need.Cores()
		}
	}
	return sum
}

// unblock makes the units of a step ready if its dependencies have all succeeded. index
// is that of the step in perStep.
func (j *job) unblock(index int) {
	units := j.perStep[index]
	if len(units) == 0 || !j.depsDone(units[0]) {
		return
	}
	for _, u := range units {
		if u.phase == unitBlocked {
			u.phase = unitReady
		}
	}
}

// unitDone counts a unit that has succeeded, and unblocks the steps that waited for
// it.
func (j *job) unitDone(u *unit) {
	first := u.occurrence * len(j.rec.Job.Steps)
	j.left--
	j.unitsLeft[first+u.step]--
	if j.unitsLeft[first+u.step] > 0 {
		return
	}
	for _, step := range j.dependents[u.step] {
		j.unblock(first + step)
	}
}

// depsDone reports whether the steps that the unit depends on have succeeded
// within its occurrence.
func (j *job) depsDone(u *unit) bool {
	first := u.occurrence * len(j.rec.Job.Steps)
	for _, dep := range u.spec().After {
		if j.unitsLeft[first+dep] > 0 {
			return false
		}
	}
	return true
}

// unitsOf returns the units of a step of one occurrence.
func (j *job) unitsOf(occurrence, step int) []*unit {
	return j.perStep[occurrence*len(j.rec.Job.Steps)+step]
}

// checkCompletion finishes the job when all units are done.
func (p *Planner) checkCompletion(j *job, now time.Duration) {
	if j.open() && j.left == 0 {
		p.finish(j, work.Completed, now)
	}
}

func (p *Planner) finish(j *job, state work.State, now time.Duration) {
	j.rec.State = state
	p.markChanged(j)
	event := EventJobCompleted
	if state == work.Failed {
		event = EventJobFailed
	}
	p.log(LogEntry{Event: event, Job: j.rec.Job.ID, Priority: j.rec.Job.Priority, Age: now - j.arrivedAt})
	p.stopJob(j, now, string(state))
}

// stopJob stops all remaining runs of the job.
func (p *Planner) stopJob(j *job, now time.Duration, why string) {
	for _, u := range j.units {
		u.claim = nil
		if u.phase == unitDone {
			continue
		}
		u.phase = unitAbandoned
		p.stopUnit(u, now, why)
	}
}

// Cancel cancels a job on its caller's request and stops its runs. It leaves the
// state in the job's record as it is, and has no effect on unknown or ended jobs.
func (p *Planner) Cancel(id string, now time.Duration) {
	j := p.jobs[id]
	if j == nil || j.cancelled || j.rec.State.Ended() {
		return
	}
	j.cancelled = true
	p.log(LogEntry{Event: EventJobCancelled, Job: id, Priority: j.rec.Job.Priority, Age: now - j.arrivedAt})
	p.stopJob(j, now, "cancelled")
}

// Leave gives up a job that another pool runs, and stops its runs. It has no effect on
// unknown or ended jobs.
func (p *Planner) Leave(id string, now time.Duration) {
	j := p.jobs[id]
	if j == nil || !j.open() {
		return
	}
	j.cancelled = true
	p.log(LogEntry{Event: EventJobLeft, Job: id, Priority: j.rec.Job.Priority, Age: now - j.arrivedAt})
	p.stopJob(j, now, "runs in another pool")
}

// DropEndedJobs drops ended and cancelled jobs that are stored and have no runs
// left.
func (p *Planner) DropEndedJobs() {
	p.jobsByArrival = slices.DeleteFunc(p.jobsByArrival, func(j *job) bool {
		if j.open() || j.unstored {
			return false
		}
		for _, u := range j.units {
			if len(u.runs) > 0 {
				return false
			}
		}
		p.dropPolicyDecisions(j)
		delete(p.jobs, j.rec.Job.ID)
		return true
	})
}

// Counts returns the numbers of waiting and running jobs.
func (p *Planner) Counts() (waiting, running int) {
	for _, j := range p.jobsByArrival {
		switch {
		case !j.open():
		case j.started:
			running++
		default:
			waiting++
		}
	}
	return waiting, running
}

// Merge adds the succeeded tasks, the failed runs and the final state of a record
// that another owner stored. They are never undone. During a recovery it adds the
// record's placements to those that the units without an attempt wait for. Checkpoints
// are not merged.
func (p *Planner) Merge(now time.Duration, rec work.Record) {
	j := p.jobs[rec.Job.ID]
	if j == nil {
		return
	}
	for i := range rec.Steps {
		if i >= len(j.perStep) {
			break
		}
		for _, u := range j.perStep[i] {
			for _, number := range rec.Steps[i].Failures[u.first] {
				if u.addFailure(number) {
					p.markChanged(j)
				}
			}
			if placed := rec.Steps[i].Placed[u.first]; p.recovery.active && (u.phase == unitReady || u.phase == unitBlocked) {
				u.addPreviousWorkers(placed, rec.Confirmed(i, u.first))
			}
			if slices.Contains(rec.Steps[i].Done, u.first) && u.phase != unitDone && u.phase != unitAbandoned {
				p.stopUnit(u, now, "succeeded elsewhere")
				p.completeUnit(u, now)
			}
		}
	}
	if rec.State.Ended() && j.open() {
		p.finish(j, rec.State, now)
	}
}
