package gangs_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// TestWaitingJobMovesToDomainWithCapacity submits one gang more than fit in the
// failure domain.
func TestWaitingJobMovesToDomainWithCapacity(t *testing.T) {
	const other = "river-yard"
	cases := []struct {
		name    string
		pin     string
		summary port.DomainSummary
		want    string
	}{
		{"free capacity", "", port.DomainSummary{Domain: other, FreeAccelerators: 24, LargestBlock: 12}, other},
		{"too little capacity in one rack", "", port.DomainSummary{Domain: other, FreeAccelerators: 24, LargestBlock: 8}, domain},
		{"jobs queued there", "", port.DomainSummary{Domain: other, FreeAccelerators: 24, LargestBlock: 12, QueuedJobs: 1}, domain},
		{"pinned", domain, port.DomainSummary{Domain: other, FreeAccelerators: 24, LargestBlock: 12}, domain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				h := newHarness(t, ctx)
				defer h.wg.Wait()
				defer cancel()
				h.otherDomains = []port.DomainSummary{c.summary}
				h.startOwner(h.table, h.workers)
				for _, id := range []string{"one", "two", "three"} {
					s := spec(id)
					s.Domain = c.pin
					s.Payload = []byte(longTask)
					_, _, err := h.jobsClient().Submit(ctx, s)
					must.NoError(t, err)
				}
				time.Sleep(30 * time.Second)
				must.Eq(t, c.want, h.queuedJobDomain())
			})
		})
	}
}

// queuedJobDomain returns the failure domain of the one queued job, or "". A job
// that was moved must have an inbox row and a queue index row there.
func (h *harness) queuedJobDomain() string {
	h.t.Helper()
	st := store.New(h.table, "reader")
	for _, id := range []string{"one", "two", "three"} {
		k := structs.JobKey{Workspace: "grading", ID: id}
		j, _, err := h.jobsClient().Get(h.ctx, k)
		must.NoError(h.t, err)
		if j.State != structs.JobQueued {
			continue
		}
		rows, err := st.Get(h.ctx, store.SubmissionKey(j.Domain, k), store.QueueKey(j.Domain, k))
		must.NoError(h.t, err)
		if j.Domain != domain {
			must.MapLen(h.t, 2, rows)
		}
		return j.Domain
	}
	return ""
}

// cancellingTable cancels the first job that is moved, just before the commit
// that moves it.
type cancellingTable struct {
	port.Table
	h         *harness
	cancelled bool
}

func (c *cancellingTable) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	for _, write := range txn.Writes {
		if c.cancelled || !strings.HasPrefix(write.Key, store.QueueDomainPrefix("river-yard")) {
			continue
		}
		c.cancelled = true
		id := write.Key[strings.LastIndex(write.Key, "/")+1:]
		_, _, err := c.h.jobsClient().Cancel(ctx, structs.JobKey{Workspace: "grading", ID: id})
		must.NoError(c.h.t, err)
	}
	return c.Table.Commit(ctx, txn)
}

// TestCancellationDuringMoveIsKept fails if the move isn't conditional on the
// absence of a cancellation, as the job then continues in the other failure
// domain.
func TestCancellationDuringMoveIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := newHarness(t, ctx)
		defer h.wg.Wait()
		defer cancel()
		h.otherDomains = []port.DomainSummary{{Domain: "river-yard", FreeAccelerators: 24, LargestBlock: 12}}
		table := &cancellingTable{Table: h.table, h: h}
		h.startOwner(table, h.workers)
		for _, id := range []string{"one", "two", "three"} {
			s := spec(id)
			s.Domain = ""
			s.Payload = []byte(longTask)
			_, _, err := h.jobsClient().Submit(ctx, s)
			must.NoError(t, err)
		}
		time.Sleep(30 * time.Second)
		must.True(t, table.cancelled)
		must.Eq(t, "", h.queuedJobDomain())
	})
}
