package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilwinch/lentilwinch/internal/breaker"
	"github.com/lentilwinch/lentilwinch/internal/learn"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// demandGain is the weight of a new figure in an instance's demand.
	demandGain = 0.01
	// demandFloor is the share of the slots that is parted evenly.
	demandFloor = 0.3
)

// peer is an instance that shares the servers' slots.
type peer struct {
	id     string
	demand float64
}

// smallServer is the number of slots below which none of a single server's
// slots is reserved.
const smallServer = 4

// SetServers replaces the list of backend servers. Known servers keep their
// state. Those of the first call use all their slots at once; later ones start
// slowly. Work in flight at a server that is no longer listed goes on.
func (d *Dispatcher) SetServers(servers []Server) {
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		d.setServer(s)
	}
	for _, v := range d.servers {
		v.gone = !listed[v.id]
	}
	d.servers = slices.DeleteFunc(d.servers, d.forget)
	d.uniform = true
	for _, v := range d.servers {
		d.uniform = d.uniform && len(v.services) == 0
	}
	d.warm = true
	d.share()
}

func (d *Dispatcher) setServer(s Server) {
	v, ok := d.byID[s.ID]
	if !ok {
		v = &server{id: s.ID, timerAt: -1}
		for k := range kinds {
			v.openAt[k] = -1
		}
		if d.warm {
			v.ramp = breaker.StartSlow(d.now, d.settings.SlowStart)
		}
		d.byID[s.ID] = v
		d.servers = append(d.servers, v)
	}
	v.slots = max(s.Slots, 0)
	v.reserve = reserveOf(v.slots)
	v.services = slices.Clone(s.Services)
	// A server that said it was leaving stays so: the list lags.
	v.leaving = v.leaving || s.Leaving
}

func (d *Dispatcher) forget(v *server) bool {
	if !v.gone || v.inFlight > 0 {
		return false
	}
	for k := range kinds {
		d.setOpen(v, k, false)
	}
	d.timers.remove(v)
	delete(d.byID, v.id)
	return true
}

// reserveOf keeps one slot of a server free for short work.
func reserveOf(slots int) int {
	if slots < smallServer {
		return 0
	}
	return 1
}

// SetShare names the entry instances that share the servers' slots. Until
// SetDemand is called, each has an even part.
func (d *Dispatcher) SetShare(self string, peers []string) {
	known := make(map[string]float64, len(d.peers))
	for _, p := range d.peers {
		known[p.id] = p.demand
	}
	d.self = self
	d.peers = d.peers[:0]
	for _, id := range append([]string{self}, peers...) {
		listed := slices.ContainsFunc(d.peers, func(p peer) bool { return p.id == id })
		if !listed {
			d.peers = append(d.peers, peer{id: id, demand: known[id]})
		}
	}
	slices.SortFunc(d.peers, func(a, b peer) int { return strings.Compare(a.id, b.id) })
	d.share()
}

// SetDemand tells each instance's Demand, by the instances' heartbeats. Slots
// are parted by it.
func (d *Dispatcher) SetDemand(demand map[string]int) {
	for i := range d.peers {
		p := &d.peers[i]
		if n, ok := demand[p.id]; ok {
			p.demand += (float64(n) - p.demand) * demandGain
		}
	}
	d.share()
}

// share parts the slots among the instances: the whole slots between the
// bounds of this instance's interval, shifted for each server by a hash of its
// ID, so that the parts of all instances add up to the server's slots.
func (d *Dispatcher) share() {
	from, to := d.interval()
	mine := 0
	for _, v := range d.servers {
		shift := float64(xxhash.Sum64String(v.id)%1024) / 1024
		slots := float64(v.slots)
		v.part = int(slots*to+shift) - int(slots*from+shift)
		if !v.gone && !v.leaving {
			mine += v.part
		}
	}
	d.partSlots = mine
	d.longLimit = mine * (100 - d.settings.ReservePercent) / 100
	if d.longLimit == 0 && mine > 0 {
		d.longLimit = 1
	}
	for _, w := range d.workspaces {
		w.nominal = ceilDiv(w.slots, len(d.peers))
	}
	for _, v := range d.servers {
		d.refresh(v)
	}
}

// interval is this instance's part of [0, 1]. A floor leaves those without
// demand enough to begin with.
func (d *Dispatcher) interval() (from, to float64) {
	sum := 0.0
	for _, p := range d.peers {
		sum += p.demand
	}
	n := float64(len(d.peers))
	at := 0.0
	for _, p := range d.peers {
		part := 1 / n
		if sum > 0 {
			part = demandFloor/n + (1-demandFloor)*p.demand/sum
		}
		if p.id == d.self {
			return at, at + part
		}
		at += part
	}
	return 0, 1
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}

// SetConfig replaces the workspaces and services in force. Queued items of
// services that ended still run.
func (d *Dispatcher) SetConfig(workspaces []structs.Workspace, services []structs.Service) {
	for _, w := range d.workspaces {
		w.gone = true
		for _, q := range w.services {
			q.gone = true
		}
	}
	for _, w := range workspaces {
		d.setWorkspace(w)
	}
	for _, s := range services {
		d.setService(s)
	}
	for _, w := range d.workspaces {
		w.services = slices.DeleteFunc(w.services, d.forgetService)
	}
	d.workspaces = slices.DeleteFunc(d.workspaces, func(w *workspace) bool {
		return w.gone && len(w.services) == 0 && w.inFlight == 0
	})
	d.limitQueues()
	d.share()
}

func (d *Dispatcher) workspaceNamed(name string) *workspace {
	for _, w := range d.workspaces {
		if w.name == name {
			return w
		}
	}
	w := &workspace{name: name, weight: 1}
	d.workspaces = append(d.workspaces, w)
	return w
}

func (d *Dispatcher) setWorkspace(c structs.Workspace) {
	w := d.workspaceNamed(c.Name)
	w.gone = false
	w.weight = max(c.Weight, 1)
	w.slots = c.NominalSlots
}

func (d *Dispatcher) setService(c structs.Service) {
	declared := time.Duration(c.DeclaredRunMillis) * time.Millisecond
	q, ok := d.services[c.Key()]
	if !ok {
		q = &service{
			key:       c.Key(),
			workspace: d.workspaceNamed(c.Workspace),
			run:       learn.New(declared),
			shortRun:  d.settings.ShortRunLimit,
			normalRun: d.settings.NormalRunLimit,
		}
		for l := range q.fifo {
			q.fifo[l] = newList()
		}
		d.services[c.Key()] = q
		q.workspace.services = append(q.workspace.services, q)
	}
	q.gone = false
	q.class = c.Class
	q.run.Declare(declared)
}

func (d *Dispatcher) forgetService(q *service) bool {
	if !q.gone {
		return false
	}
	for l := range q.fifo {
		if q.fifo[l].len > 0 {
			return false
		}
	}
	if q.workspace.inFlight > 0 {
		return false
	}
	delete(d.services, q.key)
	return true
}

// limitQueues splits the queue by weight.
func (d *Dispatcher) limitQueues() {
	total := 0
	for _, w := range d.workspaces {
		total += w.weight
	}
	for _, w := range d.workspaces {
		w.limit = max(d.settings.QueueLimit*w.weight/total, 1)
	}
}
