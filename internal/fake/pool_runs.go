package fake

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// poolResult is the result of a run that isn't acknowledged yet. It becomes void
// when the worker's lease expires before the acknowledgement, since the task may
// then have been started elsewhere. The acknowledgement of a void success doesn't
// count.
type poolResult struct {
	port.RunResult
	void    bool
	success *success // nil for other results
}

type poolRun struct {
	task        work.TaskID
	number      int64
	required    time.Duration // run time until the run ends
	completed   time.Duration // run time so far, without stalls and waits for the gang
	lastAdvance time.Time
	started     time.Time
	stopAt      time.Time // end of a stopped run; zero without a stop call
	profile     Profile
}

func (w *PoolWorker) endRun(r *poolRun, kind port.ResultKind) {
	delete(w.runs, r.task)
	w.lastEnded[r.task] = max(w.lastEnded[r.task], r.number)
	w.lastSequence++
	result := poolResult{RunResult: port.RunResult{Sequence: w.lastSequence, Task: r.task, Run: r.number, Kind: kind}}
	switch kind {
	case port.ResultSucceeded:
		w.pool.succeeded[r.task] = true
		result.success = w.pool.addSuccess(w, r)
	case port.ResultFailed:
		if w.pool.failedRuns[r.task] == nil {
			w.pool.failedRuns[r.task] = map[int64]bool{}
		}
		w.pool.failedRuns[r.task][r.number] = true
	}
	w.results = append(w.results, result)
}

// advance updates the worker's runs to now. The caller holds Pool.mu.
func (w *PoolWorker) advance(now time.Time) {
	if !w.leaseExpiry.IsZero() && now.After(w.leaseExpiry) {
		for i := range w.results {
			w.results[i].void = true
		}
		for _, r := range w.sortedRuns() {
			w.endRun(r, port.ResultLeaseExpired)
		}
	}
	faults := w.currentFaults()
	for _, r := range w.sortedRuns() {
		gang := r.profile.GangSize > 0
		complete := !gang || w.pool.runningMembers(r) >= r.profile.GangSize
		if complete && !faults.StallRuns {
			r.completed += w.pool.progress(r, now.Sub(r.lastAdvance))
		}
		r.lastAdvance = now
		switch {
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			w.endRun(r, port.ResultStopped)
		case faults.FailRuns && now.Sub(r.started) > 100*time.Millisecond:
			w.endRun(r, port.ResultFailed)
		case gang && !complete && r.completed == 0 && now.Sub(r.started) > w.pool.GangTimeout:
			w.endRun(r, port.ResultGangIncomplete)
		case gang && !complete && r.completed > 0:
			w.endRun(r, port.ResultGangMemberEnded)
		case r.completed >= r.required && r.profile.Fails:
			w.endRun(r, port.ResultFailed)
		case r.completed >= r.required:
			w.succeed(r)
		}
	}
}

// progress returns the run time that a run completes in elapsed.
func (p *Pool) progress(r *poolRun, elapsed time.Duration) time.Duration {
	if r.profile.RackSlowdown <= 1 || r.profile.GangSize < 2 {
		return elapsed
	}
	racks := map[string]bool{}
	for _, w := range p.workers {
		for _, other := range w.runs {
			if sameGang(other, r) {
				racks[w.info.Rack] = true
			}
		}
	}
	if len(racks) > 1 {
		return time.Duration(float64(elapsed) / r.profile.RackSlowdown)
	}
	return elapsed
}

// succeed ends a run and the other runs of its gang with success.
func (w *PoolWorker) succeed(r *poolRun) {
	w.endRun(r, port.ResultSucceeded)
	if r.profile.GangSize == 0 {
		return
	}
	for _, other := range w.pool.workers {
		for _, member := range other.sortedRuns() {
			if sameGang(member, r) {
				other.endRun(member, port.ResultSucceeded)
			}
		}
	}
}

func sameGang(a, b *poolRun) bool {
	return a.task.Job == b.task.Job && a.task.Step == b.task.Step && a.number == b.number
}

func (w *PoolWorker) sortedRuns() []*poolRun {
	return slices.SortedFunc(maps.Values(w.runs), func(a, b *poolRun) int {
		return strings.Compare(fmt.Sprint(a.task), fmt.Sprint(b.task))
	})
}

// runningMembers counts the running members of a run's gang, r included.
func (p *Pool) runningMembers(r *poolRun) int {
	n := 0
	for _, w := range p.workers {
		for _, other := range w.runs {
			if sameGang(other, r) {
				n++
			}
		}
	}
	return n
}
