package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/adapter/api"
	"github.com/lentilwinch/lentilwinch/internal/adapter/peer"
	"github.com/lentilwinch/lentilwinch/internal/dispatch"
	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/duty/config"
	"github.com/lentilwinch/lentilwinch/internal/duty/gangs"
	"github.com/lentilwinch/lentilwinch/internal/duty/membership"
	"github.com/lentilwinch/lentilwinch/internal/duty/ownership"
	"github.com/lentilwinch/lentilwinch/internal/duty/session"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	// maxTableCalls is the number of consecutive table calls that the timeout of a
	// caller's operation allows for, each as long as it may take. An operation that
	// retries or scans makes more and may time out while the table is slow.
	maxTableCalls     = 3
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time to read one request from a slow sender.
	readTimeout = 30 * time.Second
	idleTimeout = 60 * time.Second
	// incomingShare is the divisor of the descriptors for incoming connections. The
	// rest is for those to the platform, backend servers and peers.
	incomingShare = 2
)

// httpServer returns the server for callers, operators, peers and the load
// balancer.
func (d *Daemon) httpServer() *http.Server {
	mux := http.NewServeMux()
	server := api.New(d.metrics.Requests(d.requests), d.claims, d.jobs, d.config, d, api.Limits{
		Timeout:      maxTableCalls * d.settings.Platform.CallTimeoutMillis.Duration(),
		MaxBodyBytes: d.settings.Requests.MaxBodyBytes,
	})
	path, handler := server.Handler()
	mux.Handle(path, api.LimitBytes(handler, d.ingress, api.MaxMessageBytes(d.settings.Requests.MaxBodyBytes), d.ingressLimits.HeldBytes))
	mux.Handle(peer.Path, d.mesh.Handler())
	mux.HandleFunc("POST "+dryrun.RequestPath, d.serveDryRun)
	mux.HandleFunc("POST "+dryrun.SubmissionPath, d.serveJobDryRun)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.Handle("GET /metrics", d.metrics.Handler())
	out := d.ingress.Server(mux, readHeaderTimeout)
	out.ReadTimeout, out.IdleTimeout = readTimeout, idleTimeout
	return out
}

// maxConns returns the limit of incoming connections.
func (d *Daemon) maxConns() int {
	return min(d.settings.Limits.MaxFds/incomingShare, d.ingressLimits.Conns)
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := d.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReadyReason returns why the load balancer should send no requests, or ""
// when the instance is ready.
func (d *Daemon) notReadyReason() string {
	if d.isDraining() {
		return "draining"
	}
	if !d.config.Fresh(time.Now()) {
		return "the configuration in force is not known"
	}
	return ""
}

// Admit implements api.Instance. A draining instance still accepts requests
// until its listener is closed.
func (d *Daemon) Admit() error {
	if !d.config.Fresh(time.Now()) {
		return fault.New(fault.NotReady, "the configuration in force is not known here")
	}
	return nil
}

// Draining implements api.Instance.
func (d *Daemon) Draining() <-chan struct{} {
	return d.draining
}

// Status implements api.Instance.
func (d *Daemon) Status() api.Status {
	reason := d.notReadyReason()
	st := api.Status{
		Instance:       d.settings.InstanceID,
		Incarnation:    d.session.Incarnation(),
		Domain:         d.settings.FailureDomain,
		Ready:          reason == "",
		NotReadyReason: reason,
		ConfigNumber:   d.config.Current().Number,
		RequestsHeld:   d.requests.Held(),
		LivePeers:      len(d.mesh.Live()),
		BackendServers: len(d.membership.Servers()),
		Workers:        d.fleet.Len(),
	}
	for _, g := range d.ownership.Owned() {
		st.OwnedDomains = append(st.OwnedDomains, g.Domain)
	}
	return st
}

// dump is the layout of the state dump.
type dump struct {
	Status              api.Status          `json:"status"`
	SessionState        string              `json:"session_state"`
	LiveSessions        []session.Info      `json:"live_sessions"`
	OwnedDomains        []ownership.Grant   `json:"owned_domains"`
	Config              config.State        `json:"config"`
	Gangs               []gangs.State       `json:"gangs"`
	Requests            dispatch.Stats      `json:"requests"`
	RequestsHeld        int                 `json:"requests_held"`
	OutcomesNotRecorded int                 `json:"outcomes_not_recorded"`
	Membership          membership.Snapshot `json:"membership"`
	LivePeers           []port.PeerInfo     `json:"live_peers"`
	PeerStats           peer.Stats          `json:"peer_stats"`
}

// Dump implements api.Instance.
func (d *Daemon) Dump() ([]byte, error) {
	live, _ := d.session.Live()
	out := dump{
		Status:              d.Status(),
		SessionState:        d.session.State().String(),
		LiveSessions:        live,
		OwnedDomains:        d.ownership.Owned(),
		Config:              d.config.State(),
		Gangs:               d.gangs.States(),
		Requests:            d.requests.Stats(),
		RequestsHeld:        d.requests.Held(),
		OutcomesNotRecorded: d.claims.Unresolved(),
		Membership:          d.membership.Snapshot(),
		LivePeers:           d.mesh.Live(),
		PeerStats:           d.mesh.Stats(),
	}
	raw, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode dump", err)
	}
	return raw, nil
}

// updateGauges sets the gauges from the duties' current state.
func (d *Daemon) updateGauges() {
	m := d.metrics
	m.ConfigNumber.Update(float64(d.config.Current().Number))
	m.EvacuatedDomains.Update(float64(len(d.config.Current().Evacuated)))
	m.RequestsHeld.Update(float64(d.requests.Held()))
	m.OutcomesUnresolved.Update(float64(d.claims.Unresolved()))
	m.LivePeers.Update(float64(len(d.mesh.Live())))
	m.OwnedDomains.Update(float64(len(d.ownership.Owned())))
	ready := 0.0
	if d.notReadyReason() == "" {
		ready = 1
	}
	m.Ready.Update(ready)
	held := d.ingress.Stats()
	m.IngressBytesHeld.Update(float64(held.BytesHeld))
	m.IngressConnections.Update(float64(held.Connections))
	queuedJobs := 0
	for _, s := range d.gangs.Summaries() {
		queuedJobs += s.QueuedJobs
	}
	m.JobsQueued.Update(float64(queuedJobs))
}

// unplaceableGangs returns how many of the guaranteed gangs don't fit on the
// empty workers of a failure domain. It returns 0 while the domain's workers
// aren't known.
func (d *Daemon) unplaceableGangs(domain string, guarantees []structs.Guarantee) int {
	workers := d.fleet.Domain(domain)
	if len(workers) == 0 {
		return 0
	}
	s := scheduler.Snapshot{Domain: domain}
	for _, w := range workers {
		s.Workers = append(s.Workers, scheduler.Worker{
			ID:           w.ID,
			Rack:         w.Rack,
			Accelerators: w.Accelerators,
			Usable:       w.State != structs.StateLeaving,
		})
	}
	// Each guarantee gets a workspace of its own. The names only have to differ.
	for i, g := range guarantees {
		s.Workspaces = append(s.Workspaces, structs.Workspace{Name: string(rune('a' + i)), Guarantees: []structs.Guarantee{g}})
	}
	missing := 0
	for _, u := range scheduler.Decide(s).UnmetGuarantees {
		missing += u.Missing
	}
	return missing
}
