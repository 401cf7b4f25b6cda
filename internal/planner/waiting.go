package planner

import (
	"fmt"
	"strings"
	"time"
)

const (
	// reportWaitingAfter is how long a job must have been due before its waiting is
	// reported. Most jobs start sooner.
	reportWaitingAfter = 2 * time.Second
	// reportWaitingAgainAfter is the delay until a job whose reason hasn't changed is
	// reported again.
	reportWaitingAgainAfter = 10 * time.Second
	// maxWaitingReports bounds the jobs examined by one call of ReportWaiting, since
	// each is compared with every worker.
	maxWaitingReports = 10
)

// waitingReport is what was last reported of a job that waits.
type waitingReport struct {
	at    time.Duration
	cause string
}

// ReportWaiting logs, for jobs of which nothing runs though a task's turn has come, why
// the next task isn't placed. It examines at most maxWaitingReports jobs, those first
// that were examined least recently.
func (p *Planner) ReportWaiting(now time.Duration) {
	var v *view
	examined := 0
	for range len(p.jobsByArrival) {
		if examined == maxWaitingReports {
			return
		}
		p.nextWaiting = (p.nextWaiting + 1) % len(p.jobsByArrival)
		j := p.jobsByArrival[p.nextWaiting]
		u := j.waitingUnit()
		if u == nil || !p.due(u, now) || p.waited(u, now) < reportWaitingAfter {
			continue
		}
		examined++
		if v == nil {
			v = p.newView(now)
		}
		cause, detail := p.waitingCause(u, v)
		if cause == j.reported.cause && now-j.reported.at < reportWaitingAgainAfter {
			continue
		}
		j.reported = waitingReport{now, cause}
		p.log(LogEntry{Event: EventJobWaiting, Job: j.rec.Job.ID, Priority: j.rec.Job.Priority, Detail: cause + ": " + detail,
			Count: u.count, Age: p.waited(u, now), Task: taskID(u, u.first)})
	}
}

// waitingUnit returns a unit of an open job whose turn has come, or nil if there is
// none or a unit of the job is placed.
func (j *job) waitingUnit() *unit {
	if !j.open() {
		return nil
	}
	var ready *unit
	for _, u := range j.units {
		switch u.phase {
		case unitActive, unitStopping:
			return nil
		case unitReady:
			if ready == nil {
				ready = u
			}
		}
	}
	return ready
}

// waitingCause returns why a ready unit isn't placed, as a cause that changes rarely and
// its figures.
func (p *Planner) waitingCause(u *unit, v *view) (cause, detail string) {
	switch {
	case p.awaitsRecovery(u, v.now):
		return "recovery", fmt.Sprintf("%d workers not heard, %d first calls open, unknown leases end in %v, previous owner stopped %t, previous workers %v",
			len(p.recovery.uncontacted), len(p.recovery.pendingContact), p.recovery.unknownLeasesEndAt-v.now, p.recovery.previousOwnerStopped, u.previousWorkers)
	case v.now < u.notBefore:
		return "retry delay", (u.notBefore - v.now).String()
	case u.claim != nil:
		return "claimed capacity not free", fmt.Sprintf("on %d workers for %v", len(u.claim), v.now-u.claimedAt)
	}
	spread := p.maySpread(u, v.now)
	if v.place(u, spread) != nil {
		if detail := p.reservedFor(u, v.now); detail != "" {
			return "reserved", detail
		}
		return "outranked", "it fits, but the capacity goes to jobs ranked higher"
	}
	cause = "no room"
	if p.needsEvacuated(u, v) {
		cause = CauseEvacuated
	}
	if cause == "no room" && u.spec().PrefersOneRack() && !spread && v.placeAvoiding(u, true, false) != nil {
		cause = "no rack has room, several have"
	}
	return cause, v.capacityFor(u)
}

// reservedFor describes the reservations of the last pass for other units, empty if there
// were none.
func (p *Planner) reservedFor(u *unit, now time.Duration) string {
	var parts []string
	for i := range p.reservations {
		if r := &p.reservations[i]; r.unit != u {
			parts = append(parts, fmt.Sprintf("%d workers for job %s in %v", r.workers, r.unit.job.rec.Job.ID, r.from-now))
		}
	}
	return strings.Join(parts, ", ")
}

// capacityFor describes the workers as they are for the unit: how many may not run it
// and why, how many tasks fit on the others, and the most on one rack.
func (v *view) capacityFor(u *unit) string {
	excluded := map[string]int{}
	for _, w := range v.planner.workers {
		if cause := w.unusableCause(v.now); cause != "" {
			excluded[cause]++
		}
	}
	fit, bestRack := 0, 0
	for _, members := range v.racks {
		onRack := 0
		for _, i := range members {
			_, ticket := v.planner.ticket(u, v.workers[i], v.now)
			switch {
			case !v.eligible(u, i):
				excluded["label or neighbours"]++
			case !ticket:
				excluded["no ticket"]++
			case v.urgentOnly[i] && u.job.rec.Job.Priority > 0:
				excluded["headroom"]++
			case u.avoid[v.workers[i].info.ID]:
				excluded["failed or stalled there"]++
			default:
				onRack += v.slots(u, i, v.free[i])
			}
		}
		fit += onRack
		bestRack = max(bestRack, onRack)
	}
	out := fmt.Sprintf("%d of %d tasks fit, %d on one rack; %d workers usable", fit, u.count, bestRack, len(v.workers))
	for _, cause := range []string{"not heard", "silent", "call unanswered", "not listed", "restarted, not described", "draining", causeEvacuated, "quarantined", "unknown runs", "label or neighbours", "no ticket", "headroom", "failed or stalled there"} {
		if n := excluded[cause]; n > 0 {
			out += fmt.Sprintf(", %d %s", n, cause)
		}
	}
	return out
}

// unusableCause returns why no unit may be placed on the worker, empty if it is usable.
func (w *worker) unusableCause(now time.Duration) string {
	switch {
	case !w.contacted:
		return "not heard"
	case !w.reachable:
		return "silent"
	case w.broken:
		return "call unanswered"
	case !w.listed:
		return "not listed"
	case !w.described():
		return "restarted, not described"
	case w.info.Draining:
		return "draining"
	case w.evacuated:
		return causeEvacuated
	case w.health.excluded(now):
		return "quarantined"
	case w.unknownNeeds > 0:
		return "unknown runs"
	}
	return ""
}
