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

func TestWaitingJobGoesToADomainWithRoom(t *testing.T) {
	const other = "river-yard"
	cases := []struct {
		name      string
		pin       string
		elsewhere port.DomainSummary
		want      string
	}{
		{"room", "", port.DomainSummary{Domain: other, FreeAccelerators: 24, LargestBlock: 12}, other},
		{"too little in one rack", "", port.DomainSummary{Domain: other, FreeAccelerators: 24, LargestBlock: 8}, domain},
		{"others wait there", "", port.DomainSummary{Domain: other, FreeAccelerators: 24, LargestBlock: 12, QueuedJobs: 1}, domain},
		{"pinned", domain, port.DomainSummary{Domain: other, FreeAccelerators: 24, LargestBlock: 12}, domain},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				w := newWorld(t, ctx)
				defer w.wg.Wait()
				defer cancel()
				w.elsewhere = []port.DomainSummary{c.elsewhere}
				w.run(w.table, w.workers)
				for _, id := range []string{"one", "two", "three"} {
					s := spec(id)
					s.Domain = c.pin
					s.Payload = []byte(longTask)
					_, _, err := w.callers().Submit(ctx, s)
					must.NoError(t, err)
				}
				time.Sleep(30 * time.Second)
				must.Eq(t, c.want, w.domainOfWaiting())
			})
		})
	}
}

// domainOfWaiting returns the failure domain of the one job that doesn't run,
// which must have an inbox row there if it was moved.
func (w *world) domainOfWaiting() string {
	w.t.Helper()
	st := store.New(w.table, "reader")
	for _, id := range []string{"one", "two", "three"} {
		k := structs.JobKey{Workspace: "grading", ID: id}
		j, _, err := w.callers().Get(w.ctx, k)
		must.NoError(w.t, err)
		if j.State != structs.JobQueued {
			continue
		}
		rows, err := st.Get(w.ctx, store.SubmissionKey(j.Domain, k), store.QueueKey(j.Domain, k))
		must.NoError(w.t, err)
		if j.Domain != domain {
			must.MapLen(w.t, 2, rows)
		}
		return j.Domain
	}
	return ""
}

// cancelFirst cancels a job just before the commit that hands it over.
type cancelFirst struct {
	port.Table
	w    *world
	done bool
}

func (c *cancelFirst) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	for _, write := range txn.Writes {
		if c.done || !strings.HasPrefix(write.Key, store.QueueDomainPrefix("river-yard")) {
			continue
		}
		c.done = true
		id := write.Key[strings.LastIndex(write.Key, "/")+1:]
		_, _, err := c.w.callers().Cancel(ctx, structs.JobKey{Workspace: "grading", ID: id})
		must.NoError(c.w.t, err)
	}
	return c.Table.Commit(ctx, txn)
}

// Seen failing: without the condition that no cancellation is there, the job
// goes on in the other failure domain.
func TestCancellationIsNotLostAsAJobMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(t, ctx)
		defer w.wg.Wait()
		defer cancel()
		w.elsewhere = []port.DomainSummary{{Domain: "river-yard", FreeAccelerators: 24, LargestBlock: 12}}
		table := &cancelFirst{Table: w.table, w: w}
		w.run(table, w.workers)
		for _, id := range []string{"one", "two", "three"} {
			s := spec(id)
			s.Domain = ""
			s.Payload = []byte(longTask)
			_, _, err := w.callers().Submit(ctx, s)
			must.NoError(t, err)
		}
		time.Sleep(30 * time.Second)
		must.True(t, table.done)
		must.Eq(t, "", w.domainOfWaiting())
	})
}
