// Package quarantine tells workers that fail what they start from jobs that
// fail wherever they run. It is pure: time is passed in.
package quarantine

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// jobAtFault is the number of different workers on which a job must fail
	// before its failures stop counting against workers.
	jobAtFault = 2
	// workerAtFault is the number of different jobs, not at fault themselves,
	// that must fail on a worker before it is quarantined.
	workerAtFault = 3
	// window is how long a failure counts.
	window = 30 * time.Minute
	// firstTerm and maxTerm bound the time in quarantine, which doubles with
	// each return.
	firstTerm = 10 * time.Minute
	maxTerm   = 24 * time.Hour
)

// Tracker holds the failures seen. It is not safe for concurrent use.
type Tracker struct {
	workers map[string]*worker
	jobs    map[structs.JobKey]map[string]time.Time
}

type worker struct {
	failures map[structs.JobKey]time.Time
	until    time.Time
	term     time.Duration
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{
		workers: make(map[string]*worker),
		jobs:    make(map[structs.JobKey]map[string]time.Time),
	}
}

// Failed notes that a job's task failed on a worker.
func (t *Tracker) Failed(now time.Time, id string, k structs.JobKey) {
	w := t.worker(id)
	w.failures[k] = now
	if t.jobs[k] == nil {
		t.jobs[k] = make(map[string]time.Time)
	}
	t.jobs[k][id] = now
	if t.suspects(now, w) >= workerAtFault {
		t.confine(now, w)
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

// suspects counts the jobs whose failure speaks against the worker.
func (t *Tracker) suspects(now time.Time, w *worker) int {
	n := 0
	for k, at := range w.failures {
		if now.Sub(at) > window {
			delete(w.failures, k)
			continue
		}
		if len(t.jobs[k]) < jobAtFault {
			n++
		}
	}
	return n
}

func (t *Tracker) confine(now time.Time, w *worker) {
	w.term = min(max(2*w.term, firstTerm), maxTerm)
	w.until = now.Add(w.term)
	clear(w.failures)
}

// Succeeded notes that a job's task succeeded on a worker, which clears the
// worker's failures.
func (t *Tracker) Succeeded(id string) {
	if w, ok := t.workers[id]; ok {
		clear(w.failures)
		w.term = 0
	}
}

// Forget drops what is known about a job that came to its end.
func (t *Tracker) Forget(k structs.JobKey) {
	delete(t.jobs, k)
}

// Quarantined reports whether a worker should get no new work.
func (t *Tracker) Quarantined(now time.Time, id string) bool {
	w, ok := t.workers[id]
	return ok && now.Before(w.until)
}
