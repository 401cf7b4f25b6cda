// Package metrics holds the instance's metrics, scraped by Prometheus. Names
// are prefixed lentilwinch_.
package metrics

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// reportInterval is the time between two reports to the scraped registry.
const reportInterval = time.Second

// Metrics are the metrics of an instance. It is safe for concurrent use.
type Metrics struct {
	// ConfigNumber is the ticket in force.
	ConfigNumber tally.Gauge
	// Ready is 1 while the balancer may send requests.
	Ready tally.Gauge
	// RequestsHeld counts callers waiting for an outcome.
	RequestsHeld tally.Gauge
	// OutcomesUnsettled counts outcomes that couldn't be recorded yet.
	OutcomesUnsettled tally.Gauge
	// LivePeers counts peers that are heard.
	LivePeers tally.Gauge
	// OwnedDomains counts the failure domains owned.
	OwnedDomains tally.Gauge
	// JobsQueued counts jobs waiting in the owned failure domains.
	JobsQueued tally.Gauge

	scope    tally.Scope
	stopped  tally.Counter
	renewals tally.Counter
	handler  http.Handler
}

// waits are the bounds of the histograms of waiting and answering times.
var waits = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 20)

// New returns metrics with a registry of their own.
func New() *Metrics {
	scope, handler := newScope(prometheus.Options{}, reportInterval)
	return &Metrics{
		ConfigNumber:      scope.Gauge("config_number"),
		Ready:             scope.Gauge("ready"),
		RequestsHeld:      scope.Gauge("requests_held"),
		OutcomesUnsettled: scope.Gauge("outcomes_unsettled"),
		LivePeers:         scope.Gauge("live_peers"),
		OwnedDomains:      scope.Gauge("owned_domains"),
		JobsQueued:        scope.Gauge("jobs_queued"),
		scope:             scope,
		stopped:           scope.Counter("gang_attempts_stopped"),
		renewals:          scope.Counter("lease_renewals_failed"),
		handler:           handler,
	}
}

// Handler serves the registry in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// GangStarted implements gangs.Observer.
func (m *Metrics) GangStarted(class structs.Class, waited time.Duration) {
	record(tagged(m.scope, "class", string(class)), "gang_wait_seconds", waited)
}

// AttemptStopped implements gangs.Observer.
func (m *Metrics) AttemptStopped() {
	m.stopped.Inc(1)
}

// JobEnded implements gangs.Observer.
func (m *Metrics) JobEnded(state structs.JobState) {
	tagged(m.scope, "state", string(state)).Counter("jobs_ended").Inc(1)
}

// LeaseRenewalFailed implements gangs.Observer.
func (m *Metrics) LeaseRenewalFailed() {
	m.renewals.Inc(1)
}

// GuaranteesUnheld implements gangs.Observer.
func (m *Metrics) GuaranteesUnheld(domain string, gangs int) {
	tagged(m.scope, "domain", domain).Gauge("guarantees_unheld_gangs").Update(float64(gangs))
}

// newScope returns a scope and the handler that serves what is reported there.
func newScope(options prometheus.Options, interval time.Duration) (tally.Scope, http.Handler) {
	reporter := prometheus.NewReporter(options)
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "lentilwinch",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, interval)
	return scope, reporter.HTTPHandler()
}

// tagged returns the scope with tags, which come as names and values by turns.
func tagged(scope tally.Scope, pairs ...string) tally.Scope {
	tags := make(map[string]string, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		tags[pairs[i]] = pairs[i+1]
	}
	return scope.Tagged(tags)
}

func record(scope tally.Scope, name string, took time.Duration) {
	scope.Histogram(name, waits).RecordDuration(took)
}

// noteCall times a call of a store by its result.
func noteCall(scope tally.Scope, name, call string, began time.Time, err error) {
	record(tagged(scope, "call", call, "result", resultOf(err)), name, time.Since(began))
}
