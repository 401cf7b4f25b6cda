package gangs

import (
	"cmp"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// State is a failure domain's runner in the state dump.
type State struct {
	Domain      string         `json:"domain"`
	Revision    int64          `json:"owner_revision"`
	Jobs        []JobSummary   `json:"jobs"`
	ByState     map[string]int `json:"jobs_by_state"`
	Leases      int            `json:"leases"`
	Quarantined []string       `json:"quarantined_workers"`
	// UnmetGuarantees lists the guaranteed shapes that don't fit on the usable workers.
	UnmetGuarantees []scheduler.UnmetGuarantee `json:"unheld_guarantees"`
	Events          int                        `json:"queued_events"`
}

// JobSummary is a job in the state dump.
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

// maxDumpedJobs bounds the jobs listed in a dump.
const maxDumpedJobs = 1000

// publish updates the values that Summary and State return.
func (d *Runner) publish() {
	state := d.buildState()
	workers := d.deps.Fleet.Domain(d.grant.Domain)
	free, largest := d.freeCapacity(workers)
	borrowed := d.borrowed()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = state
	d.summary.FreeAccelerators = free
	d.summary.LargestBlock = largest
	d.summary.Borrowed = borrowed
	d.summary.QueuedJobs = state.ByState[string(structs.JobQueued)]
}

func (d *Runner) buildState() State {
	s := State{
		Domain:          d.grant.Domain,
		Revision:        d.grant.Revision,
		Jobs:            []JobSummary{},
		ByState:         make(map[string]int),
		Leases:          len(d.byLease),
		Quarantined:     d.health.quarantined(d.deps.Fleet.Domain(d.grant.Domain)),
		UnmetGuarantees: d.unmet,
		Events:          d.events.Len(),
	}
	for k, e := range d.entries {
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
// with the most.
func (d *Runner) freeCapacity(workers []structs.Worker) (total, largest int) {
	used := make(map[string]int)
	for _, e := range d.entries {
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
func (d *Runner) borrowed() map[string]int {
	out := make(map[string]int)
	for _, e := range d.entries {
		if e.job.Borrowed && len(e.job.Members) > 0 {
			out[e.job.Spec.Key.Workspace] += e.job.Spec.Size()
		}
	}
	return out
}

// State returns the runner's state for a dump.
func (d *Runner) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state
}
