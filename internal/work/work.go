// Package work defines the jobs that a pool of workers runs, the workers and the
// configuration as plain data for the planner and its callers.
package work

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Resources is an amount of a worker's capacity.
type Resources struct {
	// CPU is in millicores.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// MemMB is memory in megabytes.
	MemMB int64 `cbor:"2,keyasint,omitempty"`
	// Accel is the number of accelerators.
	Accel int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.Accel + o.Accel}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.Accel - o.Accel}
}

// Max returns the larger amount of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPU, o.CPU), max(r.MemMB, o.MemMB), max(r.Accel, o.Accel)}
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemMB <= r.MemMB && need.Accel <= r.Accel
}

// coresPerAccelerator converts accelerators to cores in a task's weight. The
// platform's price list uses the same ratio.
const coresPerAccelerator = 8

// Cores returns the amount in cores, with accelerators converted to cores.
func (r Resources) Cores() float64 {
	return float64(r.CPU)/1000 + coresPerAccelerator*float64(r.Accel)
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is the submitter's estimate of a task's run time. It is only a
	// hint.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the earlier steps whose tasks must all have succeeded before this
	// step starts.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpointable tasks can continue from a saved checkpoint.
	Checkpointable bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks run all together or not at all.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack marks gangs that run several times slower when spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// RequiredLabel is a label that a worker must have.
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the step runs at full speed.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// LongLived tasks run until the job is cancelled and are restarted whatever
	// their result.
	LongLived bool `cbor:"11,keyasint,omitempty"`
	// MaxUnavailable limits how many of the step's long-lived tasks the scheduler
	// may have stopped at the same time; 0 means no limit.
	MaxUnavailable int `cbor:"12,keyasint,omitempty"`
	// TailLatencyTarget is the target for the tail latency of a serving task's
	// responses; 0 for tasks that don't serve.
	TailLatencyTarget time.Duration `cbor:"13,keyasint,omitempty"`
	// BestEffort marks best-effort tasks, which use the CPU that other tasks of the
	// worker leave idle. Need then contains no CPU; BestEffortCPU is the CPU that
	// they use if it is idle, in millicores.
	BestEffort    bool  `cbor:"14,keyasint,omitempty"`
	BestEffortCPU int64 `cbor:"15,keyasint,omitempty"`
	// Concurrent tasks may run as several duplicates, of which the first to
	// succeed counts. The scheduler runs only one.
	Concurrent bool `cbor:"16,keyasint,omitempty"`
	// Image names what the tasks run. Tasks of one image are expected to behave
	// alike.
	Image string `cbor:"17,keyasint,omitempty"`
}

// PrefersOneRack reports whether the step's tasks slow each other down when they run on
// more than one rack.
func (s *Step) PrefersOneRack() bool { return s.Gang && s.SameRack && s.Count > 1 }

// Schedule repeats a job's steps. Occurrences may overlap.
type Schedule struct {
	// Count is the number of occurrences; 0 for a job that runs once,
	// immediately.
	Count int `cbor:"1,keyasint,omitempty"`
	// First is the due time of occurrence 0, as the time since the Unix epoch.
	First time.Duration `cbor:"2,keyasint,omitempty"`
	// Every is the interval between occurrences.
	Every time.Duration `cbor:"3,keyasint,omitempty"`
}

// Due returns the due time of an occurrence, as the time since the Unix epoch.
func (s *Schedule) Due(occurrence int) time.Duration {
	return s.First + time.Duration(occurrence)*s.Every
}

// Submission is a job as a caller submits it.
type Submission struct {
	// Spec is the task specification, opaque to the scheduler.
	Spec     string
	Steps    []Step
	Schedule Schedule
}

// Job is an accepted submission with the attributes of its queue at that time.
type Job struct {
	ID        string `cbor:"1,keyasint"`
	Pool      string `cbor:"2,keyasint"`
	Queue     string `cbor:"3,keyasint"`
	Workspace string `cbor:"4,keyasint,omitempty"`
	// Priority 0 is the highest. Jobs of priority 0 may preempt those of lower
	// priority.
	Priority int `cbor:"5,keyasint,omitempty"`
	// MaxAttempts is the number of failed attempts of a task or gang after which
	// the job fails; 0 means no limit. It doesn't apply to long-lived tasks.
	MaxAttempts int `cbor:"6,keyasint,omitempty"`
	// The latency objective is the critical path of the job multiplied by
	// Stretch, plus Target.
	Stretch float64       `cbor:"7,keyasint,omitempty"`
	Target  time.Duration `cbor:"8,keyasint,omitempty"`
	Spec    string        `cbor:"9,keyasint,omitempty"`
	Steps   []Step        `cbor:"10,keyasint"`
	// SubmittedAt is the time of the job's acceptance on the store's monotonic
	// clock.
	SubmittedAt time.Duration `cbor:"11,keyasint,omitempty"`
	Schedule    Schedule      `cbor:"12,keyasint,omitempty"`
	// PolicyControlled jobs run only on workers that the queue's placement policy
	// allows; each start carries a ticket of the policy service.
	PolicyControlled bool `cbor:"13,keyasint,omitempty"`
}

// Limits of a job. They bound the memory and time that one job costs the owner of its
// pool, and keep sums over its tasks far from overflowing.
const (
	// maxProblems is the number of problems from which a job's steps aren't checked
	// further. A job may have thousands of steps, each with several problems.
	maxProblems = 200
	// MaxTasks limits the tasks of all occurrences of a job.
	MaxTasks = 20000
	// MaxAmount limits each resource that a task needs, in the unit of Resources.
	MaxAmount = 1 << 32
	// MaxDuration limits each time in a job that isn't a date.
	MaxDuration = 365 * 24 * time.Hour
	// MaxDue limits the due time of each occurrence, as the time since the Unix epoch.
	MaxDue = 200 * MaxDuration
)

// Tasks returns the number of tasks of all occurrences. It reports false if there are
// more than MaxTasks.
func (j *Job) Tasks() (int, bool) {
	tasks, occurrences := 0, j.Occurrences()
	for i := range j.Steps {
		// Compared before it is added, so that the sum can't overflow.
		count := max(j.Steps[i].Count, 0)
		if count > MaxTasks/occurrences-tasks {
			return 0, false
		}
		tasks += count
	}
	return tasks * occurrences, true
}

// Plannable reports whether a job can be planned within bounded time and memory. Every
// job without problems can.
func (j *Job) Plannable() bool {
	for i := range j.Steps {
		if slices.ContainsFunc(j.Steps[i].After, func(dep int) bool { return !earlier(dep, i) }) {
			return false
		}
	}
	_, ok := j.Tasks()
	return ok
}

// earlier reports whether dep is a step before step.
func earlier(dep, step int) bool { return dep >= 0 && dep < step }

// Check returns the problems of a job that no pool can run, none if there are none. It
// leaves out the problems of further steps once there are maxProblems.
func (j *Job) Check() []fault.Problem {
	var problems []fault.Problem
	add := func(path string, value any, allowed string) {
		problems = append(problems, fault.Problem{Path: path, Value: fmt.Sprint(value), Allowed: allowed})
	}
	duration := func(path string, d time.Duration) {
		if d < 0 || d > MaxDuration {
			add(path, d, fmt.Sprintf("0 to %v", MaxDuration))
		}
	}
	if len(j.Steps) == 0 {
		add("steps", "none", "at least one")
	}
	for i := range j.Steps {
		if len(problems) >= maxProblems {
			break
		}
		s := &j.Steps[i]
		path := fmt.Sprintf("steps[%d]", i)
		if s.Count < 1 {
			add(path+".count", s.Count, "at least 1")
		}
		largest := Resources{MaxAmount, MaxAmount, MaxAmount}
		if s.Need.CPU < 0 || s.Need.MemMB < 0 || s.Need.Accel < 0 || !largest.Fits(s.Need) {
			add(path+".need", s.Need, fmt.Sprintf("amounts from 0 to %d", int64(MaxAmount)))
		}
		for _, n := range []struct {
			name  string
			value int64
		}{{"best_effort_cpu", s.BestEffortCPU}, {"max_per_worker", int64(s.MaxPerWorker)}, {"max_unavailable", int64(s.MaxUnavailable)}} {
			if n.value < 0 || n.value > MaxAmount {
				add(path+"."+n.name, n.value, fmt.Sprintf("0 to %d", int64(MaxAmount)))
			}
		}
		duration(path+".estimate", s.Estimate)
		duration(path+".tail_latency_target", s.TailLatencyTarget)
		for _, dep := range s.After {
			if !earlier(dep, i) {
				add(path+".after", dep, "an earlier step")
			}
		}
	}
	schedule := &j.Schedule
	if schedule.Count < 0 {
		add("schedule.count", schedule.Count, "no negative value")
	}
	duration("schedule.every", schedule.Every)
	// Written as a division, which can't overflow.
	if schedule.First < 0 || schedule.First > MaxDue || schedule.Every > 0 && time.Duration(max(schedule.Count-1, 0)) > (MaxDue-schedule.First)/schedule.Every {
		add("schedule", fmt.Sprintf("%d times from %v, every %v", schedule.Count, schedule.First, schedule.Every), fmt.Sprintf("from 1970 to %v later", MaxDue))
	}
	if _, ok := j.Tasks(); !ok {
		add("steps", fmt.Sprintf("%d times", j.Occurrences()), fmt.Sprintf("up to %d tasks in all", MaxTasks))
	}
	return problems
}

// Occurrences returns how many times the job's steps run, at least 1.
func (j *Job) Occurrences() int { return max(j.Schedule.Count, 1) }

// Weight returns the estimated work of the step in core-seconds.
func (s *Step) Weight() float64 {
	return float64(s.Count) * s.Need.Cores() * s.Estimate.Seconds()
}

// Weight returns the estimated work of the job in core-seconds.
func (j *Job) Weight() float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += j.Steps[i].Weight()
	}
	return sum
}

// CriticalPaths returns, for each step, the estimated duration of the longest chain of
// dependent steps that starts with it, at most MaxDuration. Its time is linear in the
// number of steps and dependencies.
func (j *Job) CriticalPaths() []time.Duration {
	paths := make([]time.Duration, len(j.Steps)) // of a step's dependents, until the step is reached
	for i := len(j.Steps) - 1; i >= 0; i-- {
		paths[i] = min(paths[i]+j.Steps[i].Estimate, MaxDuration)
		for _, dep := range j.Steps[i].After {
			paths[dep] = max(paths[dep], paths[i])
		}
	}
	return paths
}

// Objective returns the job's latency objective, counted from its acceptance, at most
// MaxDuration. criticalPaths are those of CriticalPaths.
func (j *Job) Objective(criticalPaths []time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, path := range criticalPaths {
		longest = max(longest, path)
	}
	return time.Duration(math.Min(j.Stretch*float64(longest)+float64(j.Target), float64(MaxDuration)))
}

// State is the state of a job as reported to its caller.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Ended reports whether the state is final.
func (s State) Ended() bool { return s == Completed || s == Failed || s == Cancelled }

// StepProgress is the stored progress of a step's tasks.
type StepProgress struct {
	// Done lists the tasks that have succeeded.
	Done []int `cbor:"1,keyasint,omitempty"`
	// Failures maps a task to the numbers of its failed runs; a gang uses task 0.
	// The numbers keep a result that a worker reports again to a new owner from
	// being counted twice.
	Failures map[int][]int64 `cbor:"2,keyasint,omitempty"`
	// Checkpoints maps a task to its last checkpoint; a gang uses task 0.
	Checkpoints map[int]string `cbor:"3,keyasint,omitempty"`
	// Placed maps a task to the workers of its current attempt; a gang uses task
	// 0. It is stored before the attempt's starts are sent.
	Placed map[int][]string `cbor:"4,keyasint,omitempty"`
	// Doubted lists the tasks of Placed whose leases may exceed what the owner asked for, as
	// the worker may have restarted before it carried out the start; a gang uses task 0.
	// It is complete if Record.LeasesKnown is set.
	Doubted []int `cbor:"5,keyasint,omitempty"`
}

// Record is the row of a job in the store.
type Record struct {
	Job   Job   `cbor:"1,keyasint"`
	State State `cbor:"2,keyasint"`
	// Steps holds the progress of all steps of occurrence 0, then of occurrence 1
	// and so on.
	Steps []StepProgress `cbor:"3,keyasint,omitempty"`
	// EndedAt is the time at which the job reached a final state, on the store's
	// monotonic clock.
	EndedAt time.Duration `cbor:"4,keyasint,omitempty"`
	// Sequence orders the records that owners write for one job. The upper half
	// is the owner's epoch, the lower half a counter; 0 is the record of the
	// submission.
	Sequence int64 `cbor:"5,keyasint,omitempty"`
	// LeasesKnown is set if StepProgress.Doubted tells all leases that are in doubt. It
	// isn't in records of earlier builds.
	LeasesKnown bool `cbor:"6,keyasint,omitempty"`
}

// Confirmed reports whether the leases of a placed task are known not to exceed what the
// owner asked for. step is an index into Steps.
func (r *Record) Confirmed(step, task int) bool {
	return r.LeasesKnown && !slices.Contains(r.Steps[step].Doubted, task)
}

// Epoch returns the epoch of the owner that wrote the record, 0 for that of the
// submission.
func (r *Record) Epoch() int64 { return r.Sequence >> 32 }

// Supersedes reports whether r supersedes o, a record of the same job. A record
// in a final state supersedes one that isn't; otherwise the higher Sequence does.
func (r *Record) Supersedes(o *Record) bool {
	if r.State.Ended() != o.State.Ended() {
		return r.State.Ended()
	}
	return r.Sequence > o.Sequence
}

// TaskID identifies a task by its occurrence of the job, its step and its index in
// the step.
type TaskID struct {
	Job         string
	Occurrence  int
	Step, Index int
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job              string
	Occurrence, Step int
}

// Worker is a worker's entry in the registry.
type Worker struct {
	ID       string
	Pool     string
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Capacity Resources
	Draining bool
	// ColdFor is for how long the worker stays slow after a restart, as of its last
	// registry entry.
	ColdFor time.Duration
	// EntryVersion is the store's version that wrote this entry, 0 if it isn't known.
	EntryVersion int64
	// Incarnation identifies the worker's incarnation that wrote this entry, as the worker
	// states it in its answers; 0 if the entry doesn't tell. Another one may differ from it in
	// everything but the ID.
	Incarnation int64
}

// HasLabel reports whether the worker has the label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Queue is an endpoint for submissions, selected by host and path prefix.
type Queue struct {
	// Name identifies the queue across configurations.
	Name   string
	Host   string
	Prefix string
	Pool   string
	// Priority, MaxAttempts, Stretch and Target apply to the queue's jobs; see Job.
	Priority    int
	MaxAttempts int
	Stretch     float64
	Target      time.Duration
	// AllowAnonymous permits submissions without an API key.
	AllowAnonymous bool
	// PolicyControlled queues have a placement policy that allows only some
	// workers to run a step.
	PolicyControlled bool
}

// Workspace is a customer with its API keys and its guaranteed accelerators.
type Workspace struct {
	Name                   string
	Keys                   []string
	GuaranteedAccelerators int64
}

// Config is a complete configuration.
type Config struct {
	Version    int64
	Queues     []Queue
	Workspaces []Workspace
	Pools      []string
	// MaxBodyBytes limits the size of a submission; 0 means no limit.
	MaxBodyBytes int64
}
