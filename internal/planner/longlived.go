package planner

import (
	"math"
	"time"
)

const (
	// firstRestart and mostRestart space the restarts of a long-lived task that
	// keeps ending; the platform asks for one within 6 s.
	firstRestart = 150 * time.Millisecond
	mostRestart  = 2 * time.Second
	// steadyAfter is how long a long-lived task must have run for its end not to
	// count as one of a series.
	steadyAfter = 10 * time.Second
	// longLivedLost is the work that stopping a long-lived task throws away, as
	// a time: that of its startup.
	longLivedLost = 2 * time.Second
	// atWork is the percent that a long-lived task reports once it has started up.
	atWork = 100
)

// forever is longer than any run that is planned around.
const forever = 24 * time.Hour

// restartLater gives up a long-lived unit whose run ended and delays its next
// attempt, the longer the sooner it ended.
func (p *Planner) restartLater(u *unit, r *run, now time.Duration) {
	if now-r.startedAt >= steadyAfter {
		u.restarts = 0
	}
	delay := min(firstRestart<<min(u.restarts, 8), mostRestart)
	u.restarts++
	u.notBefore = now + delay
	p.giveUp(u, now)
}

// mayMiss is how many more units of the unit's step may be stopped now.
func (j *job) mayMiss(u *unit) int {
	limit := u.spec().MayMiss
	if limit == 0 {
		return math.MaxInt
	}
	away := 0
	for _, other := range j.unitsOf(u.occurrence, u.step) {
		if !other.working() {
			away++
		}
	}
	return limit - away
}

// working reports whether all tasks of the unit are past their startup.
func (u *unit) working() bool {
	if u.phase != unitActive || len(u.runs) < u.count {
		return false
	}
	for _, r := range u.runs {
		if r.phase != runRunning || r.percent < atWork {
			return false
		}
	}
	return true
}
