package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Trial tells what would happen to an item that is queued now.
type Trial struct {
	// Refused is the error of Enqueue. What isn't known then is left empty.
	Refused error
	// Class is the effective class.
	Class structs.Class
	// Server is the server that the item would be assigned to now, empty if it would
	// stay queued. The choice among the usable servers is random.
	Server string
	// Forecast is set if Ahead and ExpectedWait are known. Ahead is the estimated number
	// of queued items of the workspace that start first, and ExpectedWait the forecast of
	// the time until they have.
	Forecast     bool
	Ahead        int
	ExpectedWait time.Duration
	// LongLimit is set if the item would stay queued because long work already occupies
	// the LongSlots slots of this instance that it may use.
	LongLimit bool
	LongSlots int
	// Servers lists all known servers.
	Servers []ServerTrial
}

// ServerTrial tells whether a server could run the item.
type ServerTrial struct {
	ID     string
	Reason Reason
	Slots  int
	// InFlight is the number of this instance's requests at the server, without the
	// item, and Others that of other instances', as last reported.
	InFlight int
	Others   int
	// Remaining is the time until the circuit of a Quarantined server is half open.
	Remaining time.Duration
}

// Try returns what Enqueue and then Expire and Next, until it returns false, would do
// with an item. It runs them on a copy, so that nothing changes. The item's ID is ignored.
//
// The copy takes time in proportion to the items and servers held: 0.4 to 0.7 ms for 8,000
// items and 350 servers, on a busy machine.
func (d *Dispatcher) Try(now time.Time, it Item) Trial {
	c := d.clone(now)
	defer func() { d.tryItems = c.pool.items }()
	c.advance(now)
	a, err := c.examine(it)
	if err != nil {
		t := Trial{Refused: err}
		if a.service != nil {
			c.Expire(now)
			for _, ok := c.Next(now); ok; _, ok = c.Next(now) {
			}
			c.describe(&t, a)
		}
		return t
	}
	i := c.add(it, a)
	c.Expire(now)
	var t Trial
	for c.pool.items[i].state == stateQueued {
		assigned, ok := c.Next(now)
		if !ok {
			t.LongLimit = isLong(a.level) && c.longInFlight >= c.longLimit
			break
		}
		if c.pool.items[i].state == stateInFlight {
			t.Server = assigned.Server
		}
	}
	c.describe(&t, a)
	return t
}

// describe fills in the admission and the servers.
func (d *Dispatcher) describe(t *Trial, a admission) {
	t.Class, t.LongSlots = classes[a.level], d.longLimit
	t.Forecast, t.Ahead, t.ExpectedWait = a.forecast, a.ahead, a.wait
	for _, v := range d.servers {
		s := ServerTrial{ID: v.id, Slots: v.slots, InFlight: v.inFlight, Others: v.others}
		if v.id == t.Server {
			s.InFlight--
		} else {
			s.Reason = v.reasonFor(d.now, a.level, a.service.key.Name)
		}
		if s.Reason == Quarantined {
			s.Remaining = v.circuit.HalfOpenAt() - d.now
		}
		t.Servers = append(t.Servers, s)
	}
}

// clone returns a copy for the functions that Try calls. It shares only what they read:
// the estimators of run times and the lists of services that servers offer. Its index
// of items and its map of servers are empty. Its random numbers are its own, seeded by the
// time.
func (d *Dispatcher) clone(now time.Time) *Dispatcher {
	c := *d
	c.settings.Rand = rand.New(rand.NewPCG(uint64(now.UnixNano()), 0))
	c.expired, c.serversByID = nil, nil
	c.instances = slices.Clone(d.instances)
	servers := c.cloneServers(d)
	services := c.cloneWorkspaces(d)
	c.pool = pool{items: append(d.tryItems[:0], d.pool.items...), free: slices.Clone(d.pool.free), index: make(map[uint64]int32)}
	for i := range c.pool.items {
		it := &c.pool.items[i]
		if it.state == stateFree {
			continue
		}
		it.service = services[it.service]
		if it.server != nil {
			it.server = servers[it.server]
		}
	}
	return &c
}

// cloneServers replaces the servers by copies, and returns the copy of each.
func (d *Dispatcher) cloneServers(from *Dispatcher) map[*server]*server {
	copies := make(map[*server]*server, len(from.servers))
	d.servers = make([]*server, len(from.servers))
	d.timers.heap = make([]*server, len(from.timers.heap))
	for k := range d.available {
		d.available[k] = make([]*server, len(from.available[k]))
	}
	block := make([]server, len(from.servers))
	for i, v := range from.servers {
		w := &block[i]
		*w = *v
		copies[v], d.servers[i] = w, w
		if w.timerIndex >= 0 {
			d.timers.heap[w.timerIndex] = w
		}
		for k, index := range w.availableIndex {
			if index >= 0 {
				d.available[k][index] = w
			}
		}
	}
	return copies
}

// cloneWorkspaces replaces the workspaces and services by copies, and returns the copy of
// each service.
func (d *Dispatcher) cloneWorkspaces(from *Dispatcher) map[*service]*service {
	copies := make(map[*service]*service, len(from.services))
	workspaces := make(map[*workspace]*workspace, len(from.workspaces))
	d.workspaces = make([]*workspace, len(from.workspaces))
	d.services = make(map[structs.ServiceKey]*service, len(from.services))
	for i, w := range from.workspaces {
		x := new(*w)
		d.workspaces[i], workspaces[w] = x, x
		x.services = make([]*service, len(w.services))
		for j, q := range w.services {
			y := new(*q)
			y.workspace, x.services[j], copies[q], d.services[q.key] = x, y, y, y
		}
	}
	for l := range d.levels {
		active := make([]*workspace, len(from.levels[l].active))
		for i, w := range from.levels[l].active {
			active[i] = workspaces[w]
		}
		d.levels[l].active = active
	}
	return copies
}
