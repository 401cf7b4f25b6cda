// Package scheduler decides, for one failure domain, which gangs start where,
// which lent capacity is reclaimed and which jobs can never run. It is pure:
// Decide maps a Snapshot to a Plan, and Verify checks one start again before
// it is applied.
package scheduler

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Snapshot is the state of one failure domain.
type Snapshot struct {
	Domain     string
	Workers    []Worker
	Gangs      []Gang
	Queued     []Pending
	Workspaces []structs.Workspace
	// BorrowedElsewhere counts, by workspace, the accelerators of lent gangs
	// in other failure domains. They count against the borrowing limit.
	BorrowedElsewhere map[string]int
}

// Worker is a worker of the failure domain.
type Worker struct {
	ID           string
	Rack         string
	Accelerators int
	// Usable is false for workers that are leaving, unreachable or
	// quarantined. Gangs that hold them go on.
	Usable bool
}

// Gang holds accelerators: it is reserving, running or stopping.
type Gang struct {
	Key         structs.JobKey
	Class       structs.Class
	Preemptible bool
	// Lent marks a gang that runs beyond its workspace's guarantees.
	Lent bool
	// Stopping gangs are about to free what they hold.
	Stopping bool
	// Stopped is the time since the stop was ordered, 0 when unknown. Asks
	// wait for the oldest stops first.
	Stopped      time.Duration
	Members      []Place
	Accelerators int
	Adjacency    structs.Adjacency
	// Ran is the time since the attempt started.
	Ran time.Duration
	// Expected is the run time expected when it started, or 0.
	Expected time.Duration
}

// Place is one member's worker.
type Place struct {
	Worker string
	Rack   string
}

// Pending is a job that waits.
type Pending struct {
	Spec structs.JobSpec
	// Waited is the time since the job last entered the queue: a gang that was
	// reclaimed starts from 0 again, behind the job it made room for.
	Waited time.Duration
	// Promised is the time since a verdict first said that the job is within a
	// guarantee (Verdict.Within), or 0. The earliest promise is served first.
	Promised time.Duration
	// Expected is the learned run time, or the declared one.
	Expected time.Duration
	// Avoid names workers on which the job failed.
	Avoid []string
}

// Plan is what Decide wants done, in this order: Reclaims, then Starts.
type Plan struct {
	Starts      []Start
	Reclaims    []Reclaim
	Unplaceable []Verdict
	// Waiting gives the reason of each job that stays queued.
	Waiting []Verdict
	// Unheld lists guarantees that the usable workers can't hold now.
	Unheld []Unheld
}

// Start puts a gang on workers; Places has one entry for each member.
type Start struct {
	Key    structs.JobKey
	Places []Place
	// Lent is false for a gang within its workspace's guarantees.
	Lent bool
}

// Reclaim asks that a preemptible gang is checkpointed and stopped.
type Reclaim struct {
	Key structs.JobKey
	// For is the job that needs the capacity.
	For structs.JobKey
}

// Verdict is a job with a reason.
type Verdict struct {
	Key    structs.JobKey
	Reason string
	// Within says that the job is within a guarantee and waits for gangs that
	// are stopping.
	Within bool
}

// Unheld is a guaranteed shape of which Missing gangs have no place.
type Unheld struct {
	Workspace string
	Guarantee structs.Guarantee
	Missing   int
}
