package dispatch

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/breaker"
)

// kind tells slots by the work that may take them.
type kind int

const (
	// shortHome and longHome are slots of this instance's own part.
	shortHome kind = iota
	longHome
	// shortAway are slots of other instances' parts. Long work doesn't take
	// them, for it would hold them long after they are missed.
	shortAway
	kinds
)

// quietProbes is how many times longer a report counts while no short work
// waits.
const quietProbes = 15

// awayMargin is the number of slots left free at a server when work is sent
// beyond this instance's part.
const awayMargin = 1

func isLong(level uint8) bool {
	return level > 0
}

// server is what is known of a backend server.
type server struct {
	id       string
	slots    int
	reserve  int
	services []string
	leaving  bool
	gone     bool
	// inFlight is the work of this instance there, long the long part of it.
	inFlight int
	long     int
	// part is the number of slots that are this instance's own.
	part int
	// others is the work of the other instances as last reported.
	others     int
	reportedAt time.Duration
	// lookedAt is when the report's age was looked at last.
	lookedAt time.Duration
	circuit  breaker.Circuit
	ramp     breaker.SlowStart
	// openAt is the server's place in the open list of each kind, or -1.
	openAt [kinds]int
	// wakeAt is when to look at the server again; timerAt is its place in the
	// timer heap, or -1.
	wakeAt  time.Duration
	timerAt int
}

func (v *server) offers(name string) bool {
	return len(v.services) == 0 || slices.Contains(v.services, name)
}

// limit is the number of slots that this instance may use now.
func (v *server) limit(now time.Duration) int {
	if v.leaving || v.gone {
		return 0
	}
	switch v.circuit.State(now) {
	case breaker.Open:
		return 0
	case breaker.HalfOpen:
		return min(1, v.slots)
	default:
		return v.ramp.Limit(now, v.slots)
	}
}

// room reports for each kind whether a slot is believed to be free.
func (v *server) room(now time.Duration) [kinds]bool {
	var r [kinds]bool
	busy := v.inFlight + v.others
	home := v.inFlight < v.part
	free := v.inFlight < v.limit(now) && busy < v.slots
	r[shortHome] = free && home
	r[shortAway] = free && busy < v.slots-awayMargin
	unreserved := v.slots - v.reserve
	r[longHome] = r[shortHome] && v.long < unreserved && busy < unreserved
	return r
}

// lessLoaded compares by the share of slots in use.
func (v *server) lessLoaded(o *server) bool {
	return (v.inFlight+v.others)*o.slots < (o.inFlight+o.others)*v.slots
}

// refresh brings the open lists and the timer in line with the server's state.
func (d *Dispatcher) refresh(v *server) {
	room := v.room(d.now)
	for k := range kinds {
		d.setOpen(v, k, room[k])
	}
	at, ok := d.nextChange(v, room)
	if !ok {
		d.timers.remove(v)
		return
	}
	v.wakeAt = at
	d.timers.set(v)
}

func (d *Dispatcher) setOpen(v *server, k kind, open bool) {
	at := v.openAt[k]
	if open == (at >= 0) {
		return
	}
	if open {
		v.openAt[k] = len(d.open[k])
		d.open[k] = append(d.open[k], v)
		return
	}
	last := len(d.open[k]) - 1
	moved := d.open[k][last]
	d.open[k][at] = moved
	moved.openAt[k] = at
	d.open[k] = d.open[k][:last]
	v.openAt[k] = -1
}

// nextChange returns when the server may get room without an event.
func (d *Dispatcher) nextChange(v *server, room [kinds]bool) (time.Duration, bool) {
	if v.leaving || v.gone || room[longHome] && room[shortAway] {
		return 0, false
	}
	if v.circuit.State(d.now) == breaker.Open {
		return v.circuit.ReopensAt(), true
	}
	if at, ok := v.ramp.NextStep(d.now, v.slots); ok {
		return at, true
	}
	if v.others > 0 {
		return max(v.reportedAt, v.lookedAt) + d.settings.ProbeInterval, true
	}
	return 0, false
}

// runTimers looks again at the servers whose time has come.
func (d *Dispatcher) runTimers() {
	for range len(d.servers) {
		v, ok := d.timers.first()
		if !ok || v.wakeAt > d.now {
			return
		}
		d.age(v)
		d.refresh(v)
	}
}

// age assumes that some of the others' work has ended since it was reported:
// soon while short work waits, late otherwise, when a wrong guess would only
// delay somebody. The jitter keeps instances from probing at the same time.
func (d *Dispatcher) age(v *server) {
	wait := d.settings.ProbeInterval
	v.lookedAt = d.now
	if d.level[0].queued == 0 {
		wait *= quietProbes
	}
	if v.others == 0 || d.now < v.reportedAt+wait {
		return
	}
	v.others--
	jitter := time.Duration(d.settings.Rand.Int64N(int64(wait)/2 + 1))
	v.reportedAt = d.now - jitter
}

// choose returns a server with room that offers the service: one where a slot
// of this instance's own part is free, else, for short work, any.
func (d *Dispatcher) choose(level uint8, name string) (*server, bool) {
	if isLong(level) {
		return d.leastLoaded(d.open[longHome], name)
	}
	if v, ok := d.leastLoaded(d.open[shortHome], name); ok {
		return v, true
	}
	return d.leastLoaded(d.open[shortAway], name)
}

// hasRoom reports whether a server with room offers the service.
func (d *Dispatcher) hasRoom(level uint8, name string) bool {
	if isLong(level) {
		return d.anyOffers(d.open[longHome], name)
	}
	return d.anyOffers(d.open[shortHome], name) || d.anyOffers(d.open[shortAway], name)
}

func (d *Dispatcher) anyOffers(open []*server, name string) bool {
	if d.uniform {
		return len(open) > 0
	}
	for _, v := range open {
		if v.offers(name) {
			return true
		}
	}
	return false
}

// leastLoaded returns the least loaded of a few random servers that offer the
// service.
func (d *Dispatcher) leastLoaded(open []*server, name string) (*server, bool) {
	if len(open) == 0 {
		return nil, false
	}
	var best *server
	seen := 0
	at := d.settings.Rand.IntN(len(open))
	for range len(open) {
		v := open[at]
		if v.offers(name) {
			if best == nil || v.lessLoaded(best) {
				best = v
			}
			seen++
		}
		if seen == d.settings.Choices {
			break
		}
		at = d.following(at, len(open))
	}
	return best, best != nil
}

// following returns the next place to look at: a random one where every server
// offers every service, else the neighbour, so that all are seen once.
func (d *Dispatcher) following(at, n int) int {
	if d.uniform {
		return d.settings.Rand.IntN(n)
	}
	at++
	if at == n {
		return 0
	}
	return at
}
