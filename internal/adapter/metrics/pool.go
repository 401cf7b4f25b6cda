package metrics

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lentilwinch/lentilwinch/internal/port"
)

// poolReportInterval is the time between two reports to the scraped registry.
// The platform scrapes every 5 s, and each report costs processor time.
const poolReportInterval = 2 * time.Second

// Pool are the metrics of an instance that serves pools. It implements
// pool.Observer. It is safe for concurrent use.
type Pool struct {
	// ConfigVersion is the configuration in force.
	ConfigVersion tally.Gauge
	// ConfigAge is for how long it has been in force, in seconds.
	ConfigAge tally.Gauge
	// FeedAge is the age of the copy of the store, in seconds.
	FeedAge tally.Gauge
	// StoreAway is for how long the store has not answered, in seconds.
	StoreAway tally.Gauge
	// StoreDirectDown is for how long the store was reached through peers only,
	// in seconds.
	StoreDirectDown tally.Gauge
	// LogLinesDropped counts log lines that found the writer too slow.
	LogLinesDropped tally.Gauge
	// LogLinesLeftOut counts log lines over their event's budget.
	LogLinesLeftOut tally.Gauge

	scope   tally.Scope
	handler http.Handler

	mu         sync.Mutex
	counters   map[series]tally.Counter
	gauges     map[series]tally.Gauge
	histograms map[series]tally.Histogram
}

// series names one metric with the values of its tags.
type series struct{ name, tag, value, tag2, value2 string }

func (s series) tags() map[string]string {
	tags := map[string]string{}
	if s.tag != "" {
		tags[s.tag] = s.value
	}
	if s.tag2 != "" {
		tags[s.tag2] = s.value2
	}
	return tags
}

// NewPool returns metrics with a registry of their own.
func NewPool() *Pool {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "lentilwinch",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, poolReportInterval)
	return &Pool{
		ConfigVersion:   scope.Gauge("config_version"),
		ConfigAge:       scope.Gauge("config_age_seconds"),
		FeedAge:         scope.Gauge("feed_age_seconds"),
		StoreAway:       scope.Gauge("store_away_seconds"),
		StoreDirectDown: scope.Gauge("store_direct_down_seconds"),
		LogLinesDropped: scope.Gauge("log_lines_dropped"),
		LogLinesLeftOut: scope.Gauge("log_lines_left_out"),
		scope:           scope,
		handler:         reporter.HTTPHandler(),
		counters:        map[series]tally.Counter{},
		gauges:          map[series]tally.Gauge{},
		histograms:      map[series]tally.Histogram{},
	}
}

// Handler serves the registry in the Prometheus text format.
func (p *Pool) Handler() http.Handler { return p.handler }

// of returns the metric of a series, which is made when it is first needed.
func of[M any](p *Pool, known map[series]M, s series, create func(tally.Scope, string) M) M {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := known[s]
	if !ok {
		m = create(p.scope.Tagged(s.tags()), s.name)
		known[s] = m
	}
	return m
}

func (p *Pool) count(s series) {
	of(p, p.counters, s, tally.Scope.Counter).Inc(1)
}

func (p *Pool) gauge(s series, value float64) {
	of(p, p.gauges, s, tally.Scope.Gauge).Update(value)
}

func (p *Pool) record(s series, took time.Duration) {
	of(p, p.histograms, s, func(scope tally.Scope, name string) tally.Histogram {
		return scope.Histogram(name, waits)
	}).RecordDuration(took)
}

// Calls returns a handler whose calls are counted and timed by method and status.
func (p *Pool) Calls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		sw := &statusWriter{w, http.StatusOK}
		next.ServeHTTP(sw, r)
		p.record(series{"call_seconds", "method", methodTag(r.Method), "status", strconv.Itoa(sw.status)}, time.Since(began))
	})
}

// methodTag bounds the series that callers can make.
func methodTag(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

// statusWriter remembers the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Decided implements pool.Observer.
func (p *Pool) Decided(event string) {
	p.count(series{name: "pool_events", tag: "event", value: event})
}

// JobStarted implements pool.Observer.
func (p *Pool) JobStarted(priority int, waited time.Duration) {
	p.record(series{name: "job_wait_seconds", tag: "priority", value: strconv.Itoa(priority)}, waited)
}

// JobEnded implements pool.Observer.
func (p *Pool) JobEnded(priority int, state string, took time.Duration) {
	p.record(series{"job_seconds", "priority", strconv.Itoa(priority), "state", state}, took)
}

// RunEnded implements pool.Observer.
func (p *Pool) RunEnded(how string) { p.count(series{name: "runs_ended", tag: "how", value: how}) }

// WorkLost implements pool.Observer.
func (p *Pool) WorkLost(cause string, coreSeconds float64) {
	of(p, p.counters, series{name: "core_seconds_lost", tag: "cause", value: cause}, tally.Scope.Counter).Inc(int64(coreSeconds + 0.5))
}

// LeaseMargin implements pool.Observer.
func (p *Pool) LeaseMargin(left time.Duration) {
	p.record(series{name: "lease_margin_seconds"}, max(left, 0))
}

// TakenOver implements pool.Observer.
func (p *Pool) TakenOver(took time.Duration) { p.record(series{name: "takeover_seconds"}, took) }

// Owning implements pool.Observer.
func (p *Pool) Owning(pool string, owns bool, waiting, running int) {
	owned := 0.0
	if owns {
		owned = 1
	}
	p.gauge(series{name: "pools_owned", tag: "pool", value: pool}, owned)
	p.gauge(series{name: "jobs_waiting", tag: "pool", value: pool}, float64(waiting))
	p.gauge(series{name: "jobs_running", tag: "pool", value: pool}, float64(running))
}

// RowStore returns a store whose calls are counted and timed by their result.
func (p *Pool) RowStore(next port.RowStore) port.RowStore { return &rowStore{next, p} }

type rowStore struct {
	port.RowStore
	metrics *Pool
}

func (r *rowStore) note(call string, began time.Time, err error) {
	r.metrics.record(series{"store_call_seconds", "call", call, "result", resultOf(err)}, time.Since(began))
}

// Commit implements port.RowStore.
func (r *rowStore) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	began := time.Now()
	version, err := r.RowStore.Commit(ctx, txn)
	r.note("commit", began, err)
	return version, err
}

// Scan implements port.RowStore.
func (r *rowStore) Scan(ctx context.Context, table, part, from, to string) ([]port.VersionedRow, int64, error) {
	began := time.Now()
	rows, version, err := r.RowStore.Scan(ctx, table, part, from, to)
	r.note("scan", began, err)
	return rows, version, err
}

// Parts implements port.RowStore.
func (r *rowStore) Parts(ctx context.Context, table string) ([]string, error) {
	began := time.Now()
	parts, err := r.RowStore.Parts(ctx, table)
	r.note("parts", began, err)
	return parts, err
}

// Feed implements port.RowStore.
func (r *rowStore) Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]port.VersionedRow, int64, error) {
	began := time.Now()
	rows, version, err := r.RowStore.Feed(ctx, table, after, wait)
	r.note("feed", began, err)
	return rows, version, err
}
