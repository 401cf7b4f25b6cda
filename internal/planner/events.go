package planner

// Event names under which log entries are written and counted. Every entry has a
// count, which is 0 if none is given here. Entries about a job, a worker or a run
// contain its ID.
const (
	EventJobStarted        = "job started"      // age: time since acceptance
	EventJobCompleted      = "job completed"    // age: time since acceptance
	EventJobFailed         = "job failed"       // age: time since acceptance
	EventJobCancelled      = "job cancelled"    // age: time since acceptance
	EventJobLeft           = "job left"         // a job that another pool runs; age: time since acceptance
	EventJobWaiting        = "job waiting"      // detail: cause and figures; count: tasks to be placed together; age: time since it was due
	EventPreempted         = "preempted"        // detail: the job that preempts; count: tasks
	EventWorkDiscarded     = "work lost"        // detail: cause; core_seconds: discarded work
	EventStartRejected     = "start rejected"   // detail: the worker's reason
	EventStartWithdrawn    = "start withdrawn"  // a start that wasn't sent, because of an evacuation; detail: reason
	EventStartUnanswered   = "start unanswered" // the task is placed again only after the run's stop is confirmed
	EventRunFailed         = "run failed"       // age: time since the run's start; count: failed attempts so far, 0 for a long-lived task
	EventRunStalled        = "run stalled"      // count: progress of the run, in percent
	EventRunAdopted        = "run adopted"      // a run of a previous owner continues under this owner
	EventPlacedAgain       = "placed again"     // a task that a previous owner had placed; detail: why it doesn't run there any more, by worker
	EventUnknownRun        = "run of an unknown job"
	EventUnknownJobDropped = "unknown job dropped" // a job with reported runs or results that doesn't exist or has ended; count: runs and results
	EventOrphanedRun       = "stray run"           // a run that belongs to no current attempt is stopped
	EventWorkerLost        = "worker lost"         // detail: reason; count: runs on the worker
	EventLeasesExpired     = "leases expired"      // of a silent worker; detail: what is left in doubt; count: runs lost
	EventWorkerRestarted   = "worker restarted"    // count: runs on the worker
	EventRecoveryFinished  = "recovery finished"   // count: workers
	EventPolicyDecided     = "advised"             // count: workers of the query that may run the step
	EventWorkerTrusted     = "worker trusted"      // first success after a quarantine
	EventWorkerQuarantined = "worker quarantined"  // detail: reason; age: duration of the quarantine
)
