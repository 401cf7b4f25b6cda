package pool

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const (
	// tryPause is the pause after a dry run, in multiples of its duration. It keeps dry
	// runs below 4% of the owner's processor, however often it is asked.
	tryPause = 25
	// tryRetryAfter is the time after which a query may be repeated that was rejected
	// because of another one.
	tryRetryAfter = time.Second
)

var (
	errNotOwner = fault.New(fault.Fenced, "this instance doesn't own the pool")
	errNoAnswer = fault.New(fault.Unavailable, "the owner didn't answer in time")
	errMayNot   = &fault.RetryError{RetryAfter: tryRetryAfter,
		Err: fault.New(fault.Unavailable, "the owner may start nothing now, its ownership or the evacuations aren't confirmed")}
	errTrying = &fault.RetryError{RetryAfter: tryRetryAfter, Err: fault.New(fault.Overloaded, "the owner is answering another query, or has just done so")}
)

// tryer limits the dry runs of an owner. The load that it answers is any number of queries:
// one is open at a time, and each is followed by a pause.
type tryer struct {
	open   atomic.Bool
	nextAt time.Duration // used by the loop only
}

// tryQuery asks the owner's loop for a dry run.
type tryQuery struct {
	ctx    context.Context
	job    work.Job
	result chan<- tryResult // has space for one
}

type tryResult struct {
	answer dryrun.Answer
	err    error
}

// Try returns where the pool's owner would place a job that arrives now. It fails with
// fault.Fenced if this instance doesn't own the pool, with fault.Unavailable if the owner
// doesn't answer before ctx ends or may start nothing, and with fault.Overloaded if it has
// another query to answer. Nothing changes by asking.
func (e *Election) Try(ctx context.Context, job work.Job) (dryrun.Answer, error) {
	o := e.owner.Load()
	if o == nil {
		return dryrun.Answer{}, errNotOwner
	}
	return o.try(ctx, job)
}

func (o *Owner) try(ctx context.Context, job work.Job) (dryrun.Answer, error) {
	if !o.tryer.open.CompareAndSwap(false, true) {
		return dryrun.Answer{}, errTrying
	}
	// The loop ends the query, also one whose caller is gone, so that no more than one
	// waits in its queue.
	result := make(chan tryResult, 1)
	select {
	case o.events <- event{kind: evTry, try: &tryQuery{ctx, job, result}}:
	case <-o.done:
		return dryrun.Answer{}, errNotOwner
	case <-ctx.Done():
		o.tryer.open.Store(false)
		return dryrun.Answer{}, errNoAnswer
	}
	select {
	case r := <-result:
		return r.answer, r.err
	case <-o.done:
		return dryrun.Answer{}, errNotOwner
	case <-ctx.Done():
		return dryrun.Answer{}, errNoAnswer
	}
}

// answerTry answers a query in the loop.
func (o *Owner) answerTry(q *tryQuery) {
	defer o.tryer.open.Store(false)
	if q.ctx.Err() != nil {
		return // nobody waits for the answer
	}
	began := o.now()
	if left := o.tryer.nextAt - began; left > 0 {
		q.result <- tryResult{err: &fault.RetryError{RetryAfter: left, Err: errTrying.Err}}
		return
	}
	if !o.mayStart() {
		q.result <- tryResult{err: errMayNot}
		return
	}
	answer, err := o.planner.Try(began, work.Record{Job: q.job, State: work.Queued})
	answer.Basis.Owner, answer.Basis.Epoch = o.deps.Name, o.epoch
	if o.plannedAt > 0 {
		answer.Basis.PlanAgeMs = dryrun.Millis(began - o.plannedAt)
	}
	ended := o.now()
	o.tryer.nextAt = ended + tryPause*(ended-began)
	q.result <- tryResult{answer, err}
}
