package dispatch

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/learn"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// quantum is the slot time that a workspace of weight 1 gains per round.
	quantum = 50 * time.Millisecond
	// debtRounds bounds a workspace's debt, in rounds.
	debtRounds = 40
	// stragglerFactor is how many times its service's 95th percentile a short
	// run may take, while others wait, before it counts as a straggler.
	stragglerFactor = 1.5
	// stragglerRest is how many times longer than its limit a straggler is
	// expected to run.
	stragglerRest = 4
	// minCost is the slot time charged at least for an item.
	minCost = time.Millisecond
)

// service holds a service's queues, one for each level.
type service struct {
	key       structs.ServiceKey
	workspace *workspace
	class     structs.Class
	gone      bool
	run       *learn.RunTime
	fifo      [levels]list
	shortRun  time.Duration
	normalRun time.Duration
}

// levelFor returns the effective class: the declared one, or a lower one when
// the service's runs outlive it. Of a declared run time only a tenth counts.
func (q *service) levelFor(c structs.Class) uint8 {
	level := uint8(c.Rank())
	e := q.run.Estimate()
	high := e.High
	if !e.Learned {
		high /= 10
	}
	if level == 0 && high > q.shortRun {
		level = 1
	}
	if level == 1 && high > q.normalRun {
		level = 2
	}
	return level
}

// cost is the expected slot time of one run.
func (q *service) cost() time.Duration {
	return max(q.run.Estimate().Mean, minCost)
}

// workspace holds a workspace's services and its share.
type workspace struct {
	name     string
	gone     bool
	weight   int
	services []*service
	// nominal is this instance's part of the nominal slots.
	nominal  int
	slots    int
	inFlight int
	// limit bounds the queued items.
	limit   int
	queued  [levels]int
	work    [levels]time.Duration
	deficit [levels]time.Duration
	drain   [levels]meter
	surplus [levels]surplus
}

func (w *workspace) queuedItems() int {
	n := 0
	for _, q := range w.queued {
		n += q
	}
	return n
}

func (w *workspace) quantum() time.Duration {
	return quantum * time.Duration(w.weight)
}

func (w *workspace) charge(level uint8, cost time.Duration) {
	floor := -debtRounds * w.quantum()
	w.deficit[level] = max(w.deficit[level]-cost, floor)
}

// levelState is what is queued and in flight at one level.
type levelState struct {
	queued   int
	inFlight int
	// active are the workspaces with queued items, in the order of service.
	active []*workspace
	// turn is the place in active whose turn it is.
	turn int
}

func (s *levelState) activate(w *workspace) {
	s.active = append(s.active, w)
}

func (s *levelState) deactivate(w *workspace) {
	for i, a := range s.active {
		if a != w {
			continue
		}
		s.active = append(s.active[:i], s.active[i+1:]...)
		if s.turn > i {
			s.turn--
		}
		break
	}
	if s.turn >= len(s.active) {
		s.turn = 0
	}
}

// head returns the service whose oldest item the workspace runs next: of those
// that a server with room offers the one with the earliest deadline.
func (d *Dispatcher) head(w *workspace, level uint8) (*service, bool) {
	var best *service
	for _, q := range w.services {
		if q.fifo[level].len == 0 {
			continue
		}
		if best != nil && d.headDeadline(best, level) <= d.headDeadline(q, level) {
			continue
		}
		if d.hasRoom(level, q.key.Name) {
			best = q
		}
	}
	return best, best != nil
}

func (d *Dispatcher) headDeadline(q *service, level uint8) time.Duration {
	return d.pool.items[q.fifo[level].head].deadline
}

// pickNominal returns the service to run next for the workspace that uses the
// least part of its nominal slots, if one has some left.
func (d *Dispatcher) pickNominal(level uint8) (*service, bool) {
	var best *service
	for _, w := range d.level[level].active {
		if w.inFlight >= w.nominal {
			continue
		}
		if best != nil {
			b := best.workspace
			if w.inFlight*b.nominal >= b.inFlight*w.nominal {
				continue
			}
		}
		if q, ok := d.head(w, level); ok {
			best = q
		}
	}
	return best, best != nil
}

// pickFair returns the service to run next by deficit round robin (Shreedhar
// and Varghese, 1996) over slot time. Where nobody can pay, the rounds until
// somebody can are given at once.
func (d *Dispatcher) pickFair(level uint8) (*service, bool) {
	q, rounds := d.firstPayable(level)
	if q != nil || rounds == 0 {
		return q, q != nil
	}
	for _, w := range d.level[level].active {
		if _, ok := d.head(w, level); ok {
			w.deficit[level] += time.Duration(rounds) * w.quantum()
		}
	}
	q, _ = d.firstPayable(level)
	return q, q != nil
}

// firstPayable returns the first service from the turn on whose workspace can
// pay for its next item, else the rounds until one can, or 0 when there is
// nothing to run.
func (d *Dispatcher) firstPayable(level uint8) (*service, int) {
	s := &d.level[level]
	rounds := 0
	for i := range s.active {
		at := (s.turn + i) % len(s.active)
		w := s.active[at]
		q, ok := d.head(w, level)
		if !ok {
			continue
		}
		missing := q.cost() - w.deficit[level]
		if missing <= 0 {
			s.turn = at
			return q, 0
		}
		need := int((missing + w.quantum() - 1) / w.quantum())
		if rounds == 0 || need < rounds {
			rounds = need
		}
	}
	return nil, rounds
}
