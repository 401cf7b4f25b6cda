// Package gang holds the state machine of a job's gang. It is pure: each
// function maps a job to its next state or refuses the transition.
//
//	Queued -> Reserving -> Running -> Stopping -> Queued | a final state
//	             \____________________/
//
// Members' leases are taken in Reserving, tasks run in Running, and a job
// leaves Stopping only when every lease of the attempt was released or has
// lapsed, so that two attempts never overlap.
package gang

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// TransitionError refuses a step that the job's state doesn't permit.
type TransitionError struct {
	Key  structs.JobKey
	From structs.JobState
	To   structs.JobState
}

// Error names the job and the states.
func (e *TransitionError) Error() string {
	return "conflict: job " + e.Key.String() + " can't go from " + string(e.From) + " to " + string(e.To)
}

// FaultCode returns fault.Conflict.
func (e *TransitionError) FaultCode() fault.Code {
	return fault.Conflict
}

// Queue returns a new job.
func Queue(spec structs.JobSpec, domain string, now time.Time) structs.Job {
	return structs.Job{Spec: spec, State: structs.JobQueued, Domain: domain, Submitted: now}
}

// Reserve begins the next attempt on the places of a start.
func Reserve(j structs.Job, st scheduler.Start) (structs.Job, error) {
	if j.State != structs.JobQueued {
		return j, refuse(j, structs.JobReserving)
	}
	j.State = structs.JobReserving
	j.Attempt++
	j.Lent = st.Lent
	j.Reason = ""
	j.Members = members(j, st.Places)
	return j, nil
}

func members(j structs.Job, places []scheduler.Place) []structs.Member {
	out := make([]structs.Member, len(places))
	for i, p := range places {
		out[i] = structs.Member{
			Worker: p.Worker,
			Rack:   p.Rack,
			Lease:  structs.MemberLease(j.Spec.Key, j.Attempt, i),
		}
	}
	return out
}

// Run follows Reserve once every member's lease is granted.
func Run(j structs.Job, now time.Time) (structs.Job, error) {
	if j.State != structs.JobReserving {
		return j, refuse(j, structs.JobRunning)
	}
	j.State = structs.JobRunning
	j.Started = now
	return j, nil
}

// Stop ends the attempt; next is the state that follows once the leases are
// gone. A job that is stopping already takes the new next state only where
// that is final and the present one isn't: a cancellation outranks a restart.
func Stop(j structs.Job, next structs.JobState, reason string) (structs.Job, error) {
	switch j.State {
	case structs.JobReserving, structs.JobRunning:
	case structs.JobStopping:
		if j.Next.Final() || !next.Final() {
			return j, refuse(j, structs.JobStopping)
		}
	default:
		return j, refuse(j, structs.JobStopping)
	}
	j.State = structs.JobStopping
	j.Next = next
	j.Reason = reason
	return j, nil
}

// Checkpointed notes the object from which the next attempt resumes.
func Checkpointed(j structs.Job, object string) structs.Job {
	j.Checkpoint = object
	return j
}

// Settle follows Stop once every lease was released or has lapsed.
func Settle(j structs.Job, now time.Time) (structs.Job, error) {
	if j.State != structs.JobStopping {
		return j, refuse(j, j.Next)
	}
	j.State = j.Next
	j.Next = ""
	j.Members = nil
	j.Lent = false
	if j.State.Final() {
		j.Ended = now
	}
	return j, nil
}

// End brings a queued job to a final state.
func End(j structs.Job, state structs.JobState, reason string, now time.Time) (structs.Job, error) {
	if j.State != structs.JobQueued || !state.Final() {
		return j, refuse(j, state)
	}
	j.State = state
	j.Reason = reason
	j.Ended = now
	return j, nil
}

// Verdict is what the states of an attempt's leases mean for the job.
type Verdict int

// The verdicts.
const (
	// Continue means that nothing has to be done.
	Continue Verdict = iota
	// MemberLost means that a member's lease is gone.
	MemberLost
	// MemberFailed means that a member's task failed.
	MemberFailed
	// AllSucceeded means that every member's task succeeded.
	AllSucceeded
)

// Judge weighs the last known state of each member, in member order. A state
// of 0 means that none is known yet.
func Judge(states []structs.TaskState) Verdict {
	succeeded := 0
	verdict := Continue
	for _, s := range states {
		switch s {
		case structs.TaskFailed:
			return MemberFailed
		case structs.TaskGone:
			verdict = MemberLost
		case structs.TaskSucceeded:
			succeeded++
		}
	}
	if verdict == Continue && len(states) > 0 && succeeded == len(states) {
		return AllSucceeded
	}
	return verdict
}

func refuse(j structs.Job, to structs.JobState) error {
	return &TransitionError{Key: j.Spec.Key, From: j.State, To: to}
}
