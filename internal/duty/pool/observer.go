package pool

import "time"

// Observer receives the events of a pool's owner for metrics. Its methods must
// not block.
type Observer interface {
	// EventLogged counts a planner event by its log name.
	EventLogged(event string)
	// JobStarted records the start of a job's first task. waited is the time since
	// the job was accepted.
	JobStarted(priority int, waited time.Duration)
	// JobEnded records that a job has reached a final state, a work.State. took is
	// the time since the job was accepted.
	JobEnded(priority int, state string, took time.Duration)
	// RunEnded counts the end of a run by the kind of its result.
	RunEnded(kind string)
	// WorkDiscarded counts discarded work, in core-seconds.
	WorkDiscarded(cause string, coreSeconds float64)
	// LeaseMargin records how much of a worker's lease was left at its renewal.
	LeaseMargin(left time.Duration)
	// TakeoverFinished records how long a takeover took until the last job could be
	// placed.
	TakeoverFinished(took time.Duration)
	// ReportOwnership records whether this instance owns a pool, and its numbers
	// of waiting and running jobs. An owner calls it every second, and with zeros
	// when it ends.
	ReportOwnership(pool string, owns bool, waiting, running int)
	// ReportSpeedSpread records how much the learned speeds of a pool's workers differ, as
	// the standard deviation of the logarithms of their time factors. An owner calls it
	// every second, and with zero when it ends.
	ReportSpeedSpread(pool string, spread float64)
}

// NoObserver discards all events.
type NoObserver struct{}

// EventLogged implements Observer.
func (NoObserver) EventLogged(string) {}

// JobStarted implements Observer.
func (NoObserver) JobStarted(int, time.Duration) {}

// JobEnded implements Observer.
func (NoObserver) JobEnded(int, string, time.Duration) {}

// RunEnded implements Observer.
func (NoObserver) RunEnded(string) {}

// WorkDiscarded implements Observer.
func (NoObserver) WorkDiscarded(string, float64) {}

// LeaseMargin implements Observer.
func (NoObserver) LeaseMargin(time.Duration) {}

// TakeoverFinished implements Observer.
func (NoObserver) TakeoverFinished(time.Duration) {}

// ReportOwnership implements Observer.
func (NoObserver) ReportOwnership(string, bool, int, int) {}

// ReportSpeedSpread implements Observer.
func (NoObserver) ReportSpeedSpread(string, float64) {}
