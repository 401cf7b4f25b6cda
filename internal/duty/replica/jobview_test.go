package replica

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// rowOf returns a row of job "a" in the k-th partition of a pool.
func rowOf(t rapid.TB, pool string, k int, version int64, rec work.Record) port.VersionedRow {
	rec.Job.ID, rec.Job.Pool, rec.Job.Queue = "a", pool, "q"
	value, err := work.Encode(rec)
	must.NoError(t, err)
	return port.VersionedRow{RowKey: JobKeys(pool, "a")[k], Value: value, Version: version}
}

func poolAfter(rows []port.VersionedRow) string {
	r := New(nil, zap.NewNop(), func() time.Duration { return 0 })
	r.apply(rows)
	v, _ := r.Job("a")
	return v.Record.Job.Pool
}

// Guards against owners that disagree about a job's pool, as they have read its rows in
// another order or know only the states of jobs.
func TestPoolOfJobDoesNotDependOnTheOrderOfRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rows []port.VersionedRow
		for i := range rapid.IntRange(1, 6).Draw(t, "rows") {
			rec := work.Record{State: rapid.SampledFrom([]work.State{work.Queued, work.Running, work.Completed}).Draw(t, "state"), Job: work.Job{SubmittedAt: time.Duration(rapid.IntRange(0, 2).Draw(t, "submitted"))}}
			if rec.State != work.Queued {
				rec.Sequence = rapid.Int64Range(1, 3).Draw(t, "sequence")
			}
			row := rowOf(t, rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "pool"), rapid.IntRange(0, 2).Draw(t, "key"), int64(i+1), rec)
			if !slices.ContainsFunc(rows, func(o port.VersionedRow) bool { return o.RowKey == row.RowKey }) {
				rows = append(rows, row)
			}
		}
		want := poolAfter(rows)
		must.EqOp(t, want, poolAfter(rapid.Permutation(rows).Draw(t, "order")))
		r := New(nil, zap.NewNop(), func() time.Duration { return 0 })
		r.subs[&Subscription{replica: r}] = struct{}{} // its records are complete
		r.apply(rows)
		v, _ := r.Job("a")
		must.EqOp(t, want, v.Record.Job.Pool)
	})
}

// Guards against a job that changes its pool after an owner has taken it.
func TestJobStaysInThePoolThatTookIt(t *testing.T) {
	first := rowOf(t, "p", 0, 1, work.Record{State: work.Queued})
	second := rowOf(t, "q", 0, 2, work.Record{State: work.Queued})
	taken := rowOf(t, "p", 0, 3, work.Record{State: work.Running, Sequence: 1 << 32})
	elsewhere := rowOf(t, "p", 1, 4, work.Record{State: work.Completed, Sequence: 1<<32 | 1})
	removed := port.VersionedRow{RowKey: elsewhere.RowKey, Version: 5, Deleted: true}
	changes := []port.VersionedRow{first, second, taken, elsewhere, removed}
	for n := 1; n <= len(changes); n++ {
		must.EqOp(t, "p", poolAfter(changes[:n]))
	}
}
