// Package metrics holds the instance's metrics, scraped by Prometheus.
package metrics

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between two reports to the scraped registry.
const reportInterval = time.Second

// Metrics are the gauges of an instance. Names are prefixed lentilwinch_.
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

	handler http.Handler
}

// New returns metrics with a registry of their own.
func New() *Metrics {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "lentilwinch",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}, reportInterval)
	return &Metrics{
		ConfigNumber:      scope.Gauge("config_number"),
		Ready:             scope.Gauge("ready"),
		RequestsHeld:      scope.Gauge("requests_held"),
		OutcomesUnsettled: scope.Gauge("outcomes_unsettled"),
		LivePeers:         scope.Gauge("live_peers"),
		OwnedDomains:      scope.Gauge("owned_domains"),
		JobsQueued:        scope.Gauge("jobs_queued"),
		handler:           reporter.HTTPHandler(),
	}
}

// Handler serves the registry in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}
