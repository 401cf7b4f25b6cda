package dispatch

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/learn"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// quantum is the slot time that a workspace of weight 1 is credited with
	// per round.
	quantum = 50 * time.Millisecond
	// maxDebtRounds bounds a workspace's debt, in rounds.
	maxDebtRounds = 40
	// stragglerFactor is the multiple of the service's 95th percentile run time
	// after which a short run counts as a straggler while other short items are
	// queued.
	stragglerFactor = 1.5
	// stragglerRetryFactor is the expected run time of a straggler's retry as a
	// multiple of the time that it ran before it was cut off.
	stragglerRetryFactor = 4
	// minCost is the minimum slot time charged for an item.
	minCost = time.Millisecond
)

// service holds a service's queues, one per level.
type service struct {
	key            structs.ServiceKey
	workspace      *workspace
	class          structs.Class
	removed        bool
	run            *learn.Estimator
	fifo           [levelCount]list
	shortRunLimit  time.Duration
	normalRunLimit time.Duration
}

// levelFor returns the rank of the effective class: the declared one, or a
// lower one if the service's 95th percentile run time exceeds the limit of that
// class. Only a tenth of a declared run time counts until run times are learned.
func (s *service) levelFor(c structs.Class) uint8 {
	level := uint8(c.Rank())
	e := s.run.Estimate()
	high := e.High
	if !e.Learned {
		high /= 10
	}
	if level == 0 && high > s.shortRunLimit {
		level = 1
	}
	if level == 1 && high > s.normalRunLimit {
		level = 2
	}
	return level
}

// cost returns the expected slot time of one run, at least minCost.
func (s *service) cost() time.Duration {
	return max(s.run.Estimate().Mean, minCost)
}

// workspace holds a workspace's services and its share of the slots.
type workspace struct {
	name     string
	removed  bool
	weight   int
	services []*service
	// nominalShare is this instance's share of nominalSlots, rounded up.
	nominalShare int
	nominalSlots int
	inFlight     int
	// queueLimit bounds the number of queued items.
	queueLimit int
	queued     [levelCount]int
	// work is the expected slot time of the queued items.
	work [levelCount]time.Duration
	// deficit is the slot time credited to the workspace and not yet used. A
	// negative value is a debt.
	deficit [levelCount]time.Duration
	drain   [levelCount]drainRate
	excess  [levelCount]excessEstimator
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

// charge deducts a cost from the deficit, down to the maximum debt. A negative
// cost is a refund.
func (w *workspace) charge(level uint8, cost time.Duration) {
	floor := -maxDebtRounds * w.quantum()
	w.deficit[level] = max(w.deficit[level]-cost, floor)
}

// levelState holds one level's queued and in-flight counts and the round-robin
// state of its workspaces.
type levelState struct {
	queued   int
	inFlight int
	// active lists the workspaces with queued items in round-robin order.
	active []*workspace
	// turn is the index in active of the workspace that is served next.
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

// headService returns the workspace's service whose first item runs next: the
// one with the earliest deadline among those that a server with a free slot
// offers.
func (d *Dispatcher) headService(w *workspace, level uint8) (*service, bool) {
	var best *service
	for _, q := range w.services {
		if q.fifo[level].len == 0 {
			continue
		}
		if best != nil && d.headDeadline(best, level) <= d.headDeadline(q, level) {
			continue
		}
		if d.hasFreeServer(level, q.key.Name) {
			best = q
		}
	}
	return best, best != nil
}

func (d *Dispatcher) headDeadline(q *service, level uint8) time.Duration {
	return d.pool.items[q.fifo[level].head].deadline
}

// pickNominal returns the service to run next for the workspace with the lowest
// usage of its nominal slots, and false if no workspace with a runnable item
// has nominal slots left.
func (d *Dispatcher) pickNominal(level uint8) (*service, bool) {
	var best *service
	for _, w := range d.levels[level].active {
		if w.inFlight >= w.nominalShare {
			continue
		}
		if best != nil {
			b := best.workspace
			if w.inFlight*b.nominalShare >= b.inFlight*w.nominalShare {
				continue
			}
		}
		if q, ok := d.headService(w, level); ok {
			best = q
		}
	}
	return best, best != nil
}

// pickFair returns the service to run next by deficit round robin (Shreedhar
// and Varghese, 1996) over slot time. If no workspace can pay for its next
// item, all rounds until the first one can are credited at once.
func (d *Dispatcher) pickFair(level uint8) (*service, bool) {
	q, rounds := d.firstPayable(level)
	if q != nil || rounds == 0 {
		return q, q != nil
	}
	for _, w := range d.levels[level].active {
		if _, ok := d.headService(w, level); ok {
			w.deficit[level] += time.Duration(rounds) * w.quantum()
		}
	}
	q, _ = d.firstPayable(level)
	return q, q != nil
}

// firstPayable returns the first service, starting at turn, whose workspace can
// pay for its next item, and sets turn to that workspace. Otherwise it returns the
// number of rounds until one can, or 0 if no item can run.
func (d *Dispatcher) firstPayable(level uint8) (*service, int) {
	s := &d.levels[level]
	rounds := 0
	for i := range s.active {
		index := (s.turn + i) % len(s.active)
		w := s.active[index]
		q, ok := d.headService(w, level)
		if !ok {
			continue
		}
		missing := q.cost() - w.deficit[level]
		if missing <= 0 {
			s.turn = index
			return q, 0
		}
		need := int((missing + w.quantum() - 1) / w.quantum())
		if rounds == 0 || need < rounds {
			rounds = need
		}
	}
	return nil, rounds
}
