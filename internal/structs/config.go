// Package structs defines the data types that the scheduler's packages share.
// Their methods only derive values from their fields.
package structs

import (
	"maps"
	"slices"
	"time"
)

// Adjacency is the placement constraint that bounds the distance between the
// members of a gang.
type Adjacency string

// The adjacency levels, strictest first.
const (
	// AdjacencyWorker puts all members on one worker.
	AdjacencyWorker Adjacency = "worker"
	// AdjacencyRack puts all members in one rack.
	AdjacencyRack Adjacency = "rack"
	// AdjacencyDomain puts all members in adjacent racks of one failure domain.
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

// Rank returns the class's sort order, 0 for the most urgent class.
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

// Guarantee is capacity in one failure domain that a workspace can always
// reclaim. Its shape is Gangs gangs of Members members with Accelerators
// accelerators each.
type Guarantee struct {
	Domain       string    `json:"domain"`
	Gangs        int       `json:"gangs"`
	Members      int       `json:"members"`
	Accelerators int       `json:"accelerators"`
	Adjacency    Adjacency `json:"adjacency"`
}

// Size returns the total number of accelerators in the guarantee.
func (g Guarantee) Size() int {
	return g.Gangs * g.Members * g.Accelerators
}

// Workspace is a customer of the cluster.
type Workspace struct {
	Name string `json:"name"`
	// Guarantees has at most one entry per failure domain, members,
	// accelerators and adjacency.
	Guarantees []Guarantee `json:"guarantees"`
	// BorrowingLimit is the maximum number of accelerators used beyond the
	// guarantees.
	BorrowingLimit int `json:"borrowing_limit_accelerators"`
	// NominalSlots is the guaranteed number of backend server slots.
	NominalSlots int `json:"nominal_slots"`
	// Weight is the workspace's relative share of the slots beyond the nominal
	// ones.
	Weight int `json:"weight"`
}

// Service is a kind of request that backend servers execute.
type Service struct {
	Name      string `json:"name"`
	Workspace string `json:"workspace"`
	// Class is urgent for short work that must not wait behind long work.
	Class Class `json:"class"`
	// Repeatable permits a retry after an attempt that may have run.
	Repeatable bool `json:"repeatable"`
	// DeadlineMillis is the default deadline, for requests that set none.
	DeadlineMillis int64 `json:"deadline_millis"`
	// DeclaredRunMillis is the declared run time. It is a scheduling hint only.
	DeclaredRunMillis int64 `json:"declared_run_millis"`
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
}

// Deadline returns the service's default deadline.
func (s Service) Deadline() time.Duration {
	return time.Duration(s.DeadlineMillis) * time.Millisecond
}

// ServiceKey identifies a service.
type ServiceKey struct {
	Workspace string
	Name      string
}

// Key returns the service's key.
func (s Service) Key() ServiceKey {
	return ServiceKey{Workspace: s.Workspace, Name: s.Name}
}

// Domain is the operators' state of a failure domain.
type Domain struct {
	Name string `json:"name"`
	// Evacuated keeps new gangs and requests off the failure domain's workers and
	// backend servers. Running gangs and requests in flight finish.
	Evacuated bool `json:"evacuated"`
}

// Ticket is a numbered configuration change. It holds the complete new state of
// each workspace, service and failure domain that it sets.
type Ticket struct {
	Number     int64       `json:"number"`
	Author     string      `json:"author"`
	Comment    string      `json:"comment,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Services   []Service   `json:"services,omitempty"`
	Domains    []Domain    `json:"domains,omitempty"`
	// RemoveWorkspaces and RemoveServices name the objects to remove.
	RemoveWorkspaces []string         `json:"remove_workspaces,omitempty"`
	RemoveServices   []RemovedService `json:"remove_services,omitempty"`
}

// RemovedService identifies a service to remove.
type RemovedService struct {
	Workspace string `json:"workspace"`
	Name      string `json:"name"`
}

// Config is the configuration after all tickets up to Number. It is immutable
// once published. A change creates a new Config.
type Config struct {
	Number     int64
	Workspaces map[string]Workspace
	Services   map[ServiceKey]Service
	// Evacuated has an entry for each evacuated failure domain, and no others.
	Evacuated map[string]bool
}

// EvacuatedDomains lists the evacuated failure domains in order of their names.
func (c *Config) EvacuatedDomains() []string {
	return slices.Sorted(maps.Keys(c.Evacuated))
}
