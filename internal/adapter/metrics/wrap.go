package metrics

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/adapter/api"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Table wraps t with a histogram of call durations by call and result and a
// counter of the rows that commits write, including failed commits.
func (m *Metrics) Table(t port.Table) port.Table {
	return &table{next: t, metrics: m}
}

type table struct {
	next    port.Table
	metrics *Metrics
}

// Get implements port.Table.
func (t *table) Get(ctx context.Context, keys ...string) ([]port.Row, error) {
	start := time.Now()
	rows, err := t.next.Get(ctx, keys...)
	t.recordCall("get", start, err)
	return rows, err
}

// Scan implements port.Table.
func (t *table) Scan(ctx context.Context, prefix, after string, limit int) ([]port.Row, bool, error) {
	start := time.Now()
	rows, more, err := t.next.Scan(ctx, prefix, after, limit)
	t.recordCall("scan", start, err)
	return rows, more, err
}

// Commit implements port.Table.
func (t *table) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	start := time.Now()
	revision, err := t.next.Commit(ctx, txn)
	t.recordCall("commit", start, err)
	t.metrics.scope.Counter("table_rows_written").Inc(int64(len(txn.Writes)))
	return revision, err
}

func (t *table) recordCall(call string, start time.Time, err error) {
	recordStoreCall(t.metrics.scope, "table_call_seconds", call, start, err)
}

// resultOf returns the value of the tag "result": "ok" or the fault code of err.
func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	return string(fault.CodeOf(err))
}

// Requests wraps r with a histogram of request durations by outcome.
func (m *Metrics) Requests(r api.Requests) api.Requests {
	return &requests{next: r, metrics: m}
}

type requests struct {
	next    api.Requests
	metrics *Metrics
}

// Do implements api.Requests.
func (r *requests) Do(ctx context.Context, req structs.Request) (structs.Result, error) {
	start := time.Now()
	res, err := r.next.Do(ctx, req)
	outcome := res.Outcome.String()
	if err != nil {
		outcome = "not_accepted"
	}
	recordDuration(withTags(r.metrics.scope, "outcome", outcome), "request_seconds", time.Since(start))
	return res, err
}
