package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// SetGuarantees replaces the workspaces' guaranteed accelerators.
func (p *Planner) SetGuarantees(workspaces []work.Workspace) {
	p.guarantee = map[string]int64{}
	for _, w := range workspaces {
		p.guarantee[w.Name] = w.Guaranteed
	}
}

// AddJob takes in a job that was accepted age ago. Jobs that a former owner may
// have started are inherited: they wait until every worker was heard.
func (p *Planner) AddJob(now, age time.Duration, rec work.Record, inherited bool) {
	if p.jobs[rec.Job.ID] != nil || rec.State.Ended() {
		return
	}
	j := &job{
		rec:       rec,
		arrivedAt: now - age,
		objective: rec.Job.Objective(),
		weight:    rec.Job.Weight(),
		started:   rec.State == work.Running,
	}
	j.perStep = make([][]*unit, rec.Job.Occurrences()*len(rec.Job.Steps))
	for i := range j.perStep {
		p.addUnits(j, i, inherited)
	}
	p.jobs[rec.Job.ID] = j
	p.open = append(p.open, j)
	m := p.queueMean[rec.Job.Queue]
	if m == nil {
		m = &mean{}
		p.queueMean[rec.Job.Queue] = m
	}
	m.add(j.weight)
	if rec.Job.Priority == 0 && !inherited && rec.Job.Schedule.Count == 0 {
		p.urgent.add(now, j.firstCores())
	}
	p.unblock(j, now)
	p.settle(j, now)
	for _, o := range p.orphans[rec.Job.ID] {
		p.ended(now, o.worker, o.end)
	}
	delete(p.orphans, rec.Job.ID)
}

// adoptWithin is how long a job that an earlier owner has had waits for the
// workers to tell what runs of it: a long poll and its timeout.
const adoptWithin = 1700 * time.Millisecond

// HoldBack keeps a job from being placed until the workers have told what runs
// of it.
func (p *Planner) HoldBack(id string, now time.Duration) {
	if j := p.jobs[id]; j != nil {
		for _, u := range j.units {
			u.notBefore = now + adoptWithin
		}
	}
}

// addUnits makes the units of one step of one occurrence.
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
			failed: slices.Clone(progress.Failures[k*size]), saved: progress.Checkpoints[k*size],
			placed: progress.Placed[k*size], inherited: inherited, newcomer: !inherited && p.recovery.active,
		}
		if slices.Contains(progress.Done, u.first) {
			u.phase = unitDone
		} else if u.budgetUsed() {
			u.phase = unitDead
		}
		j.perStep[index] = append(j.perStep[index], u)
		j.units = append(j.units, u)
	}
}

// firstCores is what the steps that can begin at once ask for.
func (j *job) firstCores() float64 {
	sum := 0.0
	for i := range j.rec.Job.Steps {
		if s := &j.rec.Job.Steps[i]; len(s.After) == 0 {
			sum += float64(s.Count) * s.Need.Cores()
		}
	}
	return sum
}

// unblock frees the units whose steps' dependencies have all succeeded.
func (p *Planner) unblock(j *job, now time.Duration) {
	for _, units := range j.perStep {
		if len(units) == 0 || !j.depsDone(units[0]) {
			continue
		}
		for _, u := range units {
			if u.phase == unitBlocked {
				u.phase = unitReady
			}
		}
	}
}

// depsDone reports whether the steps that the unit's step depends on have
// succeeded, within its occurrence.
func (j *job) depsDone(u *unit) bool {
	for _, dep := range u.spec().After {
		for _, other := range j.unitsOf(u.occurrence, dep) {
			if other.phase != unitDone {
				return false
			}
		}
	}
	return true
}

// unitsOf returns the units of a step of one occurrence.
func (j *job) unitsOf(occurrence, step int) []*unit {
	return j.perStep[occurrence*len(j.rec.Job.Steps)+step]
}

// settle ends the job when its units decide it.
func (p *Planner) settle(j *job, now time.Duration) {
	if !j.open() {
		return
	}
	all := true
	for _, u := range j.units {
		if u.phase == unitDead {
			p.end(j, work.Failed, now)
			return
		}
		all = all && u.phase == unitDone
	}
	if all {
		p.end(j, work.Completed, now)
	}
}

func (p *Planner) end(j *job, state work.State, now time.Duration) {
	j.rec.State = state
	p.touch(j)
	event := EventJobCompleted
	if state == work.Failed {
		event = EventJobFailed
	}
	p.note(Note{Event: event, Job: j.rec.Job.ID, Priority: j.rec.Job.Priority, Age: now - j.arrivedAt})
	p.abandon(j, now, string(state))
}

// abandon stops whatever of the job still runs.
func (p *Planner) abandon(j *job, now time.Duration, why string) {
	for _, u := range j.units {
		u.claim = nil
		if u.phase == unitDone {
			continue
		}
		u.phase = unitDead
		p.stopUnit(u, now, why)
	}
}

// Cancel ends a job at its caller's wish.
func (p *Planner) Cancel(id string, now time.Duration) {
	j := p.jobs[id]
	if j == nil || j.cancelled || j.rec.State.Ended() {
		return
	}
	j.cancelled = true
	p.note(Note{Event: EventJobCancelled, Job: id, Priority: j.rec.Job.Priority, Age: now - j.arrivedAt})
	p.abandon(j, now, "cancelled")
}

// Forget drops ended jobs that have no runs left.
func (p *Planner) Forget() {
	p.open = slices.DeleteFunc(p.open, func(j *job) bool {
		if j.open() || j.unstored {
			return false
		}
		for _, u := range j.units {
			if len(u.runs) > 0 {
				return false
			}
		}
		p.forgetAdvice(j)
		delete(p.jobs, j.rec.Job.ID)
		return true
	})
}

// Counts returns the number of jobs that wait and that run.
func (p *Planner) Counts() (waiting, running int) {
	for _, j := range p.open {
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

// Merge takes in a record that another owner stored. What it says is true, as
// far as it goes: tasks that succeeded and runs that failed stay so.
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
				if u.countFailure(number) {
					p.touch(j)
				}
			}
			if slices.Contains(rec.Steps[i].Done, u.first) && u.phase != unitDone && u.phase != unitDead {
				p.stopUnit(u, now, "succeeded elsewhere")
				p.succeed(u, now)
			}
		}
	}
	if rec.State.Ended() && j.open() {
		p.end(j, rec.State, now)
	}
}
