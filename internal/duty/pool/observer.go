package pool

import "time"

// Observer receives the events of a pool's owner for metrics. Its methods must
// not block.
type Observer interface {
	// Decided counts a planner event by its log name.
	Decided(event string)
	// JobStarted records that a job's first task has started, waited after its
	// acceptance.
	JobStarted(priority int, waited time.Duration)
	// JobEnded records that a job has reached a final state, took after its
	// acceptance.
	JobEnded(priority int, state string, took time.Duration)
	// RunEnded counts the result of a run.
	RunEnded(how string)
	// WorkLost counts discarded work, in core-seconds.
	WorkLost(cause string, coreSeconds float64)
	// LeaseMargin records how much of a worker's lease was left at its renewal.
	LeaseMargin(left time.Duration)
	// TakenOver records how long a takeover took until the last job could be placed.
	TakenOver(took time.Duration)
	// Owning reports whether this instance owns a pool, and its numbers of waiting
	// and running jobs.
	Owning(pool string, owns bool, waiting, running int)
}

// NoObserver discards all events.
type NoObserver struct{}

// Decided implements Observer.
func (NoObserver) Decided(string) {}

// JobStarted implements Observer.
func (NoObserver) JobStarted(int, time.Duration) {}

// JobEnded implements Observer.
func (NoObserver) JobEnded(int, string, time.Duration) {}

// RunEnded implements Observer.
func (NoObserver) RunEnded(string) {}

// WorkLost implements Observer.
func (NoObserver) WorkLost(string, float64) {}

// LeaseMargin implements Observer.
func (NoObserver) LeaseMargin(time.Duration) {}

// TakenOver implements Observer.
func (NoObserver) TakenOver(time.Duration) {}

// Owning implements Observer.
func (NoObserver) Owning(string, bool, int, int) {}
