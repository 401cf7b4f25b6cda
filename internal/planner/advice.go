package planner

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// fewestAsked and mostAsked bound the workers of one question. Each worker
	// asked about costs time; the platform's own figures count with 30.
	fewestAsked = 8
	mostAsked   = 30
	// askedFactor is how many workers are asked about for each that is needed.
	askedFactor = 2
	// ticketMargin is how long before its end a ticket is no longer used: a start
	// waits 150 ms for its record and may be sent several times.
	ticketMargin = 800 * time.Millisecond
)

// verdict is what the policy service said about a worker.
type verdict struct {
	life   int // of the worker
	ticket string
	until  time.Duration
}

// Question asks which of some workers may run a step.
type Question struct {
	Step    work.StepID
	Workers []string
	lives   []int
}

func (u *unit) stepID() work.StepID {
	return work.StepID{Job: u.job.rec.Job.ID, Occurrence: u.occurrence, Step: u.step}
}

// ticket returns a ticket for the unit on the worker, or false where there is
// no valid one. Jobs without a policy need none.
func (p *Planner) ticket(u *unit, w *worker, now time.Duration) (string, bool) {
	if !u.job.rec.Job.Advised {
		return "", true
	}
	v, ok := p.verdict(u, w)
	return v.ticket, ok && v.valid(now)
}

// verdict returns what was said about the present life of the worker.
func (p *Planner) verdict(u *unit, w *worker) (verdict, bool) {
	v, ok := p.verdicts[u.stepID()][w.info.ID]
	return v, ok && v.life == w.life
}

// valid reports whether there is a ticket that a start can still carry.
func (v *verdict) valid(now time.Duration) bool {
	return v.ticket != "" && now < v.until-ticketMargin
}

// ticketed reports whether there are tickets for a whole placement.
func (p *Planner) ticketed(u *unit, out []placement, now time.Duration) bool {
	for _, pl := range out {
		if _, ok := p.ticket(u, pl.worker, now); !ok {
			return false
		}
	}
	return true
}

// settled reports whether asking about the worker again would be in vain: it
// may not run the step, or its ticket is still valid.
func (p *Planner) settled(u *unit, w *worker, now time.Duration) bool {
	v, ok := p.verdict(u, w)
	return ok && (v.ticket == "" || v.valid(now))
}

// Question returns what to ask next, for the most urgent unit that found no
// room among the workers with tickets. It reports false if there is nothing.
func (p *Planner) Question(now time.Duration) (Question, bool) {
	u := p.unadvised
	p.unadvised = nil
	if u == nil || u.phase != unitReady {
		return Question{}, false
	}
	v := p.newView(now)
	type candidate struct{ i, slots int }
	var all []candidate
	most := askAbout(u, v)
	enough := p.ticketsFor(u, v) >= most
	for i, w := range v.workers {
		slots := v.slots(u, i, v.free[i])
		if p.settled(u, w, now) || !v.suits(u, i) || enough && slots == 0 {
			continue
		}
		all = append(all, candidate{i, slots})
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return b.slots - a.slots })
	q := Question{Step: u.stepID()}
	for _, c := range all[:min(len(all), most)] {
		q.Workers = append(q.Workers, v.workers[c.i].info.ID)
		q.lives = append(q.lives, v.workers[c.i].life)
	}
	return q, len(q.Workers) > 0
}

// ticketsFor counts the usable workers for which the unit has a valid ticket.
func (p *Planner) ticketsFor(u *unit, v *view) int {
	n := 0
	for _, w := range v.workers {
		if _, ok := p.ticket(u, w, v.now); ok {
			n++
		}
	}
	return n
}

// askAbout is how many workers to ask about at once for the unit.
func askAbout(u *unit, v *view) int {
	if len(v.workers) == 0 {
		return 0
	}
	perWorker := max(v.slots(u, 0, v.workers[0].info.Room), 1)
	needed := (u.count + perWorker - 1) / perWorker
	return min(max(askedFactor*needed, fewestAsked), mostAsked)
}

// Advised takes in the answer to a question. The tickets' time counts from
// when it was asked.
func (p *Planner) Advised(askedAt time.Duration, q Question, answer port.Advice) {
	j := p.jobs[q.Step.Job]
	if j == nil {
		return
	}
	known := p.verdicts[q.Step]
	if known == nil {
		known = map[string]verdict{}
		p.verdicts[q.Step] = known
	}
	for i, id := range q.Workers {
		known[id] = verdict{life: q.lives[i], ticket: answer.Tickets[id], until: askedAt + answer.ValidFor}
	}
	p.note(Note{Event: EventAdvised, Job: q.Step.Job, Detail: "workers that may run it of those asked about", Count: len(answer.Tickets)})
}

// dropTicket forgets a ticket that a worker didn't take.
func (p *Planner) dropTicket(u *unit, w *worker) {
	u.job.rec.Job.Advised = true // the queue may have gained its policy since
	delete(p.verdicts[u.stepID()], w.info.ID)
}

// forgetAdvice drops what was said about the job's steps.
func (p *Planner) forgetAdvice(j *job) {
	if !j.rec.Job.Advised {
		return
	}
	for _, u := range j.units {
		delete(p.verdicts, u.stepID())
	}
}
