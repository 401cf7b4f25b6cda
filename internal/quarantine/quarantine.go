// Package quarantine separates faulty workers, on which different jobs fail, from
// faulty jobs, which fail on several workers. It reads no clock; callers pass the
// time.
package quarantine

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// minWorkersForFaultyJob is the number of different workers on which a job
	// must fail before its failures no longer count against workers.
	minWorkersForFaultyJob = 2
	// minJobsForFaultyWorker is the number of different jobs that must fail on a
	// worker before it is quarantined. Jobs that are at fault themselves don't
	// count.
	minJobsForFaultyWorker = 3
	// failureWindow is how long a failure counts against a worker.
	failureWindow = 30 * time.Minute
	// firstQuarantine and maxQuarantine bound the time in quarantine, which doubles
	// each time that the worker is quarantined again.
	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 24 * time.Hour
)

// Tracker records the failures of workers and jobs. It is not safe for concurrent
// use.
type Tracker struct {
	workers       map[string]*worker                      // by worker ID
	failedWorkers map[structs.JobKey]map[string]time.Time // last failure, by job and worker ID
}

type worker struct {
	failures         map[structs.JobKey]time.Time // last failure, by job
	quarantinedUntil time.Time
	lastDuration     time.Duration // of the last quarantine; 0 after a success
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{
		workers:       make(map[string]*worker),
		failedWorkers: make(map[structs.JobKey]map[string]time.Time),
	}
}

// RecordFailure records that a task of a job failed on a worker. It quarantines
// the worker if too many different jobs have failed there.
func (t *Tracker) RecordFailure(now time.Time, id string, k structs.JobKey) {
	w := t.worker(id)
	w.failures[k] = now
	if t.failedWorkers[k] == nil {
		t.failedWorkers[k] = make(map[string]time.Time)
	}
	t.failedWorkers[k][id] = now
	if t.countSuspectJobs(now, w) >= minJobsForFaultyWorker {
		t.quarantine(now, w)
	}
}

func (t *Tracker) worker(id string) *worker {
	w, ok := t.workers[id]
	if !ok {
		w = &worker{failures: make(map[structs.JobKey]time.Time)}
		t.workers[id] = w
	}
	return w
}

// countSuspectJobs counts the jobs whose failures count against the worker, and
// drops failures older than failureWindow.
func (t *Tracker) countSuspectJobs(now time.Time, w *worker) int {
	count := 0
	for k, at := range w.failures {
		if now.Sub(at) > failureWindow {
			delete(w.failures, k)
			continue
		}
		if len(t.failedWorkers[k]) < minWorkersForFaultyJob {
			count++
		}
	}
	return count
}

func (t *Tracker) quarantine(now time.Time, w *worker) {
	w.lastDuration = min(max(2*w.lastDuration, firstQuarantine), maxQuarantine)
	w.quarantinedUntil = now.Add(w.lastDuration)
	clear(w.failures)
}

// RecordSuccess records that a task succeeded on a worker, which clears the
// worker's failures and resets the duration of its next quarantine. A quarantine
// in progress continues.
func (t *Tracker) RecordSuccess(id string) {
	if w, ok := t.workers[id]; ok {
		clear(w.failures)
		w.lastDuration = 0
	}
}

// DropJob drops the record of the workers on which an ended job failed. The
// failures recorded at these workers stay. They then count against the workers, as
// the job no longer counts as faulty.
func (t *Tracker) DropJob(k structs.JobKey) {
	delete(t.failedWorkers, k)
}

// Quarantined reports whether a worker must not receive new work.
func (t *Tracker) Quarantined(now time.Time, id string) bool {
	w, ok := t.workers[id]
	return ok && now.Before(w.quarantinedUntil)
}
