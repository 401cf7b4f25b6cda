package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/adapter/api"
	"github.com/lentilwinch/lentilwinch/internal/adapter/peer"
	"github.com/lentilwinch/lentilwinch/internal/dispatch"
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
	// tableCalls is the number of calls to the table that one operation of a
	// caller may wait for.
	tableCalls = 3
	// maxHeldBytes bounds the bodies of callers' messages in memory at once.
	maxHeldBytes      = 256 << 20
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the reading of one request, slow senders included.
	readTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// httpServer serves callers, operators, peers and the balancer.
func (d *Daemon) httpServer() *http.Server {
	mux := http.NewServeMux()
	server := api.New(d.metrics.Requests(d.requests), d.claims, d.jobs, d.config, d, api.Limits{
		Timeout:      tableCalls * d.settings.Platform.CallTimeoutMillis.Duration(),
		MaxBodyBytes: d.settings.Requests.MaxBodyBytes,
	})
	path, handler := server.Handler()
	mux.Handle(path, api.LimitBytes(handler, maxHeldBytes))
	mux.Handle(peer.Path, d.mesh.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", d.serveReady)
	mux.Handle("GET /metrics", d.metrics.Handler())
	return &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := d.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady returns why the balancer should send nothing, or "".
func (d *Daemon) notReady() string {
	if d.isDraining() {
		return "draining"
	}
	if !d.config.Fresh(time.Now()) {
		return "the configuration in force is not known"
	}
	return ""
}

// Admit implements api.Node. A draining instance still takes what the balancer
// sends until its listener closes.
func (d *Daemon) Admit() error {
	if !d.config.Fresh(time.Now()) {
		return fault.New(fault.NotReady, "the configuration in force is not known here")
	}
	return nil
}

// Draining implements api.Node.
func (d *Daemon) Draining() <-chan struct{} {
	return d.draining
}

// Status implements api.Node.
func (d *Daemon) Status() api.Status {
	reason := d.notReady()
	st := api.Status{
		Instance:       d.settings.InstanceID,
		Incarnation:    d.session.Incarnation(),
		Domain:         d.settings.FailureDomain,
		Ready:          reason == "",
		NotReadyReason: reason,
		ConfigNumber:   d.config.Current().Number,
		QueuedRequests: d.requests.Held(),
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
	Status     api.Status          `json:"status"`
	Session    string              `json:"session_state"`
	Live       []session.Info      `json:"live_sessions"`
	Owned      []ownership.Grant   `json:"owned_domains"`
	Config     config.State        `json:"config"`
	Gangs      []gangs.State       `json:"gangs"`
	Requests   dispatch.Stats      `json:"requests"`
	Held       int                 `json:"requests_held"`
	Unsettled  int                 `json:"outcomes_not_recorded"`
	Membership membership.Snapshot `json:"membership"`
	Peers      []port.PeerInfo     `json:"live_peers"`
	PeerStats  peer.Stats          `json:"peer_stats"`
}

// Dump implements api.Node.
func (d *Daemon) Dump() ([]byte, error) {
	live, _ := d.session.Live()
	out := dump{
		Status:     d.Status(),
		Session:    d.session.State().String(),
		Live:       live,
		Owned:      d.ownership.Owned(),
		Config:     d.config.State(),
		Gangs:      d.gangs.States(),
		Requests:   d.requests.Stats(),
		Held:       d.requests.Held(),
		Unsettled:  d.claims.Unsettled(),
		Membership: d.membership.Snapshot(),
		Peers:      d.mesh.Live(),
		PeerStats:  d.mesh.Stats(),
	}
	raw, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return nil, fault.Wrap(fault.Internal, "encode dump", err)
	}
	return raw, nil
}

// sample renews the gauges.
func (d *Daemon) sample() {
	m := d.metrics
	m.ConfigNumber.Update(float64(d.config.Current().Number))
	m.RequestsHeld.Update(float64(d.requests.Held()))
	m.OutcomesUnsettled.Update(float64(d.claims.Unsettled()))
	m.LivePeers.Update(float64(len(d.mesh.Live())))
	m.OwnedDomains.Update(float64(len(d.ownership.Owned())))
	ready := 0.0
	if d.notReady() == "" {
		ready = 1
	}
	m.Ready.Update(ready)
	queued := 0
	for _, s := range d.gangs.Summaries() {
		queued += s.QueuedJobs
	}
	m.JobsQueued.Update(float64(queued))
}

// holds returns how many gangs of the shapes find no place on a failure
// domain's workers. A domain whose workers aren't known yet isn't judged.
func (d *Daemon) holds(domain string, guarantees []structs.Guarantee) int {
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
	for i, g := range guarantees {
		s.Workspaces = append(s.Workspaces, structs.Workspace{Name: string(rune('a' + i)), Guarantees: []structs.Guarantee{g}})
	}
	missing := 0
	for _, u := range scheduler.Decide(s).Unheld {
		missing += u.Missing
	}
	return missing
}
