package planner

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// maxReservations is how many waiting units get workers kept for them in
	// one pass; more would leave too little to backfill.
	maxReservations = 2
	// maxRefused is how many waiting steps one pass tries in vain; it bounds a
	// pass over a long queue.
	maxRefused = 120
	// stalledAfter is how long a run's progress may stand still. A task reports
	// whole percents, and the slowest ones seen take 75 s.
	stalledAfter = 2500 * time.Millisecond
)

type shape struct {
	job              *job
	occurrence, step int
}

func (u *unit) shape() shape { return shape{u.job, u.occurrence, u.step} }

// Plan returns the orders that follow from what is known now.
func (p *Planner) Plan(now time.Duration) []Order {
	p.finishRecovery(now)
	p.finishClearing(now)
	p.stopStalled(now)
	p.unadvised = nil
	v := p.newView(now)
	p.claims(v)
	reservations := 0
	refused := map[shape]bool{}
	for _, r := range p.ranking(now) {
		u := r.unit
		key := u.shape()
		if len(refused) >= maxRefused {
			break
		}
		if u.claim != nil || refused[key] {
			continue
		}
		spread := p.maySpread(u, now)
		if out := v.place(u, spread); out != nil {
			p.start(u, v, out, "fits")
			continue
		}
		refused[key] = true
		if p.unadvised == nil && u.job.rec.Job.Advised {
			p.unadvised = u
		}
		if u.job.rec.Job.Priority == 0 {
			if p.reclaim(u, v, p.entitled(u), spread) {
				delete(refused, key)
				continue
			}
		}
		if reservations < maxReservations && r.score > hopelessWorth {
			reservations++
			v.reserve(u)
		}
	}
	out := p.orders
	p.orders = nil
	return out
}

// maySpread lets a one-rack gang use several racks when its guarantee is about
// to be missed: it then runs longer, but it runs.
func (p *Planner) maySpread(u *unit, now time.Duration) bool {
	return u.job.rec.Job.Priority == 0 && p.waited(u, now) > p.settings.ReclaimWithin*6/10 && p.entitled(u)
}

// claims places the units for which room was made, and keeps that room for
// those whose victims haven't ended yet.
func (p *Planner) claims(v *view) {
	for _, j := range p.open {
		for _, u := range j.units {
			if u.claim == nil {
				continue
			}
			if u.phase != unitReady || v.now-u.claimedAt > claimExpiry {
				u.claim = nil
				continue
			}
			if v.now >= u.notBefore && v.fitsNow(u, u.claim) && p.ticketed(u, u.claim, v.now) {
				out := u.claim
				u.claim = nil
				p.start(u, v, out, "reclaimed")
				continue
			}
			v.take(u, u.claim)
		}
	}
}

func (p *Planner) start(u *unit, v *view, out []placement, why string) {
	v.take(u, out)
	number := u.nextRun
	u.nextRun++
	u.phase = unitActive
	u.placed = nil
	p.touch(u.job)
	index := u.first
	for _, pl := range out {
		if u.serves() {
			p.clearFillers(pl.worker, v.now)
		}
		for range pl.count {
			r := p.addRun(u, index, pl.worker, number, runStarting, v.now)
			ticket, _ := p.ticket(u, pl.worker, v.now) // the placement checked that there is one
			p.orders = append(p.orders, Order{
				Kind: OrderStart, Worker: pl.worker.info.ID, Task: r.task, Run: number,
				Spec: u.job.rec.Job.Spec, Checkpoint: u.saved, Ticket: ticket, Why: why,
			})
			index++
		}
	}
}

// stopStalled gives up runs whose progress stands still.
func (p *Planner) stopStalled(now time.Duration) {
	for _, j := range p.open {
		for _, u := range j.units {
			if u.phase == unitActive && !u.spec().LongLived {
				p.checkStalled(u, now)
			}
		}
	}
}

func (p *Planner) checkStalled(u *unit, now time.Duration) {
	if len(u.runs) < u.count {
		return
	}
	var still []*run
	for _, r := range u.runs {
		if r.phase != runRunning {
			return
		}
		if r.percent < 99 && r.worker.reachable && now-max(r.progressAt, r.startedAt) > stalledAfter {
			still = append(still, r)
		}
	}
	if len(still) == 0 {
		return
	}
	for _, r := range still {
		p.note(Note{Event: EventRunStalled, Job: r.task.Job, Worker: r.worker.info.ID, Task: r.task, Run: r.number, Count: r.percent})
		if (len(still) < u.count || u.count == 1) && r.worker.health.stalled(now) {
			p.noteQuarantine(r.worker, "a run stood still")
		}
		if u.avoid == nil {
			u.avoid = map[string]bool{}
		}
		u.avoid[r.worker.info.ID] = true
	}
	p.stopAttempt(u, now, "stalled")
}

// LargestRoom returns the room of the largest worker in each respect.
func (p *Planner) LargestRoom() work.Resources {
	var room work.Resources
	for _, w := range p.workers {
		room.CPU = max(room.CPU, w.info.Room.CPU)
		room.MemMB = max(room.MemMB, w.info.Room.MemMB)
		room.Accel = max(room.Accel, w.info.Room.Accel)
	}
	return room
}
