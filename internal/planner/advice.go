package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// minQueryWorkers and maxQueryWorkers bound the result of queryLimit. Each
	// worker in a query costs time; the platform's own estimates assume 30 workers.
	minQueryWorkers = 8
	maxQueryWorkers = 30
	// queryWorkersFactor is the number of workers in a query for each worker that
	// the unit needs.
	queryWorkersFactor = 2
	// ticketMargin is how long before its expiry a ticket is no longer used. A
	// start waits 150 ms for its record to be stored and may be sent several
	// times.
	ticketMargin = 800 * time.Millisecond
	// queryAgainAfter is how long the units that there was no query about take
	// precedence over one that needs another. Calls are served one by one.
	queryAgainAfter = 500 * time.Millisecond
)

// policyDecision is the policy service's answer for a step on one worker.
type policyDecision struct {
	incarnation int    // of the worker that the decision applies to
	ticket      string // empty if the step may not run on the worker
	expiresAt   time.Duration
}

// PolicyQuery asks the policy service which of Workers may run the step.
type PolicyQuery struct {
	Step         work.StepID
	Workers      []string
	incarnations []int
}

func (u *unit) stepID() work.StepID {
	return work.StepID{Job: u.job.rec.Job.ID, Occurrence: u.occurrence, Step: u.step}
}

// ticket returns a valid ticket for the unit on the worker, or false if there is
// none. Jobs that aren't policy-controlled need no ticket.
func (p *Planner) ticket(u *unit, w *worker, now time.Duration) (string, bool) {
	if !u.job.rec.Job.PolicyControlled {
		return "", true
	}
	d, ok := p.policyDecision(u, w)
	return d.ticket, ok && d.valid(now)
}

// policyDecision returns the decision for the current incarnation of the worker.
func (p *Planner) policyDecision(u *unit, w *worker) (policyDecision, bool) {
	d, ok := p.policyDecisions[u.stepID()][w.info.ID]
	return d, ok && d.incarnation == w.incarnation
}

// valid reports whether a start can still use the decision's ticket.
func (d *policyDecision) valid(now time.Duration) bool {
	return d.ticket != "" && now < d.expiresAt-ticketMargin
}

// hasTickets reports whether the unit has a valid ticket for every worker of a
// placement.
func (p *Planner) hasTickets(u *unit, placements []placement, now time.Duration) bool {
	for _, pl := range placements {
		if _, ok := p.ticket(u, pl.worker, now); !ok {
			return false
		}
	}
	return true
}

// hasCurrentDecision reports whether a query about the worker is unnecessary:
// either the policy doesn't allow the step on it or its ticket is still valid.
func (p *Planner) hasCurrentDecision(u *unit, w *worker, now time.Duration) bool {
	d, ok := p.policyDecision(u, w)
	return ok && (d.ticket == "" || d.valid(now))
}

// NextPolicyQuery returns the next policy query. It concerns the most urgent unit
// that the last pass couldn't place on workers with tickets and that needs a query.
// Those about whose steps there was one within queryAgainAfter come after the others. It
// reports false if no query is needed.
func (p *Planner) NextPolicyQuery(now time.Duration) (PolicyQuery, bool) {
	waiting := p.awaitingTickets
	p.awaitingTickets = nil
	if len(waiting) == 0 {
		return PolicyQuery{}, false
	}
	slices.SortStableFunc(waiting, func(a, b *unit) int { return p.queriedLately(a, now) - p.queriedLately(b, now) })
	v := p.newView(now)
	for _, u := range waiting {
		if u.phase != unitReady {
			continue
		}
		if q := p.policyQuery(u, v); len(q.Workers) > 0 {
			p.queriedAt[q.Step] = now
			return q, true
		}
	}
	return PolicyQuery{}, false
}

// queriedLately returns 1 if there was a query about the unit's step within
// queryAgainAfter, else 0.
func (p *Planner) queriedLately(u *unit, now time.Duration) int {
	if at, ok := p.queriedAt[u.stepID()]; ok && now-at < queryAgainAfter {
		return 1
	}
	return 0
}

// policyQuery returns the query that the unit needs, without workers if it needs none.
func (p *Planner) policyQuery(u *unit, v *view) PolicyQuery {
	type candidate struct{ i, slots int }
	var candidates []candidate
	limit := queryLimit(u, v)
	haveEnough := p.countTickets(u, v) >= limit
	for i, w := range v.workers {
		slots := v.slots(u, i, v.free[i])
		if p.hasCurrentDecision(u, w, v.now) || !v.eligible(u, i) || haveEnough && slots == 0 {
			continue
		}
		candidates = append(candidates, candidate{i, slots})
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return b.slots - a.slots })
	q := PolicyQuery{Step: u.stepID()}
	for _, c := range candidates[:min(len(candidates), limit)] {
		q.Workers = append(q.Workers, v.workers[c.i].info.ID)
		q.incarnations = append(q.incarnations, v.workers[c.i].incarnation)
	}
	return q
}

// countTickets counts the usable workers for which the unit has a valid ticket.
func (p *Planner) countTickets(u *unit, v *view) int {
	n := 0
	for _, w := range v.workers {
		if _, ok := p.ticket(u, w, v.now); ok {
			n++
		}
	}
	return n
}

// queryLimit returns the maximum number of workers in one query for the unit.
func queryLimit(u *unit, v *view) int {
	if len(v.workers) == 0 {
		return 0
	}
	perWorker := max(v.slots(u, 0, v.workers[0].info.Capacity), 1)
	workersNeeded := (u.count + perWorker - 1) / perWorker
	return min(max(queryWorkersFactor*workersNeeded, minQueryWorkers), maxQueryWorkers)
}

// HandlePolicyDecision records the answer to a policy query. The validity of its
// tickets counts from askedAt, when the query was sent.
func (p *Planner) HandlePolicyDecision(askedAt time.Duration, q PolicyQuery, decision port.PolicyDecision) {
	j := p.jobs[q.Step.Job]
	if j == nil {
		return
	}
	decisions := p.policyDecisions[q.Step]
	if decisions == nil {
		decisions = map[string]policyDecision{}
		p.policyDecisions[q.Step] = decisions
	}
	for i, id := range q.Workers {
		decisions[id] = policyDecision{incarnation: q.incarnations[i], ticket: decision.Tickets[id], expiresAt: askedAt + decision.ValidFor}
	}
	p.log(LogEntry{Event: EventPolicyDecided, Job: q.Step.Job, Detail: "workers in the query that may run the step", Count: len(decision.Tickets)})
}

// isDenied reports whether the policy is known not to allow the unit on the worker.
func (p *Planner) isDenied(u *unit, w *worker) bool {
	if !u.job.rec.Job.PolicyControlled {
		return false
	}
	d, ok := p.policyDecision(u, w)
	return ok && d.ticket == ""
}

// dropTicket removes a ticket that the worker rejected.
func (p *Planner) dropTicket(u *unit, w *worker) {
	u.job.rec.Job.PolicyControlled = true // the queue may have become policy-controlled after the job was accepted
	delete(p.policyDecisions[u.stepID()], w.info.ID)
}

// dropPolicyDecisions removes the policy decisions for the job's steps.
func (p *Planner) dropPolicyDecisions(j *job) {
	if !j.rec.Job.PolicyControlled {
		return
	}
	for _, u := range j.units {
		delete(p.policyDecisions, u.stepID())
		delete(p.queriedAt, u.stepID())
	}
}
