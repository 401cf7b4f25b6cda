package metrics

import (
	"context"
	"net/http"
	"strconv"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lentilwinch/lentilwinch/internal/ingress"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

// poolReportInterval is the interval of reports to the Prometheus registry. The
// platform scrapes every 5 s, so more frequent reports would only cost CPU time.
const poolReportInterval = 2 * time.Second

// Pool holds the metrics of an instance that serves pools. It implements
// pool.Observer and intake.Observer and is safe for concurrent use.
type Pool struct {
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion tally.Gauge
	// ConfigAge is the time since this instance applied the configuration, in
	// seconds.
	ConfigAge tally.Gauge
	// ConfigReadAge is the time since the configuration was last known to be the
	// newest one, in seconds.
	ConfigReadAge tally.Gauge
	// EvacuatedDomains is the number of failure domains that this instance knows to be
	// evacuated.
	EvacuatedDomains tally.Gauge
	// ReplicaAge is the age of the local replica of the store, in seconds.
	ReplicaAge tally.Gauge
	// StoreUnavailable is the time for which the store has been unavailable, in
	// seconds.
	StoreUnavailable tally.Gauge
	// StoreDirectFailing is the time for which direct calls to the store have
	// failed, in seconds, whether or not it is reachable through peers.
	StoreDirectFailing tally.Gauge
	// IngressBytesHeld is the size of the bodies that are being received or wait to be
	// processed, and IngressConnections the number of accepted connections.
	IngressBytesHeld   tally.Gauge
	IngressConnections tally.Gauge
	// LogLinesDropped is the number of log lines dropped because the writer was
	// too slow.
	LogLinesDropped tally.Gauge
	// LogLinesSampledOut is the number of log lines dropped because they exceeded
	// the budget of their event.
	LogLinesSampledOut tally.Gauge

	scope   tally.Scope
	handler http.Handler
}

// NewPool returns metrics with their own Prometheus registry.
func NewPool() *Pool {
	registry := prom.NewRegistry()
	scope, handler := newScope(prometheus.Options{Registerer: registry, Gatherer: registry}, poolReportInterval)
	return &Pool{
		ConfigVersion:      scope.Gauge("config_version"),
		ConfigAge:          scope.Gauge("config_age_seconds"),
		ConfigReadAge:      scope.Gauge("config_read_age_seconds"),
		EvacuatedDomains:   scope.Gauge("evacuated_domains"),
		ReplicaAge:         scope.Gauge("feed_age_seconds"),
		StoreUnavailable:   scope.Gauge("store_away_seconds"),
		StoreDirectFailing: scope.Gauge("store_direct_down_seconds"),
		IngressBytesHeld:   scope.Gauge("ingress_bytes_held"),
		IngressConnections: scope.Gauge("ingress_connections"),
		LogLinesDropped:    scope.Gauge("log_lines_dropped"),
		LogLinesSampledOut: scope.Gauge("log_lines_left_out"),
		scope:              scope,
		handler:            handler,
	}
}

// Handler returns the handler that serves the registry in the Prometheus text
// format.
func (p *Pool) Handler() http.Handler { return p.handler }

// Calls wraps next with a histogram of call durations by method and status.
func (p *Pool) Calls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		sw := &statusWriter{w, http.StatusOK}
		next.ServeHTTP(sw, r)
		recordDuration(withTags(p.scope, "method", methodTag(r.Method), "status", strconv.Itoa(sw.status)), "call_seconds", time.Since(start))
	})
}

// methodTag returns the tag for a method. Unusual methods share one tag, which
// bounds the number of series that callers can create.
func methodTag(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

// statusWriter records the status code of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// IngressRefused counts a body or connection that was refused or aborted.
func (p *Pool) IngressRefused(reason ingress.Reason) { countRefusal(p.scope, reason) }

// EventLogged implements pool.Observer.
func (p *Pool) EventLogged(event string) {
	withTags(p.scope, "event", event).Counter("pool_events").Inc(1)
}

// JobStarted implements pool.Observer.
func (p *Pool) JobStarted(priority int, waited time.Duration) {
	recordDuration(withTags(p.scope, "priority", strconv.Itoa(priority)), "job_wait_seconds", waited)
}

// JobEnded implements pool.Observer.
func (p *Pool) JobEnded(priority int, state string, took time.Duration) {
	recordDuration(withTags(p.scope, "priority", strconv.Itoa(priority), "state", state), "job_seconds", took)
}

// RunEnded implements pool.Observer.
func (p *Pool) RunEnded(kind string) { withTags(p.scope, "how", kind).Counter("runs_ended").Inc(1) }

// WorkDiscarded implements pool.Observer.
func (p *Pool) WorkDiscarded(cause string, coreSeconds float64) {
	withTags(p.scope, "cause", cause).Counter("core_seconds_lost").Inc(int64(coreSeconds + 0.5))
}

// LeaseMargin implements pool.Observer.
func (p *Pool) LeaseMargin(left time.Duration) {
	recordDuration(p.scope, "lease_margin_seconds", max(left, 0))
}

// TakeoverFinished implements pool.Observer.
func (p *Pool) TakeoverFinished(took time.Duration) {
	recordDuration(p.scope, "takeover_seconds", took)
}

// ReportOwnership implements pool.Observer.
func (p *Pool) ReportOwnership(pool string, owns bool, waiting, running int) {
	owned := 0.0
	if owns {
		owned = 1
	}
	scope := withTags(p.scope, "pool", pool)
	scope.Gauge("pools_owned").Update(owned)
	scope.Gauge("jobs_waiting").Update(float64(waiting))
	scope.Gauge("jobs_running").Update(float64(running))
}

// ReportSpeedSpread implements pool.Observer.
func (p *Pool) ReportSpeedSpread(pool string, spread float64) {
	withTags(p.scope, "pool", pool).Gauge("pool_speed_spread").Update(spread)
}

// SubmissionRefused implements intake.Observer.
func (p *Pool) SubmissionRefused(priority int, reason string) {
	withTags(p.scope, "priority", strconv.Itoa(priority), "reason", reason).Counter("submissions_refused").Inc(1)
}

// DryRun counts the answer to a dry run. verdict is empty if there was none.
func (p *Pool) DryRun(verdict string) { countDryRun(p.scope, verdict) }

// ReportForecast records the longest wait that is forecast for new jobs of a priority in a
// pool.
func (p *Pool) ReportForecast(pool string, priority int, wait time.Duration) {
	withTags(p.scope, "pool", pool, "priority", strconv.Itoa(priority)).Gauge("forecast_wait_seconds").Update(wait.Seconds())
}

// ReportForecastAge records the age of a pool's forecast, 0 if there is none.
func (p *Pool) ReportForecastAge(pool string, age time.Duration) {
	withTags(p.scope, "pool", pool).Gauge("forecast_age_seconds").Update(age.Seconds())
}

// RowStore wraps next with a histogram of call durations by call and result. The
// durations of Watch include its wait for changes.
func (p *Pool) RowStore(next port.RowStore) port.RowStore { return &rowStore{next, p} }

type rowStore struct {
	port.RowStore
	metrics *Pool
}

func (r *rowStore) recordCall(call string, start time.Time, err error) {
	recordStoreCall(r.metrics.scope, "store_call_seconds", call, start, err)
}

// Commit implements port.RowStore.
func (r *rowStore) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	start := time.Now()
	version, err := r.RowStore.Commit(ctx, txn)
	r.recordCall("commit", start, err)
	return version, err
}

// Scan implements port.RowStore.
func (r *rowStore) Scan(ctx context.Context, table, partition, from, to string) ([]port.VersionedRow, int64, error) {
	start := time.Now()
	rows, version, err := r.RowStore.Scan(ctx, table, partition, from, to)
	r.recordCall("scan", start, err)
	return rows, version, err
}

// Partitions implements port.RowStore.
func (r *rowStore) Partitions(ctx context.Context, table string) ([]string, error) {
	start := time.Now()
	partitions, err := r.RowStore.Partitions(ctx, table)
	r.recordCall("parts", start, err)
	return partitions, err
}

// Watch implements port.RowStore.
func (r *rowStore) Watch(ctx context.Context, table string, after int64, wait time.Duration) ([]port.VersionedRow, int64, error) {
	start := time.Now()
	rows, version, err := r.RowStore.Watch(ctx, table, after, wait)
	r.recordCall("feed", start, err)
	return rows, version, err
}
