// Package structs holds the typed state that the scheduler's packages share.
// It has no behaviour beyond identity, ordering and copying.
package structs

import "time"

// Adjacency says how near to each other the members of a gang must run.
type Adjacency string

// The adjacency levels, nearest first.
const (
	// AdjacencyWorker puts all members on one worker.
	AdjacencyWorker Adjacency = "worker"
	// AdjacencyRack puts all members in one rack.
	AdjacencyRack Adjacency = "rack"
	// AdjacencyDomain puts all members in neighbouring racks of one failure
	// domain.
	AdjacencyDomain Adjacency = "domain"
)

// Class orders jobs and requests by urgency.
type Class string

// The classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBatch  Class = "batch"
)

// Rank returns 0 for the most urgent class and grows with lower urgency.
func (c Class) Rank() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassNormal:
		return 1
	default:
		return 2
	}
}

// Guarantee is a shape that a workspace can always reclaim in one failure
// domain: Gangs gangs of Members members with Accelerators accelerators each.
type Guarantee struct {
	Domain       string    `json:"domain"`
	Gangs        int       `json:"gangs"`
	Members      int       `json:"members"`
	Accelerators int       `json:"accelerators"`
	Adjacency    Adjacency `json:"adjacency"`
}

// Size returns the accelerators of the whole shape.
func (g Guarantee) Size() int {
	return g.Gangs * g.Members * g.Accelerators
}

// Workspace is a customer of the cluster.
type Workspace struct {
	Name string `json:"name"`
	// Guarantees are the shapes the workspace holds, one per failure domain
	// and kind.
	Guarantees []Guarantee `json:"guarantees"`
	// BorrowingLimit bounds the accelerators used beyond the guarantees.
	BorrowingLimit int `json:"borrowing_limit_accelerators"`
	// NominalSlots is the guaranteed number of backend server slots.
	NominalSlots int `json:"nominal_slots"`
	// Weight is the share of slots beyond the nominal ones.
	Weight int `json:"weight"`
}

// Service is a kind of request that backend servers answer.
type Service struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	// Class urgent marks short work that must not wait behind long work.
	Class Class `json:"class"`
	// Repeatable permits another attempt after one that may have run.
	Repeatable bool `json:"repeatable"`
	// DeadlineMillis is the deadline for requests that name none.
	DeadlineMillis int64 `json:"deadline_millis"`
	// DeclaredRunMillis is the declared run time, a hint.
	DeclaredRunMillis int64 `json:"declared_run_millis"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Deadline returns the service's own deadline.
func (s Service) Deadline() time.Duration {
	return time.Duration(s.DeadlineMillis) * time.Millisecond
}

// ServiceKey identifies a service.
type ServiceKey struct {
	Workspace string
	Name      string
}

// Key returns the service's identity.
func (s Service) Key() ServiceKey {
	return ServiceKey{Workspace: s.Workspace, Name: s.Name}
}

// Ticket is a numbered change with the whole new state of each object it
// touches.
type Ticket struct {
	Number     int64       `json:"number"`
	Author     string      `json:"author"`
	Comment    string      `json:"comment,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	// RemoveWorkspaces and RemoveServices name objects that end.
	RemoveWorkspaces []string    `json:"remove_workspaces,omitempty"`
	RemoveServices   []RemoveKey `json:"remove_services,omitempty"`
}

// RemoveKey names a service to remove.
type RemoveKey struct {
	Workspace string `json:"workspace"`
	Name      string `json:"name"`
}

// Config is the state after all tickets up to Number. It is immutable once
// published: a change makes a new Config.
type Config struct {
	Number     int64
	Workspaces map[string]Workspace
	Services   map[ServiceKey]Service
}
