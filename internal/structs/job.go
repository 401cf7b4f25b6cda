package structs

import (
	"fmt"
	"time"
)

// JobKey identifies a job.
type JobKey struct {
	Workspace string
	ID        string
}

// String returns workspace/id.
func (k JobKey) String() string {
	return k.Workspace + "/" + k.ID
}

// JobSpec is what a caller submitted. It never changes.
type JobSpec struct {
	Key JobKey
	// Members all run at once or not at all.
	Members int
	// Accelerators of each member, all on one worker.
	Accelerators int
	Adjacency    Adjacency
	Class        Class
	// Preemptible work may be checkpointed, stopped and moved.
	Preemptible bool
	// DeclaredRun is a hint.
	DeclaredRun time.Duration
	Payload     []byte
	// Domain pins the job to a failure domain; empty leaves the choice to the
	// scheduler.
	Domain  string
	Service string
}

// Size returns the accelerators of the whole gang.
func (s JobSpec) Size() int {
	return s.Members * s.Accelerators
}

// JobState is a state of the gang's state machine.
type JobState string

// The job states. Succeeded, Failed, Cancelled and Unplaceable are final.
const (
	JobQueued      JobState = "queued"
	JobReserving   JobState = "reserving"
	JobRunning     JobState = "running"
	JobStopping    JobState = "stopping"
	JobSucceeded   JobState = "succeeded"
	JobFailed      JobState = "failed"
	JobCancelled   JobState = "cancelled"
	JobUnplaceable JobState = "unplaceable"
)

// Final reports whether the state is a job's last.
func (s JobState) Final() bool {
	switch s {
	case JobSucceeded, JobFailed, JobCancelled, JobUnplaceable:
		return true
	default:
		return false
	}
}

// Member is one member's place in an attempt.
type Member struct {
	Worker string
	Rack   string
	Lease  LeaseID
}

// Job is a job's row.
type Job struct {
	Spec  JobSpec
	State JobState
	// Domain is the failure domain whose owner decides on the job.
	Domain string
	// Tried names the failure domains in which the job can never run.
	Tried []string
	// Attempt counts reservations from 1; 0 means none yet.
	Attempt int64
	// Members are the places of the current attempt.
	Members []Member
	// Lent marks an attempt that runs beyond its workspace's guarantees.
	Lent bool
	// Next is the state that follows Stopping.
	Next   JobState
	Reason string
	// Checkpoint names the object to resume from.
	Checkpoint string
	// Failures counts attempts that ended by the job's own failure.
	Failures  int
	Submitted time.Time
	Started   time.Time
	Ended     time.Time
}

// MemberLease returns the lease ID of a member of an attempt.
func MemberLease(k JobKey, attempt int64, member int) LeaseID {
	return LeaseID(fmt.Sprintf("%s/%d/%d", k, attempt, member))
}
