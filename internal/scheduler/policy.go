package scheduler

import "time"

// Parameters of the scheduling policy.
const (
	// BackfillLimit is the wait after which a job goes before others of its class,
	// oldest first, and gangs that outlast their expected run time may be stopped
	// for it. While such a job has a reservation, no later job may be backfilled
	// onto reserved accelerators.
	BackfillLimit = 30 * time.Minute
	// minWaitToMove is the wait after which preemptible gangs are moved for a job
	// that would fit if the free accelerators were adjacent.
	minWaitToMove = time.Second
	// minWaitToRequeue is how long a job must have waited before preemptible gangs
	// are requeued for it. Its size must be at least requeueSizeRatio times their
	// total size.
	minWaitToRequeue = 30 * time.Second
	requeueSizeRatio = 2
	// moveCost is the time that each accelerator of a moved gang loses to
	// checkpointing and resuming.
	moveCost = 30 * time.Second
	// moveSizeRatio is the minimum ratio of a job's size to the total size of the
	// gangs moved for it.
	moveSizeRatio = 1
	// maxReservations bounds the waiting jobs with a reservation.
	maxReservations = 3
	// maxPackSteps bounds the steps of one exact search, maxDecisionSteps those of
	// all exact searches of a decision. The steps of placements that placeGuaranteed
	// undoes don't count.
	maxPackSteps     = 200_000
	maxDecisionSteps = 1_000_000
	// workersPerStep is the number of workers whose listing counts as one step.
	workersPerStep = 8
	// maxReclaimCandidates bounds the places checked against the other guarantees
	// for one reclaim before the job's own slots.
	maxReclaimCandidates = 8
	// maxStopAges bounds the searches for a place on accelerators that stopping gangs
	// will free. Each search counts only the gangs ordered to stop at least a given
	// time ago, the longest time first. A last search counts all stopping gangs.
	maxStopAges = 8
	// defaultRun is the expected run time of a job without a declared or learned
	// one.
	defaultRun = time.Hour
)
