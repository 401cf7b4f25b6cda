package dispatch

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/breaker"
)

// slotKind classifies free slots by the work that may use them.
type slotKind int

const (
	// shortOwn and longOwn are slots of this instance's own share, for short
	// and long work.
	shortOwn slotKind = iota
	longOwn
	// shortBorrowed are slots of other instances' shares. Long work doesn't
	// borrow slots, because it would occupy them long after their owner needs
	// them.
	shortBorrowed
	slotKindCount
)

// idleProbeFactor multiplies ProbeInterval, the time that a load report stays
// valid, while no short work is queued.
const idleProbeFactor = 15

// borrowMargin is the number of slots left free at a server when this instance
// borrows slots there.
const borrowMargin = 1

func isLong(level uint8) bool {
	return level > 0
}

var (
	shortKinds = []slotKind{shortOwn, shortBorrowed}
	longKinds  = []slotKind{longOwn}
)

// kindsFor returns the kinds of slots that a level's items may use, the preferred one
// first.
func kindsFor(level uint8) []slotKind {
	if isLong(level) {
		return longKinds
	}
	return shortKinds
}

// server is the state of a backend server.
type server struct {
	id       string
	slots    int
	reserve  int
	services []string
	leaving  bool
	removed  bool
	// evacuated is Server.Evacuated.
	evacuated bool
	// inFlight is the number of this instance's requests at the server;
	// longInFlight is the number of long ones among them.
	inFlight     int
	longInFlight int
	// ownSlots is the number of slots in this instance's share.
	ownSlots int
	// others is the number of requests of other instances, as last reported and
	// since reduced by decayReport. reportedAt is the time of the report or, if
	// later, that of the last reduction minus a random jitter.
	others     int
	reportedAt time.Duration
	// ageCheckedAt is the time of the last check of the report's age.
	ageCheckedAt time.Duration
	circuit      breaker.Circuit
	slowStart    breaker.SlowStart
	// availableIndex is the server's index in the list of available servers of
	// each kind, or -1.
	availableIndex [slotKindCount]int
	// wakeAt is the time of the next check of the server's state; timerIndex is
	// its index in the timer heap, or -1.
	wakeAt     time.Duration
	timerIndex int
}

func (s *server) offers(name string) bool {
	return len(s.services) == 0 || slices.Contains(s.services, name)
}

// usableSlots returns the number of the server's slots that this instance may
// use now: none if the server is leaving, removed or evacuated or its circuit is
// open, one for a trial request, and fewer than all during slow start.
func (s *server) usableSlots(now time.Duration) int {
	if s.excluded(now) != Usable {
		return 0
	}
	if s.circuit.State(now) == breaker.HalfOpen {
		return min(1, s.slots)
	}
	return s.slowStart.Limit(now, s.slots)
}

// excluded returns why the server gets no work whatever its load, or Usable.
func (s *server) excluded(now time.Duration) Reason {
	switch {
	case s.removed:
		return NotListed
	case s.evacuated:
		return Evacuated
	case s.leaving:
		return Draining
	case s.circuit.State(now) == breaker.Open:
		return Quarantined
	default:
		return Usable
	}
}

// freeKinds reports for each kind whether a slot is believed to be free.
func (s *server) freeKinds(now time.Duration) [slotKindCount]bool {
	var r [slotKindCount]bool
	busy := s.inFlight + s.others
	ownFree := s.inFlight < s.ownSlots
	free := s.inFlight < s.usableSlots(now) && busy < s.slots
	r[shortOwn] = free && ownFree
	r[shortBorrowed] = free && busy < s.slots-borrowMargin
	unreserved := s.slots - s.reserve
	r[longOwn] = r[shortOwn] && s.longInFlight < unreserved && busy < unreserved
	return r
}

// lessLoadedThan reports whether s has a smaller share of its slots in use than
// o.
func (s *server) lessLoadedThan(o *server) bool {
	return (s.inFlight+s.others)*o.slots < (o.inFlight+o.others)*s.slots
}

// refresh updates the lists of available servers and the timer from the
// server's state.
func (d *Dispatcher) refresh(v *server) {
	free := v.freeKinds(d.now)
	for k := range slotKindCount {
		d.setAvailable(v, k, free[k])
	}
	at, ok := d.nextAvailableAt(v, free)
	if !ok {
		d.timers.remove(v)
		return
	}
	v.wakeAt = at
	d.timers.set(v)
}

func (d *Dispatcher) setAvailable(v *server, k slotKind, available bool) {
	index := v.availableIndex[k]
	if available == (index >= 0) {
		return
	}
	if available {
		v.availableIndex[k] = len(d.available[k])
		d.available[k] = append(d.available[k], v)
		return
	}
	last := len(d.available[k]) - 1
	moved := d.available[k][last]
	d.available[k][index] = moved
	moved.availableIndex[k] = index
	d.available[k] = d.available[k][:last]
	v.availableIndex[k] = -1
}

// nextAvailableAt returns when more of the server's slots may become available
// without an event, and false if slots of each kind are free or only an event can
// free them.
func (d *Dispatcher) nextAvailableAt(v *server, free [slotKindCount]bool) (time.Duration, bool) {
	if v.leaving || v.removed || v.evacuated || free[longOwn] && free[shortBorrowed] {
		return 0, false
	}
	if v.circuit.State(d.now) == breaker.Open {
		return v.circuit.HalfOpenAt(), true
	}
	if at, ok := v.slowStart.NextStep(d.now, v.slots); ok {
		return at, true
	}
	if v.others > 0 {
		return max(v.reportedAt, v.ageCheckedAt) + d.settings.ProbeInterval, true
	}
	return 0, false
}

// runTimers checks the servers whose timers have expired.
func (d *Dispatcher) runTimers() {
	for range len(d.servers) {
		v, ok := d.timers.first()
		if !ok || v.wakeAt > d.now {
			return
		}
		d.decayReport(v)
		d.refresh(v)
	}
}

// decayReport assumes that one of the other instances' requests has completed
// since the last report. It does so after ProbeInterval while short work is
// queued, and later otherwise, when a wrong assumption would only delay other
// work. The jitter keeps instances from probing at the same time.
func (d *Dispatcher) decayReport(v *server) {
	wait := d.settings.ProbeInterval
	v.ageCheckedAt = d.now
	if d.levels[0].queued == 0 {
		wait *= idleProbeFactor
	}
	if v.others == 0 || d.now < v.reportedAt+wait {
		return
	}
	v.others--
	jitter := time.Duration(d.settings.Rand.Int64N(int64(wait)/2 + 1))
	v.reportedAt = d.now - jitter
}

// chooseServer returns a server with a free slot that offers the service. It
// prefers slots of this instance's own share; short work may borrow others.
func (d *Dispatcher) chooseServer(level uint8, name string) (*server, bool) {
	for _, k := range kindsFor(level) {
		if v, ok := d.leastLoaded(d.available[k], name); ok {
			return v, true
		}
	}
	return nil, false
}

// hasFreeServer reports whether a server with a free slot offers the service.
func (d *Dispatcher) hasFreeServer(level uint8, name string) bool {
	for _, k := range kindsFor(level) {
		if d.anyOffers(d.available[k], name) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) anyOffers(servers []*server, name string) bool {
	if d.allServersOfferAll {
		return len(servers) > 0
	}
	for _, v := range servers {
		if v.offers(name) {
			return true
		}
	}
	return false
}

// leastLoaded returns the least loaded of up to Choices random servers that
// offer the service.
func (d *Dispatcher) leastLoaded(servers []*server, name string) (*server, bool) {
	if len(servers) == 0 {
		return nil, false
	}
	var best *server
	compared := 0
	index := d.settings.Rand.IntN(len(servers))
	for range len(servers) {
		v := servers[index]
		if v.offers(name) {
			if best == nil || v.lessLoadedThan(best) {
				best = v
			}
			compared++
		}
		if compared == d.settings.Choices {
			break
		}
		index = d.nextIndex(index, len(servers))
	}
	return best, best != nil
}

// nextIndex returns the index of the next server to compare: a random one if
// every server offers every service, else the next one, so that each is visited
// once.
func (d *Dispatcher) nextIndex(index, n int) int {
	if d.allServersOfferAll {
		return d.settings.Rand.IntN(n)
	}
	index++
	if index == n {
		return 0
	}
	return index
}
