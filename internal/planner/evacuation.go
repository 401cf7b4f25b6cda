package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

// CauseEvacuated is the cause of EventJobWaiting for a job that fits only on workers of
// evacuated failure domains.
const CauseEvacuated = "capacity is in an evacuated failure domain"

// causeEvacuated tells why a worker isn't usable.
const causeEvacuated = "evacuated"

// SetEvacuated sets the failure domains in which nothing more may be started. Runs there
// go on. Claims there are dropped; the owner withdraws the starts that it hasn't sent.
func (p *Planner) SetEvacuated(domains []string) {
	p.evacuated = make(map[string]bool, len(domains))
	for _, domain := range domains {
		p.evacuated[domain] = true
	}
	for _, w := range p.workers {
		w.evacuated = p.evacuated[w.info.Zone]
	}
	for _, j := range p.jobsByArrival {
		for _, u := range j.units {
			if slices.ContainsFunc(u.claim, func(pl placement) bool { return pl.worker.evacuated }) {
				u.claim = nil
			}
		}
	}
}

// IsEvacuated reports whether the worker's failure domain is evacuated.
func (p *Planner) IsEvacuated(id string) bool {
	w := p.workers[id]
	return w != nil && w.evacuated
}

// SetCold records that the worker is slow until the given time.
func (p *Planner) SetCold(id string, until time.Duration) {
	if w := p.workers[id]; w != nil {
		w.coldUntil = until
	}
}

// Domains returns the failure domains of the workers, sorted.
func (p *Planner) Domains() []string {
	var out []string
	for _, w := range p.workers {
		if w.info.Zone != "" {
			out = append(out, w.info.Zone)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// UsableAccelerators returns the accelerators of the listed workers outside of the
// evacuated failure domains.
func (p *Planner) UsableAccelerators() int64 {
	sum := int64(0)
	for _, w := range p.workers {
		if w.listed && !w.evacuated {
			sum += w.info.Capacity.Accel
		}
	}
	return sum
}

// WithdrawStart drops a run whose start hasn't been sent, and ends its attempt. The
// attempt doesn't count as one of the job's. It has no effect on other runs.
func (p *Planner) WithdrawStart(now time.Duration, id string, task work.TaskID, number int64, why string) {
	if !p.IsStarting(id, task, number) {
		return
	}
	r := p.workers[id].runs[task]
	p.log(LogEntry{Event: EventStartWithdrawn, Job: task.Job, Worker: id, Task: task, Run: number, Detail: why})
	u := r.unit
	p.dropRun(r)
	p.markChanged(u.job)
	p.endAttempt(u, now)
	p.releaseIfIdle(u, now)
}

// AttemptEnded reports whether the attempt of a run that is on record has ended.
func (p *Planner) AttemptEnded(id string, task work.TaskID, number int64) bool {
	w := p.workers[id]
	if w == nil || w.runs[task] == nil || w.runs[task].number != number {
		return false
	}
	u := w.runs[task].unit
	return u != nil && u.phase != unitActive
}

// needsEvacuated reports whether the usable workers can't hold the unit, and workers of
// evacuated failure domains could be the reason.
func (p *Planner) needsEvacuated(u *unit, v *view) bool {
	if v.ability(u) == canHold {
		return false
	}
	for _, w := range p.workers {
		if w.evacuated && (u.spec().RequiredLabel == "" || w.info.HasLabel(u.spec().RequiredLabel)) {
			return true
		}
	}
	return false
}
