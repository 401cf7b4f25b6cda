package planner

// Events are the names under which notes are logged and counted. Every note
// carries count; those about a job, a worker or a run carry its identity.
const (
	EventJobStarted        = "job started"        // age since acceptance
	EventJobCompleted      = "job completed"      // age since acceptance
	EventJobFailed         = "job failed"         // age since acceptance
	EventJobCancelled      = "job cancelled"      // age since acceptance
	EventPreempted         = "preempted"          // detail: the job that room is made for; count: tasks
	EventWorkLost          = "work lost"          // detail: cause; core_seconds
	EventStartRejected     = "start rejected"     // detail: the worker's reason
	EventStartUnanswered   = "start unanswered"   // the task waits until its stop is confirmed
	EventRunFailed         = "run failed"         // age of the run; count: failed attempts so far
	EventRunStalled        = "run stalled"        // count: percent at which it stood still
	EventRunAdopted        = "run adopted"        // a former owner's run goes on
	EventStrayRun          = "stray run"          // a run that fits no attempt is stopped
	EventWorkerLost        = "worker lost"        // detail: why; count: its runs
	EventWorkerRestarted   = "worker restarted"   // count: its runs
	EventRecoveryFinished  = "recovery finished"  // count: workers
	EventAdvised           = "advised"            // count: workers that may run a step, of those asked about
	EventWorkerTrusted     = "worker trusted"     // first success after a quarantine
	EventWorkerQuarantined = "worker quarantined" // detail: why; age: how long it is left out
)
