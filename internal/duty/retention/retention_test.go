package retention

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

var testSettings = Settings{
	Interval: 2 * time.Second,
	PageSize: 10,
	Timeout:  time.Second,
	ClaimAge: 24 * time.Hour,
	JobAge:   7 * 24 * time.Hour,
}

func job(id string, state structs.JobState, ended time.Time) structs.Job {
	return structs.Job{Spec: structs.JobSpec{Key: structs.JobKey{Workspace: "w", ID: id}}, State: state, Ended: ended}
}

// Guards against a sweeper that ignores the state of a job and against one
// that never moves on to the next page.
func TestSweeperDeletesOnlyOldFinishedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		table := fake.NewTable()
		st := store.New(table, "test")
		var keep []string
		for i := range 30 {
			jobs := []structs.Job{
				job(fmt.Sprint("running-", i), structs.JobRunning, time.Time{}),
				job(fmt.Sprint("fresh-", i), structs.JobSucceeded, time.Now().Add(-time.Hour)),
				job(fmt.Sprint("old-", i), structs.JobFailed, time.Now().Add(-8*24*time.Hour)),
			}
			for n, j := range jobs {
				key := store.JobKey(j.Spec.Key)
				_, err := st.Commit(ctx, new(store.Txn).Create(key, j))
				must.NoError(t, err)
				if n < 2 {
					keep = append(keep, key)
				}
			}
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = New(testSettings, st, func() bool { return true }, zap.NewNop()).Run(ctx)
		}()
		time.Sleep(time.Minute)
		cancel()
		<-done
		rows, err := st.ScanAll(context.Background(), store.JobPrefix, 0)
		must.NoError(t, err)
		must.SliceLen(t, len(keep), rows)
		for _, row := range rows {
			must.SliceContains(t, keep, row.Key)
		}
	})
}

// The page size and the interval bound the share of the table's load that the
// sweeper takes.
func TestSweepRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		table := fake.NewTable()
		st := store.New(table, "test")
		for i := range 2000 {
			_, err := st.Commit(ctx, new(store.Txn).Create(fmt.Sprintf("%sw/%04d", store.JobPrefix, i), job("j", structs.JobFailed, time.Time{})))
			must.NoError(t, err)
		}
		before := table.Counts()
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = New(testSettings, st, func() bool { return true }, zap.NewNop()).Run(ctx)
		}()
		time.Sleep(time.Minute)
		cancel()
		<-done
		pages := int64(time.Minute / testSettings.Interval)
		must.LessEq(t, pages*int64(testSettings.PageSize), table.Counts().RowsRead-before.RowsRead)
		must.LessEq(t, pages*int64(testSettings.PageSize), table.Counts().RowsWritten-before.RowsWritten)
		must.Positive(t, table.Counts().RowsWritten-before.RowsWritten)
	})
}
