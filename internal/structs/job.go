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

// JobSpec is a job as the caller submitted it. It is immutable.
type JobSpec struct {
	Key JobKey
	// Members is the number of members of the gang, which run all together or
	// not at all.
	Members int
	// Accelerators is the number per member, all on one worker.
	Accelerators int
	Adjacency    Adjacency
	Class        Class
	// Preemptible permits the scheduler to checkpoint, stop and move the job.
	Preemptible bool
	// DeclaredRun is the declared run time. It is a scheduling hint only.
	DeclaredRun time.Duration
	Payload     []byte
	// Domain pins the job to a failure domain. If it is empty, the scheduler
	// chooses one.
	Domain string
	// Service names the service from whose earlier jobs the run time is estimated.
	// If it is empty, the scheduler relies on DeclaredRun.
	Service string
}

// Size returns the total number of accelerators of the gang.
func (s JobSpec) Size() int {
	return s.Members * s.Accelerators
}

// JobState is a state of the job state machine.
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

// Final reports whether the state is terminal.
func (s JobState) Final() bool {
	switch s {
	case JobSucceeded, JobFailed, JobCancelled, JobUnplaceable:
		return true
	default:
		return false
	}
}

// Member is the placement of one gang member in an attempt.
type Member struct {
	Worker string
	Rack   string
	Lease  LeaseID
}

// Job is the stored record of a job.
type Job struct {
	Spec  JobSpec
	State JobState
	// Domain is the failure domain whose owner schedules the job.
	Domain string
	// InfeasibleDomains lists the failure domains in which the job can never run.
	InfeasibleDomains []string `cbor:"Tried"`
	// Attempt numbers the job's reservations from 1. It is 0 before the first.
	Attempt int64
	// Members are the placements of the current attempt. It is empty between
	// attempts and once the job is final.
	Members []Member
	// Borrowed marks an attempt that runs on borrowed capacity, beyond its
	// workspace's guarantees.
	Borrowed bool `cbor:"Lent"`
	// NextState is the state that follows JobStopping.
	NextState JobState `cbor:"Next"`
	// Reason explains why the last attempt was stopped or the job ended. The next
	// reservation clears it.
	Reason string
	// Checkpoint is the name of the object from which the job resumes.
	Checkpoint string
	// Failures counts the attempts that ended because the job itself failed.
	Failures  int
	Submitted time.Time
	// Started is the start of the last attempt that ran.
	Started time.Time
	// Ended is when the job became final, or zero before.
	Ended time.Time
}

// MemberLeaseID returns the lease ID of a member of an attempt.
func MemberLeaseID(k JobKey, attempt int64, member int) LeaseID {
	return LeaseID(fmt.Sprintf("%s/%d/%d", k, attempt, member))
}
