package platform

import (
	"net/http"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/standin/control"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Scope is a part of the platform to which faults apply.
type Scope string

// The scopes of faults.
const (
	ScopeTable     Scope = "table"
	ScopeObjects   Scope = "objects"
	ScopeInstances Scope = "instances"
	// ScopeInventory is the list of workers.
	ScopeInventory Scope = "inventory"
	// ScopeWorkers are the calls to the agents of the workers.
	ScopeWorkers Scope = "workers"
)

// FaultsDocument replaces the faults of a scope. The fault fields have the meaning
// of the fields of fake.Faults and fake.WorkerFaults; Refuse sets Down.
type FaultsDocument struct {
	Scope Scope `json:"scope"`
	// Workers are the IDs of the workers to change; empty means all. Unknown IDs
	// have no effect. It is valid for ScopeWorkers only.
	Workers     []string `json:"workers,omitempty"`
	Refuse      bool     `json:"refuse,omitempty"`
	DelayMillis int64    `json:"delay_ms,omitempty"`
	LoseReplies bool     `json:"lose_answers,omitempty"`
	Hang        bool     `json:"hang,omitempty"`
	// The fields below are valid for ScopeWorkers only.
	Freeze          bool    `json:"freeze,omitempty"`
	Crash           bool    `json:"crash,omitempty"`
	Leaving         bool    `json:"leaving,omitempty"`
	FailStarts      bool    `json:"fail_starts,omitempty"`
	UsageFactor     float64 `json:"usage_factor,omitempty"`
	CheckpointFails bool    `json:"checkpoint_fails,omitempty"`
	CheckpointHangs bool    `json:"checkpoint_hangs,omitempty"`
}

func (d FaultsDocument) faults() fake.Faults {
	return fake.Faults{
		Down:        d.Refuse,
		LoseReplies: d.LoseReplies,
		Hang:        d.Hang,
		Delay:       millis(d.DelayMillis),
	}
}

func (d FaultsDocument) workerFaults() fake.WorkerFaults {
	return fake.WorkerFaults{
		Faults:          d.faults(),
		Frozen:          d.Freeze,
		Crashed:         d.Crash,
		Leaving:         d.Leaving,
		FailStarts:      d.FailStarts,
		UsageFactor:     d.UsageFactor,
		CheckpointFails: d.CheckpointFails,
		CheckpointHangs: d.CheckpointHangs,
	}
}

// hasWorkerFields reports whether the document sets fields that are valid for
// ScopeWorkers only.
func (d FaultsDocument) hasWorkerFields() bool {
	f := d.workerFaults()
	f.Faults = fake.Faults{}
	return f != fake.WorkerFaults{} || len(d.Workers) > 0
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var d FaultsDocument
	if !control.ReadDocument(w, r, &d) {
		return
	}
	if err := p.applyFaults(d); err != nil {
		control.WriteError(w, err)
		return
	}
	control.WriteDocument(w, d)
}

func (p *Platform) applyFaults(d FaultsDocument) error {
	if d.Scope != ScopeWorkers && d.hasWorkerFields() {
		return fault.New(fault.Invalid, "worker faults require the scope workers")
	}
	switch d.Scope {
	case ScopeTable:
		p.table.SetFaults(d.faults())
	case ScopeObjects:
		p.objects.SetFaults(d.faults())
	case ScopeInstances:
		p.instances.SetFaults(d.faults())
	case ScopeInventory:
		p.workers.SetListFaults(d.faults())
	case ScopeWorkers:
		p.workers.SetFaults(d.workerFaults(), d.Workers...)
	default:
		return fault.New(fault.Invalid, "scope must be table, objects, instances, inventory or workers")
	}
	return nil
}

// InstanceDocument is an instance in a control request or the settings file.
type InstanceDocument struct {
	ID string `json:"id"`
	// Kind is entry or backend.
	Kind string `json:"kind"`
	// State is live, which is the default, or leaving.
	State    string   `json:"state,omitempty"`
	Domain   string   `json:"domain"`
	Address  string   `json:"address"`
	Slots    int      `json:"slots,omitempty"`
	Services []string `json:"services,omitempty"`
}

// Instance converts the document. It fails with fault.Invalid if the kind or the
// state is invalid.
func (d InstanceDocument) Instance() (structs.Instance, error) {
	out := structs.Instance{
		ID:       d.ID,
		State:    structs.StateLive,
		Domain:   d.Domain,
		Address:  d.Address,
		Slots:    d.Slots,
		Services: d.Services,
	}
	switch d.Kind {
	case "entry":
		out.Kind = structs.KindEntry
	case "backend":
		out.Kind = structs.KindBackend
	default:
		return out, fault.New(fault.Invalid, "kind must be entry or backend")
	}
	switch d.State {
	case "", "live":
	case "leaving":
		out.State = structs.StateLeaving
	default:
		return out, fault.New(fault.Invalid, "state must be live or leaving")
	}
	return out, nil
}

// InstancesDocument changes the instance list. List calls show the changes after
// the lag. Leaving and Remove contain instance IDs.
type InstancesDocument struct {
	Put     []InstanceDocument `json:"put,omitempty"`
	Leaving []string           `json:"leaving,omitempty"`
	Remove  []string           `json:"remove,omitempty"`
	// LagMillis replaces the lag if it is set, also for the changes in this
	// document.
	LagMillis *int64 `json:"lag_ms,omitempty"`
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	var d InstancesDocument
	if !control.ReadDocument(w, r, &d) {
		return
	}
	put := make([]structs.Instance, 0, len(d.Put))
	for _, in := range d.Put {
		instance, err := in.Instance()
		if err != nil {
			control.WriteError(w, err)
			return
		}
		put = append(put, instance)
	}
	p.instances.Put(put...)
	p.instances.MarkLeaving(d.Leaving...)
	p.instances.Remove(d.Remove...)
	if d.LagMillis != nil {
		p.instances.SetLag(millis(*d.LagMillis))
	}
	control.WriteDocument(w, d)
}
