package dryrun

// SubmissionPath is where an instance of the entry daemon answers queries about jobs, on
// the address of its callers' listener. An instance that doesn't own the failure domain
// redirects to its owner, with the domain as DomainParameter.
const SubmissionPath = "/lentilwinch/dry-run/submission"

// DomainParameter is the parameter of the failure domain that the first instance chose.
const DomainParameter = "domain"

// Submission asks about a job of the entry daemon that isn't submitted.
type Submission struct {
	Workspace    string `json:"workspace"`
	JobID        string `json:"job_id"`
	Members      int    `json:"members"`
	Accelerators int    `json:"accelerators"`
	Adjacency    string `json:"adjacency"`
	Class        string `json:"class"`
	Preemptible  bool   `json:"preemptible,omitempty"`
	// DeclaredRunMs is the declared run time.
	DeclaredRunMs int64  `json:"declared_run_ms,omitempty"`
	Domain        string `json:"domain,omitempty"`
	Service       string `json:"service,omitempty"`
	// PayloadBytes is the size of the payload.
	PayloadBytes int64 `json:"payload_bytes,omitempty"`
}

// SubmissionAnswer is the answer to a Submission. Its verdict is Start, Preempt, Wait,
// Unplaceable or Refused.
type SubmissionAnswer struct {
	Verdict Verdict `json:"verdict"`
	// Domain is the failure domain in which the job would be queued.
	Domain string `json:"domain,omitempty"`
	// Places has the worker of each member.
	Places []Place `json:"places,omitempty"`
	// Borrowed is set if the job would run beyond the guarantees of its workspace.
	Borrowed bool `json:"borrowed,omitempty"`
	// Victims are the gangs that would be checkpointed and stopped for the job, as
	// workspace/ID.
	Victims []string `json:"victims,omitempty"`
	// Reason tells why the job would wait or can't run in the domain.
	Reason string `json:"reason,omitempty"`
	// Waiting is the number of other jobs that wait in the domain.
	Waiting int `json:"waiting"`
	// UnusableWorkers are those of the domain that get no work.
	UnusableWorkers []string `json:"unusable_workers,omitempty"`
	// Refusal is the error of the submission.
	Refusal *Failure `json:"refusal,omitempty"`
	// Instance owns the domain and answered, by the configuration of a ticket.
	Instance     string `json:"instance"`
	ConfigNumber int64  `json:"config_number"`
}

// Place is the worker of a member.
type Place struct {
	Worker string `json:"worker"`
	Rack   string `json:"rack,omitempty"`
}
