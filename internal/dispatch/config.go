package dispatch

import (
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/breaker"
	"github.com/lentilwinch/lentilwinch/internal/learn"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

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
	for _, v := range d.servers {
		d.refresh(v)
	}
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
	v.reserve = reserveOf(v.slots, d.settings.ReservePercent)
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

// reserveOf rounds up and leaves at least one slot to long work.
func reserveOf(slots, percent int) int {
	reserve := (slots*percent + 99) / 100
	return max(min(reserve, slots-1), 0)
}

// SetShare names the entry instances that share the servers' slots. Long work
// takes an even part of the unreserved slots, and nominal slots are split
// evenly.
func (d *Dispatcher) SetShare(self string, peers []string) {
	n := 1
	for _, p := range peers {
		if p != self {
			n++
		}
	}
	d.instances = n
	d.share()
}

func (d *Dispatcher) share() {
	unreserved := 0
	for _, v := range d.servers {
		if !v.gone && !v.leaving {
			unreserved += v.slots - v.reserve
		}
	}
	d.longLimit = ceilDiv(unreserved, d.instances)
	if unreserved >= d.instances {
		d.longLimit = unreserved / d.instances
	}
	for _, w := range d.workspaces {
		w.nominal = ceilDiv(w.slots, d.instances)
	}
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
