package gangs

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

const (
	// loadRetryInterval is the delay after a failed load of the jobs.
	loadRetryInterval = 200 * time.Millisecond
	// getBatch is the number of rows that one Get requests.
	getBatch = 200
)

// QueueRecord is the row of a job that isn't in a final state, whether queued or
// running, in the failure domain's queue index.
type QueueRecord struct {
	Key structs.JobKey `cbor:"1,keyasint"`
}

// InboxRecord is the inbox row of a submission or, if Cancel is set, of a
// cancellation.
type InboxRecord struct {
	Key    structs.JobKey `cbor:"1,keyasint"`
	Cancel bool           `cbor:"2,keyasint"`
}

// load reads every job of the failure domain and resumes their transitions. It
// retries failed reads until ctx is done and then returns ctx's error.
func (r *Runner) load(ctx context.Context) error {
	for {
		keys, err := r.readQueueIndex(ctx)
		if err == nil {
			err = r.readJobs(ctx, keys)
		}
		if err == nil {
			r.log.Info("domain_loaded", zap.Int("jobs", len(r.entries)))
			r.recover(ctx)
			return nil
		}
		r.log.Warn("domain_load_failed", zap.Error(err))
		if err := wait.For(ctx, loadRetryInterval); err != nil {
			return err
		}
	}
}

func (r *Runner) readQueueIndex(ctx context.Context) ([]structs.JobKey, error) {
	rows, err := r.deps.Store.ScanAll(ctx, store.QueueDomainPrefix(r.grant.Domain), r.settings.CallTimeout)
	if err != nil {
		return nil, err
	}
	keys := make([]structs.JobKey, 0, len(rows))
	for _, row := range rows {
		var rec QueueRecord
		if err := store.Decode(row, &rec); err != nil {
			return nil, err
		}
		keys = append(keys, rec.Key)
	}
	return keys, nil
}

// readJobs reads job rows and adds an entry for each job that has none.
func (r *Runner) readJobs(ctx context.Context, keys []structs.JobKey) error {
	for len(keys) > 0 {
		n := min(len(keys), getBatch)
		if err := r.readBatch(ctx, keys[:n]); err != nil {
			return err
		}
		keys = keys[n:]
	}
	return nil
}

func (r *Runner) readBatch(ctx context.Context, keys []structs.JobKey) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	found, err := readJobRows(ctx, r.deps.Store, keys)
	if err != nil {
		return err
	}
	for _, f := range found {
		r.add(f)
	}
	return nil
}

// jobRow is a job with its row's revision.
type jobRow struct {
	job      structs.Job
	revision int64
}

func readJobRows(ctx context.Context, st *store.Store, keys []structs.JobKey) ([]jobRow, error) {
	rowKeys := make([]string, len(keys))
	for i, k := range keys {
		rowKeys[i] = store.JobKey(k)
	}
	rows, err := st.Get(ctx, rowKeys...)
	if err != nil {
		return nil, err
	}
	out := make([]jobRow, 0, len(rows))
	for _, key := range rowKeys {
		row, ok := rows[key]
		if !ok {
			continue
		}
		var j structs.Job
		if err := store.Decode(row, &j); err != nil {
			return nil, err
		}
		out = append(out, jobRow{job: j, revision: row.Revision})
	}
	return out, nil
}

// add adds an entry for a job that has none and returns the job's entry. It
// returns nil for a job in a final state or in another failure domain.
func (r *Runner) add(row jobRow) *entry {
	k := row.job.Spec.Key
	if e, ok := r.entries[k]; ok {
		return e
	}
	if row.job.State.Final() || row.job.Domain != r.grant.Domain {
		return nil
	}
	e := &entry{queuedAt: row.job.Submitted, addedAt: time.Now()}
	r.entries[k] = e
	r.setJob(e, row.job, row.revision)
	return e
}

// setJob sets an entry's job and revision and updates the lease index.
func (r *Runner) setJob(e *entry, j structs.Job, revision int64) {
	for _, m := range e.job.Members {
		delete(r.byLease, m.Lease)
	}
	if j.Attempt != e.job.Attempt || len(e.memberStates) != len(j.Members) {
		e.memberStates = make([]structs.TaskState, len(j.Members))
	}
	e.job = j
	e.revision = revision
	for i, m := range j.Members {
		r.byLease[m.Lease] = leaseRef{key: j.Spec.Key, member: i}
	}
}

// recover completes or rolls back the transitions that the previous owner left
// unfinished. The previous owner may have renewed leases until now, and may
// still send a renewal after a pause, so they count as held for twice
// LeaseExpiry.
func (r *Runner) recover(ctx context.Context) {
	leaseExpiry := time.Now().Add(2 * r.settings.LeaseExpiry())
	for _, e := range r.entries {
		e.leaseExpiry = leaseExpiry
		e.expectedRun = r.expectedRun(e.job.Spec)
		switch e.job.State {
		case structs.JobReserving:
			r.stop(ctx, e, structs.JobQueued, "owner changed while reserving", false)
		case structs.JobRunning:
			// The first renewal reports which members still need a start.
			r.leases.add(e.job.Members)
		case structs.JobStopping:
			e.stoppingSince = time.Now()
			r.startOperation(ctx, e, func(ctx context.Context, o *operation) error { return o.finishStop(ctx) })
		}
	}
}

// pollInbox reads the inbox in a separate goroutine, unless a read is already
// in progress.
func (r *Runner) pollInbox(ctx context.Context) {
	if r.readingInbox {
		return
	}
	r.readingInbox = true
	r.spawn(func() {
		in := r.readInbox(ctx)
		// The only error is ctx's, which also stops the runner.
		_ = r.events.PushWait(ctx, event{inbox: &in})
	})
}

// inboxRead is the result of one poll of the inbox.
type inboxRead struct {
	submissions   []submission
	cancellations []cancellation
}

// submission is a submitted job with its inbox row. found is false if the
// job's row doesn't exist or couldn't be read.
type submission struct {
	inboxRow
	job   jobRow
	found bool
}

// cancellation is a request to cancel a job, with its inbox row.
type cancellation struct {
	inboxRow
	job structs.JobKey
}

// inboxRow identifies an inbox row at a revision.
type inboxRow struct {
	key      string
	revision int64
}

func (r *Runner) readInbox(ctx context.Context) inboxRead {
	rows, err := r.deps.Store.ScanAll(ctx, store.InboxDomainPrefix(r.grant.Domain), r.settings.CallTimeout)
	if err != nil {
		r.log.Warn("inbox_read_failed", zap.Error(err))
		return inboxRead{}
	}
	var in inboxRead
	var keys []structs.JobKey
	for _, row := range rows {
		var rec InboxRecord
		if err := store.Decode(row, &rec); err != nil {
			r.log.Error("inbox_row_invalid", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		rowRef := inboxRow{key: row.Key, revision: row.Revision}
		if rec.Cancel {
			in.cancellations = append(in.cancellations, cancellation{inboxRow: rowRef, job: rec.Key})
			continue
		}
		in.submissions = append(in.submissions, submission{inboxRow: rowRef})
		keys = append(keys, rec.Key)
	}
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	r.readSubmitted(ctx, in.submissions, keys)
	return in
}

// readSubmitted fills in the jobs of submissions. The next poll retries those
// that weren't found.
func (r *Runner) readSubmitted(ctx context.Context, submissions []submission, keys []structs.JobKey) {
	found := make(map[structs.JobKey]jobRow, len(keys))
	for start := 0; start < len(keys); start += getBatch {
		rows, err := readJobRows(ctx, r.deps.Store, keys[start:min(start+getBatch, len(keys))])
		if err != nil {
			r.log.Warn("inbox_jobs_read_failed", zap.Error(err))
			break
		}
		for _, row := range rows {
			found[row.job.Spec.Key] = row
		}
	}
	for i, k := range keys {
		submissions[i].job, submissions[i].found = found[k]
	}
}

// deleteInboxRows deletes inbox rows in one commit. After a failure the next
// poll retries.
func (r *Runner) deleteInboxRows(ctx context.Context, rows []inboxRow) {
	ctx, cancel := context.WithTimeout(ctx, r.settings.CallTimeout)
	defer cancel()
	txn := r.grant.Require(new(store.Txn))
	for _, row := range rows {
		txn.Require(row.key, row.revision).Delete(row.key)
	}
	if _, err := r.deps.Store.Commit(ctx, txn); err != nil {
		r.log.Debug("inbox_rows_not_dropped", zap.Error(err))
	}
}

// checkpointObject returns the object name for a new checkpoint of the job. The
// name contains the current time.
func checkpointObject(j structs.Job) string {
	return strings.Join([]string{"checkpoint", j.Spec.Key.String(), time.Now().UTC().Format("20060102T150405.000")}, "/")
}
