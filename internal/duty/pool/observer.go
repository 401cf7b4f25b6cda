package pool

import "time"

// Observer is told what the owner of a pool decides and sees. Its methods must
// not block.
type Observer interface {
	// Decided counts an event by its name in the log.
	Decided(event string)
	// JobStarted says that a job's first task began, waited after its acceptance.
	JobStarted(priority int, waited time.Duration)
	// JobEnded says that a job reached a final state.
	JobEnded(priority int, state string, took time.Duration)
	// RunEnded counts an end that a worker listed.
	RunEnded(how string)
	// WorkLost counts work that was thrown away, in core-seconds.
	WorkLost(cause string, coreSeconds float64)
	// LeaseMargin says how much of a worker's lease was left when it was renewed.
	LeaseMargin(left time.Duration)
	// TakenOver says how long a takeover took until the last job could be placed.
	TakenOver(took time.Duration)
	// Owning says whether this instance owns a pool, and how many jobs wait and run.
	Owning(pool string, owns bool, waiting, running int)
}

// NoObserver ignores everything.
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
