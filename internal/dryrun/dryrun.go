// Package dryrun defines the queries where a job would be placed now and where a request
// would be dispatched, and their answers. The command-line tool sends them to an instance.
package dryrun

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Path is where an instance answers queries, on the address of its peers' listener.
const Path = "/lentilwinch/dry-run"

// Request asks about a job that isn't submitted.
type Request struct {
	// Queue is the host and the prefix of a queue.
	Queue string `json:"queue"`
	// Workspace is the one that the job would belong to, empty for none.
	Workspace string `json:"workspace,omitempty"`
	// ID is the job's, which may be empty. The time after which a caller may retry
	// depends on it.
	ID string `json:"id,omitempty"`
	// Job is the body of the submission.
	Job json.RawMessage `json:"job"`
}

// Verdict tells what would happen to the job.
type Verdict string

// The verdicts.
const (
	// Start means that all tasks whose turn it is would start.
	Start Verdict = "start"
	// Preempt means that they would, once runs that are stopped for them have ended.
	Preempt Verdict = "preempt"
	// Wait means that some of them would wait.
	Wait Verdict = "wait"
	// Refused means that the submission or the request would fail.
	Refused Verdict = "refused"
	// Unplaceable means that the job can't run in the failure domain that it names or
	// would be queued in.
	Unplaceable Verdict = "unplaceable"
	// Dispatch means that the request would be sent to a backend server.
	Dispatch Verdict = "dispatch"
	// Queue means that the request would wait for a slot of a backend server.
	Queue Verdict = "queue"
)

// Answer is the answer to a query.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	// Tasks is the number of tasks whose turn it is: those of steps without dependencies.
	// Placed is how many of them have a place in Workers.
	Tasks   int      `json:"tasks,omitempty"`
	Placed  int      `json:"placed,omitempty"`
	Workers []Worker `json:"workers,omitempty"`
	// ExpectedEndMs is the expected time until the job completes, counted from now like
	// ObjectiveMs. It is 0 for a job that waits or has no end.
	ExpectedEndMs int64 `json:"expected_end_ms,omitempty"`
	ObjectiveMs   int64 `json:"objective_ms,omitempty"`
	// Victims are the runs that would be stopped, and Cost is the cost of that, in
	// core-seconds of a job of priority 0.
	Victims []Victim `json:"victims,omitempty"`
	Cost    float64  `json:"cost,omitempty"`
	// Cause and Detail tell why the job would wait.
	Cause  string `json:"cause,omitempty"`
	Detail string `json:"detail,omitempty"`
	// EvacuatedDomains are those in which nothing is started.
	EvacuatedDomains []string `json:"evacuated_domains,omitempty"`
	// Refusal is the error of the submission.
	Refusal *Failure `json:"refusal,omitempty"`
	Basis   Basis    `json:"basis"`
}

// Worker holds the tasks that would be placed on a worker.
type Worker struct {
	ID         string  `json:"id"`
	Rack       string  `json:"rack,omitempty"`
	Domain     string  `json:"domain,omitempty"`
	Tasks      int     `json:"tasks"`
	TimeFactor float64 `json:"time_factor"`
}

// Victim is a set of runs that would be stopped together.
type Victim struct {
	Job      string   `json:"job"`
	Priority int      `json:"priority"`
	Workers  []string `json:"workers"`
	Cost     float64  `json:"cost"`
}

// Basis is what an answer is based on.
type Basis struct {
	// Instance checked the submission, and Owner decided the placement.
	Instance string `json:"instance,omitempty"`
	Owner    string `json:"owner,omitempty"`
	Epoch    int64  `json:"epoch,omitempty"`
	// PlanAgeMs is the time since the owner's last planning pass.
	PlanAgeMs *int64 `json:"plan_age_ms,omitempty"`
	// ReplicaAgeMs and ConfigAgeMs are the ages of what the instance knows. ForecastAgeMs
	// is that of the owner's forecast, missing if there is none.
	ReplicaAgeMs  int64  `json:"replica_age_ms"`
	ConfigAgeMs   int64  `json:"config_age_ms"`
	ForecastAgeMs *int64 `json:"forecast_age_ms,omitempty"`
}

// Failure is an error in an answer, or the answer to a query that failed.
type Failure struct {
	Code         fault.Code      `json:"code"`
	Message      string          `json:"message"`
	Problems     []fault.Problem `json:"problems,omitempty"`
	RetryAfterMs int64           `json:"retry_after_ms,omitempty"`
}

// NewFailure returns the failure that tells of an error, nil for none.
func NewFailure(err error) *Failure {
	if err == nil {
		return nil
	}
	f := &Failure{Code: fault.CodeOf(err), Message: err.Error()}
	var typed *fault.Error
	if errors.As(err, &typed) {
		f.Message, f.Problems = typed.Message, typed.Problems
	}
	var retry *fault.RetryError
	if errors.As(err, &retry) {
		f.RetryAfterMs = retry.RetryAfter.Milliseconds()
	}
	return f
}

// Err returns the error that the failure tells of.
func (f *Failure) Err() error {
	err := &fault.Error{Code: f.Code, Message: f.Message, Problems: f.Problems}
	if f.RetryAfterMs > 0 {
		return &fault.RetryError{RetryAfter: time.Duration(f.RetryAfterMs) * time.Millisecond, Err: err}
	}
	return err
}

// Millis returns a duration in milliseconds for an optional field.
func Millis(d time.Duration) *int64 {
	ms := d.Milliseconds()
	return &ms
}
