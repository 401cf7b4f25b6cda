package dispatch

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Stats is a snapshot of the dispatcher for the state dump.
type Stats struct {
	Queued     int              `json:"queued"`
	InFlight   int              `json:"in_flight"`
	Classes    []ClassStats     `json:"classes"`
	Workspaces []WorkspaceStats `json:"workspaces"`
	Services   []ServiceStats   `json:"services"`
	Servers    []ServerStats    `json:"servers"`
	// LongLimit is the number of slots that this instance's long work may
	// occupy.
	LongLimit   int     `json:"long_limit_slots"`
	RetryTokens float64 `json:"retry_tokens"`
	// The fields below count since the dispatcher was created. Refused counts
	// items that Enqueue rejected; RefusedFull and RefusedLeaving count refusals
	// by servers. Stragglers counts the short items that demoteStragglers demoted.
	Dispatched     int64 `json:"dispatched"`
	Retried        int64 `json:"retried"`
	Refused        int64 `json:"refused"`
	Expired        int64 `json:"expired"`
	Stragglers     int64 `json:"stragglers"`
	RefusedFull    int64 `json:"refused_slots_full"`
	RefusedLeaving int64 `json:"refused_leaving"`
}

// ClassStats describes the items of an effective class.
type ClassStats struct {
	Class    structs.Class `json:"class"`
	Queued   int           `json:"queued"`
	InFlight int           `json:"in_flight"`
}

// WorkspaceStats describes a workspace.
type WorkspaceStats struct {
	Name     string `json:"name"`
	Queued   int    `json:"queued"`
	InFlight int    `json:"in_flight"`
	// NominalShare is this instance's share of the nominal slots.
	NominalShare int `json:"nominal_here_slots"`
}

// ServiceStats describes a service's queue and estimated run times. Class is the
// effective class and High the 95th percentile. Until Learned is set, the
// estimates derive from the declared run time.
type ServiceStats struct {
	Workspace string        `json:"workspace"`
	Name      string        `json:"name"`
	Class     structs.Class `json:"class"`
	Queued    int           `json:"queued"`
	Median    time.Duration `json:"median_run_ns"`
	High      time.Duration `json:"p95_run_ns"`
	Learned   bool          `json:"learned"`
}

// ServerStats describes a backend server.
type ServerStats struct {
	ID    string `json:"id"`
	Slots int    `json:"slots"`
	// InFlight is the number of this instance's requests at the server; Long is
	// the number of long ones among them. Others is the number of the other
	// instances' requests, as last reported and since reduced by decayReport.
	InFlight int  `json:"in_flight"`
	Long     int  `json:"long"`
	Others   int  `json:"others"`
	Leaving  bool `json:"leaving"`
	// Evacuated is set while the server's failure domain is evacuated.
	Evacuated bool   `json:"evacuated"`
	Circuit   string `json:"circuit"`
}

var classes = [levelCount]structs.Class{
	structs.ClassUrgent,
	structs.ClassNormal,
	structs.ClassBatch,
}

// Stats returns a snapshot. It allocates, so don't call it on the dispatch
// path.
func (d *Dispatcher) Stats() Stats {
	s := d.counters
	s.Queued = d.queued
	s.LongLimit = d.longLimit
	s.RetryTokens = d.retryBudget.Tokens()
	for l := range d.levels {
		s.InFlight += d.levels[l].inFlight
		s.Classes = append(s.Classes, ClassStats{
			Class:    classes[l],
			Queued:   d.levels[l].queued,
			InFlight: d.levels[l].inFlight,
		})
	}
	for _, w := range d.workspaces {
		s.Workspaces = append(s.Workspaces, WorkspaceStats{
			Name:         w.name,
			Queued:       w.queuedItems(),
			InFlight:     w.inFlight,
			NominalShare: w.nominalShare,
		})
		for _, q := range w.services {
			s.Services = append(s.Services, q.stats())
		}
	}
	for _, v := range d.servers {
		s.Servers = append(s.Servers, v.stats(d.now))
	}
	return s
}

func (s *service) stats() ServiceStats {
	e := s.run.Estimate()
	queued := 0
	for l := range s.fifo {
		queued += s.fifo[l].len
	}
	return ServiceStats{
		Workspace: s.workspace.name,
		Name:      s.key.Name,
		Class:     classes[s.levelFor(s.class)],
		Queued:    queued,
		Median:    e.Median,
		High:      e.High,
		Learned:   e.Learned,
	}
}

func (s *server) stats(now time.Duration) ServerStats {
	return ServerStats{
		ID:        s.id,
		Slots:     s.slots,
		InFlight:  s.inFlight,
		Long:      s.longInFlight,
		Others:    s.others,
		Leaving:   s.leaving,
		Evacuated: s.evacuated,
		Circuit:   s.circuit.State(now).String(),
	}
}
