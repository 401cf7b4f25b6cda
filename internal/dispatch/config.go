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
	// demandGain is the weight of a new sample in an instance's smoothed
	// demand.
	demandGain = 0.01
	// evenSplitShare is the fraction of the slots that is split evenly among
	// the instances.
	evenSplitShare = 0.3
)

// instance is an entry instance, i.e. one that accepts callers' requests. All of
// them, including this one, share the servers' slots.
type instance struct {
	id     string
	demand float64
}

// minSlotsForReserve is the smallest number of slots with which a server has
// one slot reserved for short work.
const minSlotsForReserve = 4

// SetServers replaces the list of backend servers. A server keeps its state
// while it is listed or has work in flight. Servers in the first list use all
// their slots at once; those added later start slowly. Work in flight at a server
// that is no longer listed continues.
func (d *Dispatcher) SetServers(servers []Server) {
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		d.setServer(s)
	}
	for _, v := range d.servers {
		v.removed = !listed[v.id]
	}
	d.servers = slices.DeleteFunc(d.servers, d.removeIfIdle)
	d.allServersOfferAll = true
	for _, v := range d.servers {
		d.allServersOfferAll = d.allServersOfferAll && len(v.services) == 0
	}
	d.serversSet = true
	d.splitSlots()
}

func (d *Dispatcher) setServer(s Server) {
	v, ok := d.serversByID[s.ID]
	if !ok {
		v = &server{id: s.ID, timerIndex: -1}
		for k := range slotKindCount {
			v.availableIndex[k] = -1
		}
		if d.serversSet {
			v.slowStart = breaker.NewSlowStart(d.now, d.settings.SlowStart)
		}
		d.serversByID[s.ID] = v
		d.servers = append(d.servers, v)
	}
	v.slots = max(s.Slots, 0)
	v.reserve = reservedSlots(v.slots)
	v.services = slices.Clone(s.Services)
	// A server that reported that it is leaving stays marked: the list lags
	// behind its report.
	v.leaving = v.leaving || s.Leaving
	if v.evacuated && !s.Evacuated {
		// The server may have been restarted during the evacuation.
		v.slowStart = breaker.NewSlowStart(d.now, d.settings.SlowStart)
	}
	v.evacuated = s.Evacuated
}

func (d *Dispatcher) removeIfIdle(v *server) bool {
	if !v.removed || v.inFlight > 0 {
		return false
	}
	for k := range slotKindCount {
		d.setAvailable(v, k, false)
	}
	d.timers.remove(v)
	delete(d.serversByID, v.id)
	return true
}

// reservedSlots returns the number of a server's slots that are kept free for
// short work.
func reservedSlots(slots int) int {
	if slots < minSlotsForReserve {
		return 0
	}
	return 1
}

// SetInstances sets the entry instances that share the servers' slots: this
// one, self, and its peers. Until SetDemand is called, each has an even share.
func (d *Dispatcher) SetInstances(self string, peers []string) {
	demand := make(map[string]float64, len(d.instances))
	for _, inst := range d.instances {
		demand[inst.id] = inst.demand
	}
	d.self = self
	d.instances = d.instances[:0]
	for _, id := range append([]string{self}, peers...) {
		listed := slices.ContainsFunc(d.instances, func(inst instance) bool { return inst.id == id })
		if !listed {
			d.instances = append(d.instances, instance{id: id, demand: demand[id]})
		}
	}
	slices.SortFunc(d.instances, func(a, b instance) int { return strings.Compare(a.id, b.id) })
	d.splitSlots()
}

// SetDemand updates the smoothed demand, by which the slots are split, of each
// instance in demand. It takes the number of requests that an instance holds, by
// instance ID: Demand's result for this one, and what the others report.
func (d *Dispatcher) SetDemand(demand map[string]int) {
	for i := range d.instances {
		inst := &d.instances[i]
		if n, ok := demand[inst.id]; ok {
			inst.demand += (float64(n) - inst.demand) * demandGain
		}
	}
	d.splitSlots()
}

// splitSlots sets this instance's share of each server's slots: the whole slots
// between the bounds that shareBounds returns, scaled to the number of slots. All
// instances shift the bounds by the same hash of the server's ID, so that their
// shares add up to the server's slots if they use the same demand. splitSlots also
// updates longLimit and the workspaces' nominal shares.
func (d *Dispatcher) splitSlots() {
	from, to := d.shareBounds()
	totalOwnSlots := 0
	for _, v := range d.servers {
		shift := float64(xxhash.Sum64String(v.id)%1024) / 1024
		slots := float64(v.slots)
		v.ownSlots = int(slots*to+shift) - int(slots*from+shift)
		if !v.removed && !v.leaving && !v.evacuated {
			totalOwnSlots += v.ownSlots
		}
	}
	d.totalOwnSlots = totalOwnSlots
	d.longLimit = totalOwnSlots * (100 - d.settings.ReservePercent) / 100
	if d.longLimit == 0 && totalOwnSlots > 0 {
		d.longLimit = 1
	}
	for _, w := range d.workspaces {
		w.nominalShare = ceilDiv(w.nominalSlots, len(d.instances))
	}
	for _, v := range d.servers {
		d.refresh(v)
	}
}

// shareBounds returns the bounds of this instance's share within [0, 1]. An evenly
// split fraction leaves instances without demand enough slots to start with.
func (d *Dispatcher) shareBounds() (from, to float64) {
	sum := 0.0
	for _, inst := range d.instances {
		sum += inst.demand
	}
	n := float64(len(d.instances))
	lower := 0.0
	for _, inst := range d.instances {
		fraction := 1 / n
		if sum > 0 {
			fraction = evenSplitShare/n + (1-evenSplitShare)*inst.demand/sum
		}
		if inst.id == d.self {
			return lower, lower + fraction
		}
		lower += fraction
	}
	return 0, 1
}

func ceilDiv(a, b int) int {
	return (a + b - 1) / b
}

// SetConfig replaces the workspaces and services in force. Queued items of
// removed services still run.
func (d *Dispatcher) SetConfig(workspaces []structs.Workspace, services []structs.Service) {
	for _, w := range d.workspaces {
		w.removed = true
		for _, q := range w.services {
			q.removed = true
		}
	}
	for _, w := range workspaces {
		d.setWorkspace(w)
	}
	for _, s := range services {
		d.setService(s)
	}
	for _, w := range d.workspaces {
		w.services = slices.DeleteFunc(w.services, d.removeServiceIfIdle)
	}
	d.workspaces = slices.DeleteFunc(d.workspaces, func(w *workspace) bool {
		return w.removed && len(w.services) == 0 && w.inFlight == 0
	})
	d.limitQueues()
	d.splitSlots()
}

func (d *Dispatcher) getOrAddWorkspace(name string) *workspace {
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
	w := d.getOrAddWorkspace(c.Name)
	w.removed = false
	w.weight = max(c.Weight, 1)
	w.nominalSlots = c.NominalSlots
}

func (d *Dispatcher) setService(c structs.Service) {
	declared := time.Duration(c.DeclaredRunMillis) * time.Millisecond
	q, ok := d.services[c.Key()]
	if !ok {
		q = &service{
			key:            c.Key(),
			workspace:      d.getOrAddWorkspace(c.Workspace),
			run:            learn.New(declared),
			shortRunLimit:  d.settings.ShortRunLimit,
			normalRunLimit: d.settings.NormalRunLimit,
		}
		for l := range q.fifo {
			q.fifo[l] = newList()
		}
		d.services[c.Key()] = q
		q.workspace.services = append(q.workspace.services, q)
	}
	q.removed = false
	q.class = c.Class
	q.run.Declare(declared)
}

func (d *Dispatcher) removeServiceIfIdle(q *service) bool {
	if !q.removed {
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

// limitQueues splits the queue limit among the workspaces by weight, with at
// least 1 for each.
func (d *Dispatcher) limitQueues() {
	total := 0
	for _, w := range d.workspaces {
		total += w.weight
	}
	for _, w := range d.workspaces {
		w.queueLimit = max(d.settings.QueueLimit*w.weight/total, 1)
	}
}
