package gangs

import (
	"cmp"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// State describes a failure domain's runner in the state dump.
type State struct {
	Domain string `json:"domain"`
	// Evacuated is set while nothing may start in the failure domain.
	Evacuated bool `json:"evacuated"`
	// Revision is the revision of the owner row under the runner's grant.
	Revision int64          `json:"owner_revision"`
	Jobs     []JobSummary   `json:"jobs"`
	ByState  map[string]int `json:"jobs_by_state"`
	// Leases is the number of leases of the jobs' members.
	Leases      int      `json:"leases"`
	Quarantined []string `json:"quarantined_workers"`
	// UnmetGuarantees lists the guarantees that the usable workers can't meet.
	UnmetGuarantees []scheduler.UnmetGuarantee `json:"unheld_guarantees"`
	// Events is the number of buffered events.
	Events int `json:"queued_events"`
}

// JobSummary describes a job in the state dump.
type JobSummary struct {
	Job       string           `json:"job"`
	State     structs.JobState `json:"state"`
	Attempt   int64            `json:"attempt"`
	Members   int              `json:"members"`
	Borrowed  bool             `json:"lent"`
	Busy      bool             `json:"operation_in_progress"`
	Cancelled bool             `json:"cancelled"`
	Reason    string           `json:"reason,omitempty"`
}

// maxDumpedJobs bounds the jobs of a failure domain that a dump lists.
const maxDumpedJobs = 1000

// publish updates the values that Summary and State return.
func (r *Runner) publish() {
	state := r.buildState()
	workers := r.deps.Fleet.Domain(r.grant.Domain)
	free, largest := r.freeCapacity(workers)
	borrowed := r.borrowed()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
	r.summary.FreeAccelerators = free
	r.summary.LargestBlock = largest
	r.summary.Borrowed = borrowed
	r.summary.QueuedJobs = state.ByState[string(structs.JobQueued)]
}

func (r *Runner) buildState() State {
	s := State{
		Domain:          r.grant.Domain,
		Evacuated:       r.evacuated(),
		Revision:        r.grant.Revision,
		Jobs:            []JobSummary{},
		ByState:         make(map[string]int),
		Leases:          len(r.byLease),
		Quarantined:     r.health.quarantined(r.deps.Fleet.Domain(r.grant.Domain)),
		UnmetGuarantees: r.unmet,
		Events:          r.events.Len(),
	}
	for k, e := range r.entries {
		s.ByState[string(e.job.State)]++
		if len(s.Jobs) < maxDumpedJobs {
			s.Jobs = append(s.Jobs, summarize(k, e))
		}
	}
	slices.SortFunc(s.Jobs, func(a, b JobSummary) int { return cmp.Compare(a.Job, b.Job) })
	return s
}

func summarize(k structs.JobKey, e *entry) JobSummary {
	reason := e.job.Reason
	if e.waitReason != "" {
		reason = e.waitReason
	}
	return JobSummary{
		Job:       k.String(),
		State:     e.job.State,
		Attempt:   e.job.Attempt,
		Members:   len(e.job.Members),
		Borrowed:  e.job.Borrowed,
		Busy:      e.busy,
		Cancelled: e.cancelled,
		Reason:    reason,
	}
}

// freeCapacity returns the number of free accelerators, in total and in the rack
// with the most: none if the failure domain is evacuated, so that other owners
// move no jobs here. It counts workers that get no new work too.
func (r *Runner) freeCapacity(workers []structs.Worker) (total, largest int) {
	if r.evacuated() {
		return 0, 0
	}
	used := make(map[string]int)
	for _, e := range r.entries {
		for _, m := range e.job.Members {
			used[m.Worker] += e.job.Spec.Accelerators
		}
	}
	racks := make(map[string]int)
	for _, w := range workers {
		n := max(w.Accelerators-used[w.ID], 0)
		total += n
		racks[w.Rack] += n
		largest = max(largest, racks[w.Rack])
	}
	return total, largest
}

// borrowed sums the accelerators of borrowing gangs by workspace.
func (r *Runner) borrowed() map[string]int {
	byWorkspace := make(map[string]int)
	for _, e := range r.entries {
		if e.job.Borrowed && len(e.job.Members) > 0 {
			byWorkspace[e.job.Spec.Key.Workspace] += e.job.Spec.Size()
		}
	}
	return byWorkspace
}

// State returns the runner's state for a dump.
func (r *Runner) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}
