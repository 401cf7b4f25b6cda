package gangs

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// tryPause is the pause after a query, in multiples of the time that it worked, without
	// waits. It keeps queries below 4% of a processor, however often they are sent.
	tryPause = 25
	// tryRetryAfter is the time after which a query may be repeated that was rejected
	// because of another one.
	tryRetryAfter = time.Second
)

var (
	errTrying   = &fault.RetryError{RetryAfter: tryRetryAfter, Err: fault.New(fault.Overloaded, "the instance is answering another query, or has just done so")}
	errNoAnswer = fault.New(fault.Unavailable, "the owner of the failure domain didn't answer in time")
	errMayNot   = &fault.RetryError{RetryAfter: tryRetryAfter, Err: fault.New(fault.Unavailable, "the owner may start nothing now, its session or the configuration isn't confirmed")}
)

// tryLimit permits one query at a time, followed by a pause.
type tryLimit struct {
	open atomic.Bool
	// nextAt is used only while open is set.
	nextAt time.Time
}

// tryQuery asks the runner for the inputs of a decision with one more job.
type tryQuery struct {
	spec   structs.JobSpec
	result chan<- trySnapshot // has space for one
}

type trySnapshot struct {
	snapshot scheduler.Snapshot
	took     time.Duration // to collect it
	err      error
}

// Try returns what the next decision would do with a job that were queued now in a failure
// domain that this instance owns. It fails with fault.Fenced if it doesn't, with
// fault.Exists if a job of the ID is queued or runs there, with fault.Overloaded while it
// has another query to answer or shortly after, and with fault.Unavailable if the owner may
// start nothing or doesn't answer before ctx ends. Nothing changes by asking.
func (m *Manager) Try(ctx context.Context, domain string, spec structs.JobSpec) (dryrun.SubmissionAnswer, error) {
	m.mu.Lock()
	r, ok := m.runners[domain]
	m.mu.Unlock()
	if !ok {
		return dryrun.SubmissionAnswer{}, fault.New(fault.Fenced, "this instance doesn't own the failure domain "+domain)
	}
	if !m.tries.open.CompareAndSwap(false, true) {
		return dryrun.SubmissionAnswer{}, errTrying
	}
	defer m.tries.open.Store(false)
	if left := time.Until(m.tries.nextAt); left > 0 {
		return dryrun.SubmissionAnswer{}, &fault.RetryError{RetryAfter: left, Err: errTrying.Err}
	}
	answer, worked, err := r.runner.Try(ctx, spec)
	m.tries.nextAt = time.Now().Add(tryPause * worked)
	return answer, err
}

// Try implements Manager.Try, and returns the time that it worked. Only the inputs are
// collected in the runner's goroutine, and the decision is made in that of the caller.
func (r *Runner) Try(ctx context.Context, spec structs.JobSpec) (dryrun.SubmissionAnswer, time.Duration, error) {
	result := make(chan trySnapshot, 1)
	if err := r.events.PushWait(ctx, event{try: &tryQuery{spec, result}}); err != nil {
		return dryrun.SubmissionAnswer{}, 0, errNoAnswer
	}
	select {
	case got := <-result:
		if got.err != nil {
			return dryrun.SubmissionAnswer{}, 0, got.err
		}
		began := time.Now()
		answer := answerOf(got.snapshot, spec)
		return answer, got.took + time.Since(began), nil
	case <-ctx.Done():
		return dryrun.SubmissionAnswer{}, 0, errNoAnswer
	}
}

// answerTry sends the inputs of a decision with one more job.
func (r *Runner) answerTry(q *tryQuery) {
	if !r.deps.SessionUsable() || !r.deps.ConfigFresh() {
		q.result <- trySnapshot{err: errMayNot}
		return
	}
	if _, exists := r.entries[q.spec.Key]; exists {
		q.result <- trySnapshot{err: fault.New(fault.Exists, "job "+q.spec.Key.String()+" is queued or runs already")}
		return
	}
	began := time.Now()
	s := r.snapshot()
	// A decision sorts the queue itself.
	s.Queued = append(s.Queued, scheduler.Pending{Spec: q.spec, ExpectedRun: r.expectedRun(q.spec)})
	q.result <- trySnapshot{snapshot: s, took: time.Since(began)}
}

// answerOf decides on a snapshot whose queue holds the job.
func answerOf(s scheduler.Snapshot, spec structs.JobSpec) dryrun.SubmissionAnswer {
	a := dryrun.SubmissionAnswer{Domain: s.Domain, Waiting: len(s.Queued) - 1}
	for _, w := range s.Workers {
		if !w.Usable {
			a.UnusableWorkers = append(a.UnusableWorkers, w.ID)
		}
	}
	plan := scheduler.Decide(s)
	for _, st := range plan.Starts {
		if st.Key != spec.Key {
			continue
		}
		a.Verdict, a.Borrowed = dryrun.Start, st.Borrowed
		for _, p := range st.Places {
			a.Places = append(a.Places, dryrun.Place{Worker: p.Worker, Rack: p.Rack})
		}
		return a
	}
	for _, v := range plan.Unplaceable {
		if v.Key == spec.Key {
			a.Verdict, a.Reason = dryrun.Unplaceable, v.Reason
			return a
		}
	}
	a.Verdict = dryrun.Wait
	for _, v := range plan.Waiting {
		if v.Key == spec.Key {
			a.Reason = v.Reason
		}
	}
	for _, reclaim := range plan.Reclaims {
		if reclaim.For == spec.Key {
			a.Verdict = dryrun.Preempt
			a.Victims = append(a.Victims, reclaim.Key.String())
		}
	}
	slices.Sort(a.Victims)
	return a
}
