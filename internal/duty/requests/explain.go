package requests

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/dispatch"
	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// queryPause is the pause after a query, in multiples of its duration. It keeps queries
	// below 4% of the loop's time, however often they are sent.
	queryPause = 25
	// minQueryPause bounds the garbage of queries, 170 KB each with 350 servers, to some
	// 2 MB/s.
	minQueryPause = 100 * time.Millisecond
	// queryRetryAfter is the time after which a query may be repeated that was rejected
	// because of another one.
	queryRetryAfter = time.Second
)

var (
	errQuerying = &fault.RetryError{RetryAfter: queryRetryAfter, Err: fault.New(fault.Overloaded, "the instance is answering another query, or has just done so")}
	errNoAnswer = fault.New(fault.Unavailable, "the instance didn't answer the query in time")
	errStopped  = fault.New(fault.Draining, "the instance is stopping")
)

// query asks the loop what would happen to a request.
type query struct {
	ctx     context.Context
	req     structs.Request
	service structs.Service
	result  chan<- queryResult // has space for one
}

type queryResult struct {
	answer dryrun.RequestAnswer
	err    error
}

// Explain returns what would happen to a request now, whose body has bodyBytes bytes. It
// fails with fault.NotFound for an unknown workspace or service, with fault.Overloaded
// while it has another query to answer or shortly after, and with fault.Unavailable or
// fault.Draining if the loop doesn't answer before ctx ends. Nothing changes by asking, and
// the store isn't asked whether the ID is used already.
func (r *Requests) Explain(ctx context.Context, req structs.Request, bodyBytes int64) (dryrun.RequestAnswer, error) {
	checked, svc, err := r.check(req, bodyBytes)
	switch {
	case fault.Is(err, fault.NotFound):
		return dryrun.RequestAnswer{}, err
	case err != nil:
		return refusedAnswer(err), nil
	case r.held.Load() >= int64(r.settings.QueueLimit):
		return refusedAnswer(fault.New(fault.Overloaded, reasonHeld)), nil
	case r.arrivals.Len() >= r.settings.QueueLimit:
		return refusedAnswer(fault.New(fault.Overloaded, reasonArrivals)), nil
	}
	select {
	case <-r.stopped:
		return dryrun.RequestAnswer{}, errStopped
	default:
	}
	if !r.querying.CompareAndSwap(false, true) {
		return dryrun.RequestAnswer{}, errQuerying
	}
	// The loop ends the query, also one whose caller is gone, so that no more than one
	// waits in the ring.
	result := make(chan queryResult, 1)
	if !r.queries.TryPush(&query{ctx: ctx, req: checked, service: svc, result: result}) {
		r.querying.Store(false)
		return dryrun.RequestAnswer{}, errQuerying
	}
	select {
	case res := <-result:
		return res.answer, res.err
	case <-r.stopped:
		return dryrun.RequestAnswer{}, errStopped
	case <-ctx.Done():
		return dryrun.RequestAnswer{}, errNoAnswer
	}
}

func refusedAnswer(err error) dryrun.RequestAnswer {
	return dryrun.RequestAnswer{Verdict: dryrun.Refused, Refusal: dryrun.NewFailure(err)}
}

// answer answers a query in the loop. A configuration that came into force since the last
// event is applied first, as before each dispatch.
func (r *Requests) answer(q *query) {
	defer r.querying.Store(false)
	if q.ctx.Err() != nil {
		return // nobody waits for the answer
	}
	began := time.Now()
	if left := r.nextQueryAt.Sub(began); left > 0 {
		q.result <- queryResult{err: &fault.RetryError{RetryAfter: left, Err: errQuerying.Err}}
		return
	}
	if r.config().Number != r.appliedNumber {
		r.applyUpdates()
	}
	trial := r.dispatcher.Try(began, itemOf(0, q.req, q.service))
	ended := time.Now()
	r.nextQueryAt = ended.Add(max(queryPause*ended.Sub(began), minQueryPause))
	answer := r.answerOf(trial)
	answer.TimeoutMs = q.req.Deadline.Sub(began).Milliseconds()
	q.result <- queryResult{answer: answer}
}

// answerOf translates the dispatcher's trial.
func (r *Requests) answerOf(t dispatch.Trial) dryrun.RequestAnswer {
	a := dryrun.RequestAnswer{Verdict: dryrun.Dispatch, Server: t.Server, Class: string(t.Class), LongSlots: t.LongSlots, ConfigNumber: r.appliedNumber}
	switch {
	case t.Refused != nil:
		a.Verdict, a.Refusal = dryrun.Refused, dryrun.NewFailure(t.Refused)
	case t.LongLimit:
		a.Verdict, a.Cause = dryrun.Queue, dryrun.LongLimit
	case t.Server == "":
		a.Verdict, a.Cause = dryrun.Queue, dryrun.NoServer
	}
	if t.Forecast {
		a.Ahead, a.ExpectedWaitMs = &t.Ahead, dryrun.Millis(t.ExpectedWait)
	}
	for _, s := range t.Servers {
		a.Servers = append(a.Servers, dryrun.Server{
			ID: s.ID, Domain: r.serverByID[s.ID].Domain, Reason: string(s.Reason), Slots: s.Slots,
			InFlight: s.InFlight, Others: s.Others, RemainingMs: s.Remaining.Milliseconds(),
		})
	}
	return a
}
