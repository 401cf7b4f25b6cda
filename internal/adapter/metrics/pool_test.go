package metrics

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/ingress"
	"github.com/lentilwinch/lentilwinch/internal/port"
)

func scrape(t *testing.T, p *Pool) string {
	t.Helper()
	time.Sleep(poolReportInterval + poolReportInterval/2)
	rec := httptest.NewRecorder()
	p.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text, err := io.ReadAll(rec.Body)
	must.NoError(t, err)
	return string(text)
}

func TestPoolMetricsAreScraped(t *testing.T) {
	t.Parallel()
	p := NewPool()
	calls := p.Calls(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	calls.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	calls.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("BREW", "/", nil))
	_, err := p.RowStore(fake.NewRows()).Commit(context.Background(), port.RowTxn{})
	must.NoError(t, err)
	p.IngressRefused(ingress.ReasonBudget)
	p.EventLogged("preempted")
	p.JobStarted(0, 20*time.Millisecond)
	p.JobEnded(0, "completed", time.Second)
	p.RunEnded("succeeded")
	p.WorkDiscarded("preempted", 12.4)
	p.LeaseMargin(-time.Second)
	p.TakeoverFinished(time.Second)
	p.ReportOwnership("triage", true, 3, 4)
	p.ReportSpeedSpread("triage", 0.25)
	p.SubmissionRefused(1, "accelerators")
	p.DryRun("wait")
	p.ReportForecast("triage", 1, 90*time.Second)
	p.ReportForecastAge("triage", 500*time.Millisecond)
	p.ReplicaAge.Update(0.5)
	text := scrape(t, p)
	for _, line := range []string{
		`lentilwinch_call_seconds_count{method="POST",status="503"} 1`,
		`lentilwinch_call_seconds_count{method="other",status="503"} 1`,
		`lentilwinch_store_call_seconds_count{call="commit",result="ok"} 1`,
		`lentilwinch_ingress_refused{reason="budget"} 1`,
		`lentilwinch_pool_events{event="preempted"} 1`,
		`lentilwinch_job_wait_seconds_count{priority="0"} 1`,
		`lentilwinch_job_seconds_count{priority="0",state="completed"} 1`,
		`lentilwinch_runs_ended{how="succeeded"} 1`,
		`lentilwinch_core_seconds_lost{cause="preempted"} 12`,
		`lentilwinch_lease_margin_seconds_count 1`,
		`lentilwinch_takeover_seconds_count 1`,
		`lentilwinch_jobs_waiting{pool="triage"} 3`,
		`lentilwinch_pool_speed_spread{pool="triage"} 0.25`,
		`lentilwinch_dry_runs{verdict="wait"} 1`,
		`lentilwinch_submissions_refused{priority="1",reason="accelerators"} 1`,
		`lentilwinch_forecast_wait_seconds{pool="triage",priority="1"} 90`,
		`lentilwinch_forecast_age_seconds{pool="triage"} 0.5`,
		`lentilwinch_feed_age_seconds 0.5`,
	} {
		must.StrContains(t, text, line+"\n")
	}
}
