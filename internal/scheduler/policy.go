package scheduler

import "time"

// Parameters of the scheduling policy.
const (
	// BackfillLimit is the wait after which no later job may be backfilled onto
	// the accelerators reserved for a job, and after which jobs go oldest first.
	BackfillLimit = 30 * time.Minute
	// minWaitToMove is the wait after which preemptible gangs are moved for a job
	// that would fit if the free accelerators were adjacent.
	minWaitToMove = time.Second
	// minWaitToRequeue is the wait after which preemptible gangs go back to the
	// queue for a job of at least requeueRatio times their total size.
	minWaitToRequeue = 30 * time.Second
	requeueRatio     = 2
	// moveCost is the time that each accelerator of a moved gang loses to
	// checkpointing and resuming.
	moveCost = 30 * time.Second
	// moveRatio bounds the accelerators of the gangs moved for a job: at most the
	// job's own size divided by moveRatio.
	moveRatio = 1
	// maxReservations bounds the waiting jobs with a reservation.
	maxReservations = 3
	// maxPackSteps bounds the steps of one exact search, maxDecisionSteps those of
	// all exact searches of a decision.
	maxPackSteps     = 200_000
	maxDecisionSteps = 1_000_000
	// workersPerStep is the number of workers whose listing counts as one step.
	workersPerStep = 8
	// maxReclaimCandidates bounds the places checked against the other guarantees
	// for one reclaim.
	maxReclaimCandidates = 8
	// maxStopAges bounds the ages of stop orders tried one by one for a job.
	maxStopAges = 8
	// defaultRun is the expected run time of a job without a declared or learned
	// one.
	defaultRun = time.Hour
)
