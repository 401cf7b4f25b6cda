package planner

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// addPolicyJobAt adds a policy-controlled job of one task that takes a whole worker.
func (h *harness) addPolicyJobAt(id string, priority int) {
	rec := h.job(id, priority, step(1, 8, 60))
	rec.Job.PolicyControlled = true
	h.add(rec)
}

// query returns the job of the planner's next policy query, empty if there is none. All
// workers of the query but those in denied may run the step.
func (h *harness) query(validFor time.Duration, denied ...string) string {
	q, ok := h.p.NextPolicyQuery(h.now)
	if !ok {
		return ""
	}
	decision := port.PolicyDecision{Tickets: map[string]string{}, ValidFor: validFor}
	for _, id := range q.Workers {
		decision.Tickets[id] = "ticket"
	}
	for _, id := range denied {
		delete(decision.Tickets, id)
	}
	h.p.HandlePolicyDecision(h.now, q, decision)
	return q.Step.Job
}

// Guards against jobs that never get tickets because one of higher rank waits, of which
// every worker's decision is known (review/8).
func TestJobThatNeedsNoQueryDoesNotKeepOthersFromTheirs(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.addPolicyJobAt("waiting", 1)
	h.addPolicyJobAt("other", 2)
	must.SliceLen(t, 0, h.advance(100*time.Millisecond))
	must.EqOp(t, "waiting", h.query(time.Minute, "w00", "w01", "w02", "w03"))
	must.SliceLen(t, 0, h.advance(100*time.Millisecond))
	must.EqOp(t, "other", h.query(time.Minute))
	must.SliceLen(t, 1, h.advance(100*time.Millisecond))
}

// A job whose tickets always expire before they are used needs one query after the other.
// Those of lower rank get theirs in between.
func TestJobThatQueriesAgainLetsOthersThrough(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.addPolicyJobAt("expires", 1)
	h.addPolicyJobAt("other", 2)
	must.SliceLen(t, 0, h.advance(100*time.Millisecond))
	must.EqOp(t, "expires", h.query(ticketMargin))
	must.SliceLen(t, 0, h.advance(100*time.Millisecond))
	must.EqOp(t, "other", h.query(time.Minute))
	h.advance(100 * time.Millisecond)
	must.EqOp(t, "expires", h.query(time.Minute))
}
