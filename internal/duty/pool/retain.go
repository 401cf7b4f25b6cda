package pool

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

const (
	// retentionInterval is the delay between rounds of removing jobs.
	retentionInterval = 10 * time.Second
	// retentionSlack is added to the time for which an ended job can be queried, so
	// that a late duplicate of its submission still finds it.
	retentionSlack = time.Minute
	// maxRemovalsPerRound bounds the jobs removed in one round.
	maxRemovalsPerRound = 50
)

// removeEndedJobs removes the rows of ended jobs after their retention time, until ctx
// ends.
func (o *Owner) removeEndedJobs(ctx context.Context) {
	for wait.For(ctx, retentionInterval) == nil {
		now, ok := o.deps.Store.Now()
		if !ok {
			continue
		}
		removed := 0
		for _, v := range o.deps.Replica.Jobs(o.pool) {
			if removed == maxRemovalsPerRound || ctx.Err() != nil {
				break
			}
			ended := v.Record.State.Ended() && v.Record.EndedAt > 0
			if ended && now-v.Record.EndedAt > o.deps.Retention+retentionSlack {
				o.removeJob(ctx, &v)
				removed++
			}
		}
	}
}

// removeJob removes the rows of an ended job and its cancellation, those in other pools
// first and the row that tells its end last: with only another row the job would count as
// open. It gives up if a row has changed since v was read.
func (o *Owner) removeJob(ctx context.Context, v *replica.JobView) {
	id := v.Record.Job.ID
	var txns []port.RowTxn
	strays := map[string][]replica.JobRow{}
	for _, row := range v.Strays {
		strays[row.Record.Job.Pool] = append(strays[row.Record.Job.Pool], row)
	}
	for pool, rows := range strays {
		open, ended := removals(pool, id, rows)
		txns = append(append(txns, open...), ended...)
	}
	open, last := removals(o.pool, id, v.Rows)
	txns = append(txns, open...)
	for _, txn := range append(txns, last...) {
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		_, err := o.deps.Store.Commit(call, txn)
		cancel()
		if err != nil && !isGone(err, txn) {
			o.log.Info("ended job not removed yet", zap.String("job", id), zap.String("part", txn.Deletes[0].Partition), zap.Error(err))
			return
		}
	}
	o.post(event{kind: evJobRemoved, job: id})
}

// removals returns the transactions that remove a job's rows in a pool and its cancellation
// there, those of rows that tell the job's end apart from the others.
func removals(pool, id string, rows []replica.JobRow) (open, ended []port.RowTxn) {
	cancels := replica.CancelKeys(pool, id)
	for i, key := range replica.JobKeys(pool, id) {
		txn := port.RowTxn{ExpectedVersions: map[port.RowKey]int64{key: 0}, Deletes: []port.RowKey{cancels[i]}}
		ends := false
		for _, row := range rows {
			if row.Partition == key.Partition {
				txn.ExpectedVersions[key] = row.Version
				txn.Deletes = append(txn.Deletes, key)
				ends = row.Record.State.Ended()
			}
		}
		if ends {
			ended = append(ended, txn)
		} else {
			open = append(open, txn)
		}
	}
	return open, ended
}

// isGone reports whether the transaction failed because its rows are gone already, as after
// an attempt whose answer was lost.
func isGone(err error, txn port.RowTxn) bool {
	var conflict *port.RowConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	for key := range txn.ExpectedVersions {
		if _, found := conflict.Row(key); found {
			return false
		}
	}
	return true
}

// dropJob deletes the in-memory state of a removed job.
func (o *Owner) dropJob(id string) {
	delete(o.writer.added, id)
	delete(o.writer.latest, id)
	o.earlyStarts.dropped(id)
	for _, key := range replica.JobKeys(o.pool, id) {
		delete(o.writer.versions, jobRowKey{key.Partition, id})
	}
	o.log.Info("ended job removed", zap.String("job", id))
}
