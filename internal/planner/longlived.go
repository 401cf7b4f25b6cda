package planner

import (
	"math"
	"time"
)

const (
	// minRestartDelay and maxRestartDelay bound the delay before a long-lived
	// task that keeps ending is restarted. The platform requires a restart within
	// 6 s.
	minRestartDelay = 150 * time.Millisecond
	maxRestartDelay = 2 * time.Second
	// restartResetAfter is how long a long-lived task must run before the restart
	// delay starts from its minimum again.
	restartResetAfter = 10 * time.Second
	// startupTime is the run time of a long-lived task's startup, the only work
	// that stopping the task discards.
	startupTime = 2 * time.Second
	// startedPercent is the progress that a long-lived task reports when its
	// startup is complete.
	startedPercent = 100
)

// forever is longer than any run that the planner has to consider.
const forever = 24 * time.Hour

// delayRestart ends the attempt of a long-lived unit and delays the next one. The
// delay doubles with each run shorter than restartResetAfter.
func (p *Planner) delayRestart(u *unit, r *run, now time.Duration) {
	if now-r.startedAt >= restartResetAfter {
		u.restarts = 0
	}
	delay := min(minRestartDelay<<min(u.restarts, 8), maxRestartDelay)
	u.restarts++
	u.notBefore = now + delay
	p.endAttempt(u, now)
}

// disruptionsAllowed returns how many more units of the unit's step may be
// stopped now: math.MaxInt if the step has no limit. Units that aren't up count
// against the limit whatever the reason, so the result may be negative.
func (j *job) disruptionsAllowed(u *unit) int {
	limit := u.spec().MaxUnavailable
	if limit == 0 {
		return math.MaxInt
	}
	unavailable := 0
	for _, other := range j.unitsOf(u.occurrence, u.step) {
		if !other.startupDone() {
			unavailable++
		}
	}
	return limit - unavailable
}

// startupDone reports whether all tasks of the unit have completed their startup.
func (u *unit) startupDone() bool {
	if u.phase != unitActive || len(u.runs) < u.count {
		return false
	}
	for _, r := range u.runs {
		if r.phase != runRunning || r.percent < startedPercent {
			return false
		}
	}
	return true
}
