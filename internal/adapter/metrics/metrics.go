// Package metrics provides the metrics of an instance for Prometheus. All names
// have the prefix lentilwinch_.
package metrics

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/lentilwinch/lentilwinch/internal/ingress"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// reportInterval is the interval of reports to the Prometheus registry.
const reportInterval = time.Second

// Metrics holds the metrics of an instance. It is safe for concurrent use.
type Metrics struct {
	// ConfigNumber is the number of the ticket in force.
	ConfigNumber tally.Gauge
	// EvacuatedDomains counts the evacuated failure domains.
	EvacuatedDomains tally.Gauge
	// Ready is 1 while the instance is ready for requests from the load
	// balancer, otherwise 0.
	Ready tally.Gauge
	// RequestsHeld is the number of callers waiting for an outcome.
	RequestsHeld tally.Gauge
	// OutcomesUnresolved is the number of outcomes that wait to be recorded in the
	// background, because their first write failed or took too long.
	OutcomesUnresolved tally.Gauge
	// LivePeers is the number of peers with a live link.
	LivePeers tally.Gauge
	// OwnedDomains is the number of failure domains owned.
	OwnedDomains tally.Gauge
	// IngressBytesHeld is the size of the bodies that are being received or wait to be
	// processed, and IngressConnections the number of accepted connections.
	IngressBytesHeld   tally.Gauge
	IngressConnections tally.Gauge
	// JobsQueued is the number of jobs queued in the owned failure domains.
	JobsQueued tally.Gauge

	scope           tally.Scope
	attemptsStopped tally.Counter
	renewalsFailed  tally.Counter
	handler         http.Handler
}

// durationBuckets are the bucket bounds of all duration histograms, from 1 ms to
// 524 s.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 20)

// New returns metrics that use the default Prometheus registry.
func New() *Metrics {
	scope, handler := newScope(prometheus.Options{}, reportInterval)
	return &Metrics{
		ConfigNumber:       scope.Gauge("config_number"),
		EvacuatedDomains:   scope.Gauge("evacuated_domains"),
		Ready:              scope.Gauge("ready"),
		RequestsHeld:       scope.Gauge("requests_held"),
		OutcomesUnresolved: scope.Gauge("outcomes_unsettled"),
		LivePeers:          scope.Gauge("live_peers"),
		OwnedDomains:       scope.Gauge("owned_domains"),
		IngressBytesHeld:   scope.Gauge("ingress_bytes_held"),
		IngressConnections: scope.Gauge("ingress_connections"),
		JobsQueued:         scope.Gauge("jobs_queued"),
		scope:              scope,
		attemptsStopped:    scope.Counter("gang_attempts_stopped"),
		renewalsFailed:     scope.Counter("lease_renewals_failed"),
		handler:            handler,
	}
}

// Handler returns the handler that serves the registry in the Prometheus text
// format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// GangStarted implements gangs.Observer.
func (m *Metrics) GangStarted(class structs.Class, waited time.Duration) {
	recordDuration(withTags(m.scope, "class", string(class)), "gang_wait_seconds", waited)
}

// AttemptStopped implements gangs.Observer.
func (m *Metrics) AttemptStopped() {
	m.attemptsStopped.Inc(1)
}

// JobEnded implements gangs.Observer.
func (m *Metrics) JobEnded(state structs.JobState) {
	withTags(m.scope, "state", string(state)).Counter("jobs_ended").Inc(1)
}

// LeaseRenewalFailed implements gangs.Observer.
func (m *Metrics) LeaseRenewalFailed() {
	m.renewalsFailed.Inc(1)
}

// GuaranteesUnmet implements gangs.Observer.
func (m *Metrics) GuaranteesUnmet(domain string, gangs int) {
	withTags(m.scope, "domain", domain).Gauge("guarantees_unheld_gangs").Update(float64(gangs))
}

// countRefusal counts a body or connection that was refused or aborted.
func countRefusal(scope tally.Scope, reason ingress.Reason) {
	withTags(scope, "reason", string(reason)).Counter("ingress_refused").Inc(1)
}

// DryRun counts the answer to a dry run. verdict is empty if there was none.
func (m *Metrics) DryRun(verdict string) { countDryRun(m.scope, verdict) }

func countDryRun(scope tally.Scope, verdict string) {
	if verdict == "" {
		verdict = "none"
	}
	withTags(scope, "verdict", verdict).Counter("dry_runs").Inc(1)
}

// IngressRefused counts a body or connection that was refused or aborted.
func (m *Metrics) IngressRefused(reason ingress.Reason) { countRefusal(m.scope, reason) }

// newScope returns a scope and the handler that serves its metrics.
func newScope(options prometheus.Options, interval time.Duration) (tally.Scope, http.Handler) {
	reporter := prometheus.NewReporter(options)
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "lentilwinch",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, interval)
	return scope, reporter.HTTPHandler()
}

// withTags returns the scope with tags, given as alternating names and values.
func withTags(scope tally.Scope, pairs ...string) tally.Scope {
	tags := make(map[string]string, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		tags[pairs[i]] = pairs[i+1]
	}
	return scope.Tagged(tags)
}

func recordDuration(scope tally.Scope, name string, took time.Duration) {
	scope.Histogram(name, durationBuckets).RecordDuration(took)
}

// recordStoreCall records the time since start, tagged with the store call and its
// result.
func recordStoreCall(scope tally.Scope, name, call string, start time.Time, err error) {
	recordDuration(withTags(scope, "call", call, "result", resultOf(err)), name, time.Since(start))
}
