package requests_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// explain asks about a request after the pause that follows a query.
func (in *instance) explain(service string) (dryrun.RequestAnswer, error) {
	time.Sleep(time.Second)
	return in.requests.Explain(context.Background(), request(service, "asked", 0), 0)
}

// Guards against an answer that isn't that of the loop's state, and against a query that
// runs, claims, counts or holds anything.
func TestExplainAnswersWithoutEffect(t *testing.T) {
	runScenario(t, 1, 4, func(t *testing.T, cl *cluster) {
		in := cl.instances[0]
		answer, err := in.explain(onceService)
		must.NoError(t, err)
		must.Eq(t, dryrun.Dispatch, answer.Verdict)
		must.Eq(t, "normal", answer.Class)
		must.Eq(t, serviceDeadline.Milliseconds(), answer.TimeoutMs)
		must.Len(t, 2, answer.Servers)

		// The configuration isn't announced. A request would be decided by it too.
		cl.setEvacuated("d0")
		answer, err = in.explain(onceService)
		must.NoError(t, err)
		must.Eq(t, "b1", answer.Server)
		must.Eq(t, cl.config().Number, answer.ConfigNumber)
		for _, s := range answer.Servers {
			must.Eq(t, map[string]string{"b0": "evacuated", "b1": ""}[s.ID], s.Reason)
			must.Eq(t, map[string]string{"b0": "d0", "b1": "d1"}[s.ID], s.Domain)
		}
		must.MapEmpty(t, cl.allRuns())
		must.Eq(t, 0, in.requests.Held())
		must.Zero(t, in.requests.Stats().Dispatched)
		must.SliceEmpty(t, cl.checkRecords(in))

		for i := range 6 {
			in.send(request(repeatableService, fmt.Sprint("r", i), 4*time.Second))
		}
		synctest.Wait()
		answer, err = in.explain(repeatableService)
		must.NoError(t, err)
		must.Eq(t, dryrun.Queue, answer.Verdict)
		must.Eq(t, dryrun.LongLimit, answer.Cause)
		must.Eq(t, 3, answer.LongSlots)
		must.Eq(t, 3, *answer.Ahead)

		cl.setEvacuated("d0", "d1")
		answer, err = in.explain(repeatableService)
		must.NoError(t, err)
		must.Eq(t, dryrun.Queue, answer.Verdict)
		must.Len(t, 2, answer.Servers)
	})
}

// Guards against queries that are answered without their checks, and against many of them
// taking the loop's time.
func TestExplainRejectsAndPauses(t *testing.T) {
	runScenario(t, 1, 4, func(t *testing.T, cl *cluster) {
		in := cl.instances[0]
		_, err := in.explain("none")
		must.EqOp(t, fault.NotFound, fault.CodeOf(err))
		answer, err := in.requests.Explain(t.Context(), request(onceService, "large", 0), requestSettings.MaxBodyBytes+1)
		must.NoError(t, err)
		must.Eq(t, dryrun.Refused, answer.Verdict)
		must.Eq(t, "body", answer.Refusal.Problems[0].Path)

		late := request(onceService, "late", 0)
		late.Deadline = time.Now().Add(-time.Second)
		answer, err = in.requests.Explain(t.Context(), late, 0)
		must.NoError(t, err)
		must.Eq(t, fault.Timeout, answer.Refusal.Code)
		_, err = in.requests.Explain(t.Context(), request(onceService, "soon", 0), 0)
		must.EqOp(t, fault.Overloaded, fault.CodeOf(err))

		gone, cancel := context.WithCancel(t.Context())
		cancel()
		time.Sleep(time.Second)
		_, _ = in.requests.Explain(gone, request(onceService, "gone", 0), 0)
		_, err = in.explain(onceService)
		must.NoError(t, err, must.Sprint("a query whose caller left must not block others"))

		in.cancel()
		synctest.Wait()
		_, err = in.explain(onceService)
		must.EqOp(t, fault.Draining, fault.CodeOf(err))
	})
}
