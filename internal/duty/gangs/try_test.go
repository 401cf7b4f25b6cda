package gangs_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Guards against an answer that isn't what the next decision does, and against a query that
// queues, starts or stops anything.
func TestTryNamesTheNextDecision(t *testing.T) {
	runEvacuation(t, func(t *testing.T, h *harness) {
		h.startOwner(h.table, h.workers)
		time.Sleep(time.Second)
		try := func(s structs.JobSpec) dryrun.SubmissionAnswer {
			t.Helper()
			answer, _, err := h.owner.Try(h.ctx, s)
			must.NoError(t, err)
			must.Eq(t, domain, answer.Domain)
			return answer
		}
		asked := spec("scan")
		answer := try(asked)
		must.Eq(t, dryrun.Start, answer.Verdict)
		must.False(t, answer.Borrowed)
		key := h.submit("scan", "")
		time.Sleep(2 * time.Second)
		for i, m := range h.job(key).Members {
			must.Eq(t, m.Worker, answer.Places[i].Worker)
		}
		_, _, err := h.owner.Try(h.ctx, asked)
		must.EqOp(t, fault.Exists, fault.CodeOf(err))
		h.awaitFinalState(key)

		large := spec("large")
		large.Members = 7
		must.Eq(t, dryrun.Unplaceable, try(large).Verdict)
		h.fillWithBorrowers(longTask)
		started := h.eventsOf(fake.EventTaskStarted)
		answer = try(spec("guaranteed"))
		must.Eq(t, dryrun.Preempt, answer.Verdict)
		must.Len(t, members, answer.Victims)
		borrower := spec("borrower")
		borrower.Key.Workspace = "research"
		answer = try(borrower)
		must.Eq(t, dryrun.Wait, answer.Verdict)
		must.StrContains(t, answer.Reason, "workspace is at its borrowing limit")
		h.evacuate(domain)
		must.Eq(t, evacuatedReason, try(spec("evacuated")).Reason)

		time.Sleep(10 * time.Second)
		must.Eq(t, started, h.eventsOf(fake.EventTaskStarted))
		must.Eq(t, 0, h.countCheckpoints())
		must.Len(t, 6, h.owner.State().Jobs)
		h.configStale.Store(true)
		_, _, err = h.owner.Try(h.ctx, asked)
		must.EqOp(t, fault.Unavailable, fault.CodeOf(err))
	})
}
