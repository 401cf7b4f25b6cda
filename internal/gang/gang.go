// Package gang implements the state machine of a job's gang as pure functions.
// Each transition returns the job in its next state, or the unchanged job and a
// TransitionError.
//
//	Queued -> Reserving -> Running -> Stopping -> Queued | a final state
//	             \____________________/
//
// A queued job may also go to a final state directly. Member leases are acquired
// in Reserving and tasks run in Running. A job leaves Stopping only after every
// lease of the attempt was released or has expired, so that two attempts never
// overlap.
package gang

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// TransitionError reports a transition that the job's state doesn't permit, or
// one to a state that must be final and isn't.
type TransitionError struct {
	Key  structs.JobKey
	From structs.JobState
	To   structs.JobState
}

// Error implements error.
func (e *TransitionError) Error() string {
	return "conflict: job " + e.Key.String() + " can't go from " + string(e.From) + " to " + string(e.To)
}

// FaultCode returns fault.Conflict.
func (e *TransitionError) FaultCode() fault.Code {
	return fault.Conflict
}

// NewJob returns a new job in the state Queued.
func NewJob(spec structs.JobSpec, domain string, now time.Time) structs.Job {
	return structs.Job{Spec: spec, State: structs.JobQueued, Domain: domain, Submitted: now}
}

// Reserve begins the next attempt on the workers that the scheduler chose.
func Reserve(j structs.Job, start scheduler.Start) (structs.Job, error) {
	if j.State != structs.JobQueued {
		return j, transitionError(j, structs.JobReserving)
	}
	j.State = structs.JobReserving
	j.Attempt++
	j.Borrowed = start.Borrowed
	j.Reason = ""
	j.Members = members(j, start.Places)
	return j, nil
}

func members(j structs.Job, places []scheduler.Place) []structs.Member {
	out := make([]structs.Member, len(places))
	for i, p := range places {
		out[i] = structs.Member{
			Worker: p.Worker,
			Rack:   p.Rack,
			Lease:  structs.MemberLeaseID(j.Spec.Key, j.Attempt, i),
		}
	}
	return out
}

// Run marks a reserving job as running. Every member's lease must be granted.
func Run(j structs.Job, now time.Time) (structs.Job, error) {
	if j.State != structs.JobReserving {
		return j, transitionError(j, structs.JobRunning)
	}
	j.State = structs.JobRunning
	j.Started = now
	return j, nil
}

// Stop moves a reserving or running job to Stopping. CompleteStop later moves it
// to next, after its leases were released or have expired. For a job that is
// stopping already, next replaces the earlier choice only if next is final and
// that choice isn't, so that a cancellation takes precedence over a restart.
// Otherwise Stop fails.
func Stop(j structs.Job, next structs.JobState, reason string) (structs.Job, error) {
	switch j.State {
	case structs.JobReserving, structs.JobRunning:
	case structs.JobStopping:
		if j.NextState.Final() || !next.Final() {
			return j, transitionError(j, structs.JobStopping)
		}
	default:
		return j, transitionError(j, structs.JobStopping)
	}
	j.State = structs.JobStopping
	j.NextState = next
	j.Reason = reason
	return j, nil
}

// WithCheckpoint returns the job with the name of the object from which the next
// attempt resumes.
func WithCheckpoint(j structs.Job, object string) structs.Job {
	j.Checkpoint = object
	return j
}

// CompleteStop moves a stopping job to its next state. Every lease must have
// been released or have expired.
func CompleteStop(j structs.Job, now time.Time) (structs.Job, error) {
	if j.State != structs.JobStopping {
		return j, transitionError(j, j.NextState)
	}
	j.State = j.NextState
	j.NextState = ""
	j.Members = nil
	j.Borrowed = false
	if j.State.Final() {
		j.Ended = now
	}
	return j, nil
}

// Finish moves a queued job to the given state, which must be final.
func Finish(j structs.Job, state structs.JobState, reason string, now time.Time) (structs.Job, error) {
	if j.State != structs.JobQueued || !state.Final() {
		return j, transitionError(j, state)
	}
	j.State = state
	j.Reason = reason
	j.Ended = now
	return j, nil
}

// AttemptStatus summarizes the member states of an attempt.
type AttemptStatus int

const (
	// InProgress means that no member was lost or failed and not all succeeded.
	InProgress AttemptStatus = iota
	// MemberLost means that a worker no longer holds a member's lease.
	MemberLost
	// MemberFailed means that a member's task failed.
	MemberFailed
	// AllSucceeded means that every member's task succeeded.
	AllSucceeded
)

// Evaluate derives the status from the last reported state of each member, in
// member order. A state of 0 means that none was reported yet. A failed member
// takes precedence over a lost one.
func Evaluate(states []structs.TaskState) AttemptStatus {
	succeeded := 0
	status := InProgress
	for _, s := range states {
		switch s {
		case structs.TaskFailed:
			return MemberFailed
		case structs.TaskNotFound:
			status = MemberLost
		case structs.TaskSucceeded:
			succeeded++
		}
	}
	if status == InProgress && len(states) > 0 && succeeded == len(states) {
		return AllSucceeded
	}
	return status
}

func transitionError(j structs.Job, to structs.JobState) error {
	return &TransitionError{Key: j.Spec.Key, From: j.State, To: to}
}
