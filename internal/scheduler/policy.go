package scheduler

import "time"

// Bounds of the policy.
const (
	// PassingLimit is the wait after which no later job may start on the
	// accelerators reserved for a job, and after which jobs go oldest first.
	PassingLimit = 30 * time.Minute
	// MoveAfter is the wait after which preemptible gangs are moved for a job
	// that would fit if the free accelerators lay together.
	MoveAfter = time.Second
	// SwapAfter is the wait after which preemptible gangs go back to the queue
	// for a job swapShare times their size.
	SwapAfter = 30 * time.Second
	swapShare = 2
	// moveCost is the time that a moved gang's accelerators lose to its
	// checkpoint and resumption.
	moveCost = 30 * time.Second
	// moveShare bounds moved accelerators: a job gets at most its own size
	// divided by this moved for it.
	moveShare = 1
	// maxReservations is the number of waiting jobs with a reserved place.
	maxReservations = 3
	// packSteps bounds one exact search, decideSteps all of a decision.
	packSteps   = 200_000
	decideSteps = 1_000_000
	// stepWorkers is the number of workers listed for the cost of one step.
	stepWorkers = 8
	// reclaimTries bounds the places weighed by their effect on guarantees
	// for one reclaim.
	reclaimTries = 8
	// maxStopAges bounds the groups of stopping gangs weighed one by one.
	maxStopAges = 8
	// unknownRun stands for an expected run time that nobody gave.
	unknownRun = time.Hour
)
