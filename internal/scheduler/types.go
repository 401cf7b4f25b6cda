// Package scheduler decides, for one failure domain, which gangs start where,
// which borrowed capacity is reclaimed and which jobs can never run. Decide and
// Verify are pure functions: Decide maps a Snapshot to a Plan, and Verify checks a
// start against a newer Snapshot before it is applied.
package scheduler

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Snapshot is the state of one failure domain that a decision is based on.
type Snapshot struct {
	Domain string
	// Evacuated is set while nothing may start in the failure domain.
	Evacuated  bool
	Workers    []Worker
	Gangs      []Gang
	Queued     []Pending
	Workspaces []structs.Workspace
	// BorrowedElsewhere counts, by workspace, the accelerators of borrowing gangs
	// in other failure domains. They count against the borrowing limit.
	BorrowedElsewhere map[string]int
}

// Worker is a worker of the failure domain. Accelerators counts all that it has,
// in use or not.
type Worker struct {
	ID           string
	Rack         string
	Accelerators int
	// Usable is false for workers that are leaving, unreachable or quarantined.
	// Gangs on them keep running.
	Usable bool
}

// Gang is a gang that holds accelerators: it is reserving, running or stopping.
// Accelerators is the number per member.
type Gang struct {
	Key         structs.JobKey
	Class       structs.Class
	Preemptible bool
	// Borrowed marks a gang that borrows: it runs beyond its workspace's guarantees.
	Borrowed bool
	// Stopping marks a gang that was ordered to stop and frees its accelerators
	// soon.
	Stopping bool
	// StoppingFor is the time since the stop was ordered, or 0 if unknown. Jobs
	// within a guarantee prefer the accelerators of gangs that were ordered to stop
	// first.
	StoppingFor  time.Duration
	Members      []Place
	Accelerators int
	Adjacency    structs.Adjacency
	// Elapsed is the time since the attempt started, or 0 if it hasn't started.
	Elapsed time.Duration
	// ExpectedRun is the run time expected at the start, or 0 if unknown.
	ExpectedRun time.Duration
}

// Place is the worker of one member.
type Place struct {
	Worker string
	Rack   string
}

// Pending is a queued job.
type Pending struct {
	Spec structs.JobSpec
	// QueuedFor is the time since the job last entered the queue. It starts from 0
	// again for a reclaimed gang, so that it queues behind the job that it was
	// stopped for.
	QueuedFor time.Duration
	// GuaranteedFor is the time since Verdict.WaitsForReclaim was first set for the
	// queued job, or 0. Among the jobs within a guarantee, those with the longest
	// such time are placed first.
	GuaranteedFor time.Duration
	// ExpectedRun is the learned or the declared run time, or 0 if unknown.
	ExpectedRun time.Duration
	// AvoidWorkers lists workers on which the job failed. A job that borrows never
	// starts on them. One within a guarantee prefers other free workers.
	AvoidWorkers []string
}

// Plan is the result of Decide. Reclaims are applied before Starts. Unplaceable
// has the reason for each job that can never run.
type Plan struct {
	Starts      []Start
	Reclaims    []Reclaim
	Unplaceable []Verdict
	// Waiting has the reason for each job that stays queued.
	Waiting []Verdict
	// UnmetGuarantees lists the guarantees that the usable workers can't meet now.
	UnmetGuarantees []UnmetGuarantee
}

// Start starts a gang. Places has one entry for each member.
type Start struct {
	Key    structs.JobKey
	Places []Place
	// Borrowed marks a gang that borrows; it is false within the guarantees.
	Borrowed bool
}

// Reclaim checkpoints and stops a preemptible gang.
type Reclaim struct {
	Key structs.JobKey
	// For is the job that needs the capacity.
	For structs.JobKey
}

// Verdict is the reason why a job waits or can never run.
type Verdict struct {
	Key    structs.JobKey
	Reason string
	// WaitsForReclaim is set for a job within a guarantee that waits for stopping
	// gangs.
	WaitsForReclaim bool
}

// UnmetGuarantee describes a guarantee that can't be met in full: Missing counts
// its unused gangs without a place.
type UnmetGuarantee struct {
	Workspace string
	Guarantee structs.Guarantee
	Missing   int
}
