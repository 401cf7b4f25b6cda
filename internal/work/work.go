// Package work holds the jobs that a pool of workers runs, the workers, and the
// configuration in force, as plain data shared by the decisions and the duties.
package work

import "time"

// Resources is an amount of a worker's room.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int64 `cbor:"1,keyasint,omitempty"`
	// MemMB is memory in megabytes.
	MemMB int64 `cbor:"2,keyasint,omitempty"`
	// Accel counts accelerators.
	Accel int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.Accel + o.Accel}
}

// Sub returns r less o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.Accel - o.Accel}
}

// Fits reports whether r has room for need.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemMB <= r.MemMB && need.Accel <= r.Accel
}

// coresPerAccelerator is how many cores an accelerator counts for in a task's
// weight; the platform's price list uses the same figure.
const coresPerAccelerator = 8

// Cores returns the amount in cores, accelerators included.
func (r Resources) Cores() float64 {
	return float64(r.CPU)/1000 + coresPerAccelerator*float64(r.Accel)
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is the submitter's guess of a task's run time; it is a hint.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps whose tasks must all have succeeded first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpointable tasks can continue from a saved checkpoint.
	Checkpointable bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks run all together or not at all.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack gangs run several times slower when spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// RequiredLabel is a label that the worker must carry.
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the step runs at full speed.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker caps the step's tasks on one worker; 0 means no cap.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// LongLived tasks run until the job is cancelled and are started again
	// however they end.
	LongLived bool `cbor:"11,keyasint,omitempty"`
	// MayMiss is how many of the step's long-lived tasks may be away at once
	// because of the scheduler's orders; 0 means that there is no such limit.
	MayMiss int `cbor:"12,keyasint,omitempty"`
	// TailTarget is the tail of a serving task's response times that its users
	// expect; 0 for tasks that don't serve.
	TailTarget time.Duration `cbor:"13,keyasint,omitempty"`
	// Fills marks tasks that use what others leave of a worker's processor; Need
	// holds no processor then, FillerCPU what they would use, in thousandths.
	Fills     bool  `cbor:"14,keyasint,omitempty"`
	FillerCPU int64 `cbor:"15,keyasint,omitempty"`
	// Concurrent tasks may run in several copies, of which the first to succeed
	// counts. One copy is run.
	Concurrent bool `cbor:"16,keyasint,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `cbor:"17,keyasint,omitempty"`
}

// Schedule makes a job's steps run several times. Occurrences may overlap.
type Schedule struct {
	// Count is the number of occurrences; 0 for a job that runs once, at once.
	Count int `cbor:"1,keyasint,omitempty"`
	// First is when occurrence 0 is due, in wall-clock time since 1970.
	First time.Duration `cbor:"2,keyasint,omitempty"`
	// Every is the time between two occurrences.
	Every time.Duration `cbor:"3,keyasint,omitempty"`
}

// Due returns when an occurrence is due, in wall-clock time since 1970.
func (s *Schedule) Due(occurrence int) time.Duration {
	return s.First + time.Duration(occurrence)*s.Every
}

// Submission is what a caller hands in.
type Submission struct {
	// Spec is the task specification, which the product doesn't read.
	Spec     string
	Steps    []Step
	Schedule Schedule
}

// Job is what a caller submitted, with the attributes of its queue at that time.
type Job struct {
	ID        string `cbor:"1,keyasint"`
	Pool      string `cbor:"2,keyasint"`
	Queue     string `cbor:"3,keyasint"`
	Workspace string `cbor:"4,keyasint,omitempty"`
	// Priority 0 comes first and may preempt the others.
	Priority    int `cbor:"5,keyasint,omitempty"`
	MaxAttempts int `cbor:"6,keyasint,omitempty"`
	// Stretch times the job's longest chain of work, plus Target, is its
	// latency objective.
	Stretch float64       `cbor:"7,keyasint,omitempty"`
	Target  time.Duration `cbor:"8,keyasint,omitempty"`
	Spec    string        `cbor:"9,keyasint,omitempty"`
	Steps   []Step        `cbor:"10,keyasint"`
	// SubmittedAt is when the job was accepted, on the store's steady clock.
	SubmittedAt time.Duration `cbor:"11,keyasint,omitempty"`
	Schedule    Schedule      `cbor:"12,keyasint,omitempty"`
	// Advised jobs run only where the queue's policy allows; each start carries
	// a ticket of the policy service.
	Advised bool `cbor:"13,keyasint,omitempty"`
}

// Occurrences returns how often the job's steps run, at least once.
func (j *Job) Occurrences() int { return max(j.Schedule.Count, 1) }

// Weight returns the estimated work of a step in core-seconds.
func (s *Step) Weight() float64 {
	return float64(s.Count) * s.Need.Cores() * s.Estimate.Seconds()
}

// Weight returns the job's estimated work in core-seconds.
func (j *Job) Weight() float64 {
	sum := 0.0
	for i := range j.Steps {
		sum += j.Steps[i].Weight()
	}
	return sum
}

// Chain returns the estimated time of the longest chain of dependent steps
// that begins with step from.
func (j *Job) Chain(from int) time.Duration {
	longest := time.Duration(0)
	for i := from + 1; i < len(j.Steps); i++ {
		for _, dep := range j.Steps[i].After {
			if dep == from {
				longest = max(longest, j.Chain(i))
			}
		}
	}
	return j.Steps[from].Estimate + longest
}

// Objective returns the time within which the job counts as on time.
func (j *Job) Objective() time.Duration {
	longest := time.Duration(0)
	for i := range j.Steps {
		longest = max(longest, j.Chain(i))
	}
	return time.Duration(j.Stretch*float64(longest)) + j.Target
}

// State is a job's state as its caller sees it.
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

// StepProgress is what is stored about a step's tasks.
type StepProgress struct {
	// Done lists the tasks that succeeded.
	Done []int `cbor:"1,keyasint,omitempty"`
	// Failures holds the numbers of the failed runs by task; a gang's are under
	// task 0. An end that is listed again to a new owner isn't counted twice.
	Failures map[int][]int64 `cbor:"2,keyasint,omitempty"`
	// Checkpoints holds the last checkpoint by task; a gang's is under task 0.
	Checkpoints map[int]string `cbor:"3,keyasint,omitempty"`
	// Placed names the workers of the present attempt by task; a gang's are
	// under task 0. It is stored before the attempt's starts are sent.
	Placed map[int][]string `cbor:"4,keyasint,omitempty"`
}

// Record is a job's row in the store.
type Record struct {
	Job   Job   `cbor:"1,keyasint"`
	State State `cbor:"2,keyasint"`
	// Steps holds the progress of all steps of occurrence 0, then of 1 and so on.
	Steps []StepProgress `cbor:"3,keyasint,omitempty"`
	// EndedAt is when the job ended, on the store's steady clock.
	EndedAt time.Duration `cbor:"4,keyasint,omitempty"`
	// Sequence orders the records that owners wrote of one job: the owner's
	// epoch in the upper half, a count in the lower. 0 is the submission's.
	Sequence int64 `cbor:"5,keyasint,omitempty"`
}

// Newer reports whether r says more than o about the same job: a final state
// goes before any other.
func (r *Record) Newer(o *Record) bool {
	if r.State.Ended() != o.State.Ended() {
		return r.State.Ended()
	}
	return r.Sequence > o.Sequence
}

// TaskID names a task.
type TaskID struct {
	Job         string
	Occurrence  int
	Step, Index int
}

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job              string
	Occurrence, Step int
}

// Worker is a worker as the registry describes it.
type Worker struct {
	ID       string
	Pool     string
	Address  string
	Zone     string
	Rack     string
	Labels   []string
	Room     Resources
	Draining bool
}

// HasLabel reports whether the worker carries the label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Queue is a route by which jobs arrive.
type Queue struct {
	// Name identifies the queue across configurations.
	Name        string
	Host        string
	Prefix      string
	Pool        string
	Priority    int
	MaxAttempts int
	Stretch     float64
	Target      time.Duration
	Anonymous   bool
	// Advised queues have a policy that allows only some workers to run a step.
	Advised bool
}

// Workspace is a team with its keys and its guaranteed accelerators.
type Workspace struct {
	Name       string
	Keys       []string
	Guaranteed int64
}

// Config is a whole configuration.
type Config struct {
	Version    int64
	Queues     []Queue
	Workspaces []Workspace
	Pools      []string
	// MaxBodyBytes bounds a submission; 0 means no bound.
	MaxBodyBytes int64
}
