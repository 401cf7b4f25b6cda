package planner

import (
	"maps"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// trial is a planning pass with a job that isn't submitted. Its planner is a copy: it
// shares the workers, the runs and the other jobs with the original, and changes only what
// is its own and the units of the new job.
type trial struct {
	planner *Planner
	job     *job
	started []trialStart
	victims []dryrun.Victim
	cost    float64
}

// trialStart is a placement of one of the new job's units.
type trialStart struct {
	unit       *unit
	placements []placement
}

// Try returns where a planning pass would place a job that arrives now, without an effect
// on the planner. It fails with fault.Invalid for a job that no pool can run.
func (p *Planner) Try(now time.Duration, rec work.Record) (dryrun.Answer, error) {
	// The job may come from another instance, and one without tasks can't be placed.
	if problems := rec.Job.Check(); problems != nil {
		return dryrun.Answer{}, fault.InvalidDocument("job is invalid", problems)
	}
	t := p.newTrial(now, rec)
	v := t.planner.newView(now)
	t.setClaimsAside(v)
	t.planner.pass(v, t.apply)
	t.finish(v)
	return t.answer(now), nil
}

// newTrial returns a trial on a copy of the planner with the job added.
func (p *Planner) newTrial(now time.Duration, rec work.Record) *trial {
	q := *p
	q.orders, q.logEntries, q.changed = nil, nil, nil
	q.awaitingTickets, q.reservations = nil, nil
	j := q.newJob(now, 0, rec, false)
	q.jobsByArrival = append(slices.Clone(p.jobsByArrival), j)
	weights := mean{}
	if known := p.queueMeanWeight[rec.Job.Queue]; known != nil {
		weights = *known
	}
	weights.add(j.weight)
	q.queueMeanWeight = maps.Clone(p.queueMeanWeight)
	q.queueMeanWeight[rec.Job.Queue] = &weights
	if rec.Job.Priority == 0 && rec.Job.Schedule.Count == 0 {
		q.urgentDemand.add(now, j.initialCores())
	}
	for i := range j.perStep {
		j.unblock(i)
	}
	return &trial{planner: &q, job: j}
}

// setClaimsAside takes the capacity off the view that other units claim. Those whose
// claimed capacity is free use it at once.
func (t *trial) setClaimsAside(v *view) {
	for _, j := range t.planner.jobsByArrival {
		for _, u := range j.units {
			if u.claim != nil && !u.claimExpired(v.now) {
				v.setAside(u, u.claim)
			}
		}
	}
}

// apply takes the capacity of a decision off the view.
func (t *trial) apply(u *unit, v *view, d decision) {
	placements := d.placements
	if d.eviction != nil {
		placements = d.eviction.placements
		for _, victim := range d.eviction.victims {
			if v.stopping == nil {
				v.stopping = map[*unit]bool{}
			}
			v.stopping[victim] = true
		}
	}
	v.setAside(u, placements)
	if u.job != t.job {
		return
	}
	u.phase = unitActive // so that the following units of the job find it placed
	t.started = append(t.started, trialStart{u, placements})
	if d.eviction == nil {
		return
	}
	t.cost += d.eviction.cost
	for _, victim := range d.eviction.victims {
		t.victims = append(t.victims, dryrun.Victim{
			Job: victim.job.rec.Job.ID, Priority: victim.job.rec.Job.Priority, Workers: victim.workers(),
			Cost: v.stopCosts.of(victim, u).total(),
		})
	}
}

// finish decides on the job's units that the pass didn't reach because too many others are
// unplaceable. Their turn comes in one of the following passes.
func (t *trial) finish(v *view) {
	undecidable := map[stepKey]bool{}
	for _, r := range t.planner.ranking(v.now) {
		u := r.unit
		if u.job != t.job || undecidable[u.stepKey()] {
			continue
		}
		if d := t.planner.decide(u, v, v.ability(u)); d.placements != nil || d.eviction != nil {
			t.apply(u, v, d)
			continue
		}
		undecidable[u.stepKey()] = true
	}
}

func (t *trial) answer(now time.Duration) dryrun.Answer {
	out := dryrun.Answer{Verdict: dryrun.Start, Victims: t.victims, Cost: t.cost, ObjectiveMs: t.job.objective.Milliseconds()}
	if len(t.victims) > 0 {
		out.Verdict = dryrun.Preempt
	}
	var end time.Duration
	tasks := map[*worker]int{}
	var workers []*worker
	for _, s := range t.started {
		factor := 0.0
		for _, pl := range s.placements {
			if tasks[pl.worker] == 0 {
				workers = append(workers, pl.worker)
			}
			tasks[pl.worker] += pl.count
			out.Placed += pl.count
			factor = max(factor, t.planner.speeds.Factor(pl.worker.info.ID))
		}
		end = max(end, t.planner.expectedEnd(s.unit, factor))
	}
	for _, w := range workers {
		out.Workers = append(out.Workers, dryrun.Worker{
			ID: w.info.ID, Rack: w.info.Rack, Domain: w.info.Zone, Tasks: tasks[w], TimeFactor: t.planner.speeds.Factor(w.info.ID),
		})
	}
	var waiting *unit
	for _, u := range t.job.units {
		if u.phase == unitReady && waiting == nil {
			waiting = u
		}
		if u.phase != unitBlocked {
			out.Tasks += u.count
		}
	}
	if waiting == nil {
		if end < forever {
			out.ExpectedEndMs = end.Milliseconds()
		}
		return out
	}
	out.Verdict = dryrun.Wait
	out.Cause, out.Detail = t.cause(waiting, now)
	out.EvacuatedDomains = slices.Sorted(maps.Keys(t.planner.evacuated))
	return out
}

// expectedEnd returns the time until the unit's job completes if the unit starts now with
// a time factor, forever if the unit has no end.
func (p *Planner) expectedEnd(u *unit, factor float64) time.Duration {
	if u.spec().LongLived {
		return forever
	}
	following := u.job.criticalPaths[u.step] - u.spec().Estimate
	return scaled(u.estimate(), factor) + following + completionOverhead
}

// cause returns why a unit of the job waits, as ReportWaiting would report it.
func (t *trial) cause(u *unit, now time.Duration) (cause, detail string) {
	switch at, known := t.planner.dueAt(u); {
	case !known:
		return "not due", "the wall clock isn't known yet"
	case now < at:
		return "not due", (at - now).String()
	}
	v := t.planner.newView(now)
	for _, s := range t.started {
		v.setAside(s.unit, s.placements)
	}
	if u.job.rec.Job.PolicyControlled && !t.planner.awaitsRecovery(u, now) {
		return "no policy decision", "the policy service is asked about submitted jobs only; " + v.capacityFor(u)
	}
	return t.planner.waitingCause(u, v)
}
