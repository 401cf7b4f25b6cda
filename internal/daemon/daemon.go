// Package daemon assembles the duties of one instance and runs them until a
// graceful shutdown.
package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/adapter/backend"
	"github.com/lentilwinch/lentilwinch/internal/adapter/metrics"
	"github.com/lentilwinch/lentilwinch/internal/adapter/peer"
	"github.com/lentilwinch/lentilwinch/internal/adapter/platform"
	"github.com/lentilwinch/lentilwinch/internal/dispatch"
	"github.com/lentilwinch/lentilwinch/internal/duty/claims"
	"github.com/lentilwinch/lentilwinch/internal/duty/config"
	"github.com/lentilwinch/lentilwinch/internal/duty/fleet"
	"github.com/lentilwinch/lentilwinch/internal/duty/gangs"
	"github.com/lentilwinch/lentilwinch/internal/duty/jobs"
	"github.com/lentilwinch/lentilwinch/internal/duty/membership"
	"github.com/lentilwinch/lentilwinch/internal/duty/ownership"
	"github.com/lentilwinch/lentilwinch/internal/duty/requests"
	"github.com/lentilwinch/lentilwinch/internal/duty/retention"
	"github.com/lentilwinch/lentilwinch/internal/duty/session"
	"github.com/lentilwinch/lentilwinch/internal/ingress"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/settings"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/ticket"
)

const (
	// peerMessageCost is the memory that decoding a peer's message takes, as a multiple
	// of its size.
	peerMessageCost   = 16
	fleetPollInterval = 10 * time.Second
	// placementInterval is the time between two placement decisions for gangs.
	placementInterval = 100 * time.Millisecond
	// inboxPollInterval is the time between two reads of a failure domain's
	// inbox when no peer has announced a change.
	inboxPollInterval = 500 * time.Millisecond
	// maxClaimCommits bounds the claim commits in progress at once.
	maxClaimCommits = 4
	// commitTimeout bounds the time to commit a batch of claims, including
	// retries.
	commitTimeout = 2 * time.Second
	// resolveRetryInterval is the time between two attempts to record an outcome
	// after its first write failed.
	resolveRetryInterval = 250 * time.Millisecond
	// resolveInterval is the minimum time between two outcomes that an instance
	// records after an outage. It limits 8 instances together to 200 rows a second.
	resolveInterval = 40 * time.Millisecond
	// recordTimeout bounds the wait for an outcome to be recorded before the
	// caller is answered.
	recordTimeout = 500 * time.Millisecond
	// claimTimeout bounds the wait for a request's claim, since the request
	// already occupies a slot of a backend server.
	claimTimeout = time.Second
	// sweepInterval and sweepPageSize limit the sweep to 60 rows a second.
	sweepInterval = 5 * time.Second
	sweepPageSize = 300
	sweepTimeout  = 4 * time.Second
	// claimRetention is how long the ID of a request that may not be repeated is
	// kept after it was first recorded.
	claimRetention = 24 * time.Hour
	// jobRetention is how long a job is kept after its end.
	jobRetention = 7 * 24 * time.Hour
)

// Daemon runs all duties of one instance.
type Daemon struct {
	settings settings.Daemon
	log      *zap.Logger
	metrics  *metrics.Metrics
	// ingress bounds what callers and peers can make the process use.
	ingress       *ingress.Gate
	ingressLimits ingress.Limits

	mesh       *peer.Mesh
	session    *session.Session
	ownership  *ownership.Ownership
	membership *membership.Membership
	config     *config.Keeper
	fleet      *fleet.Fleet
	gangs      *gangs.Manager
	jobs       *jobs.Jobs
	claims     *claims.Claims
	requests   *requests.Requests
	retention  *retention.Sweeper
	backends   *backend.Backends

	// draining is closed when the drain starts.
	draining  chan struct{}
	drainOnce sync.Once
	// shuttingDown is set before the listener is closed, so that serve doesn't
	// log the end of Serve as an error.
	shuttingDown atomic.Bool
}

// New assembles an instance without starting it.
func New(s settings.Daemon, log *zap.Logger) *Daemon {
	d := &Daemon{settings: s, log: log, metrics: metrics.New(), draining: make(chan struct{})}
	self := session.Self{Instance: s.InstanceID, Domain: s.FailureDomain, Address: s.AdvertiseAddress}
	table := d.metrics.Table(platform.NewTable(d.platformSettings(s.Platform.TableAddress)))
	st := store.New(table, store.NewWriterID(s.InstanceID))
	d.ingressLimits = ingress.Derive(s.Limits.MemoryMB << 20)
	d.ingress = ingress.New(d.ingressLimits, log, d.metrics.IngressRefused)
	d.mesh = peer.New(d.peerConfig(), d.hello)
	d.session = session.New(d.sessionConfig(), st, self)
	d.ownership = ownership.New(d.ownershipConfig(), st, d.session, self)
	d.membership = membership.New(membership.Config{}, platform.NewInstances(d.platformSettings(s.Platform.InstancesAddress)))
	workers := platform.NewWorkers(d.platformSettings(s.Platform.WorkersAddress))
	timeout := s.Platform.CallTimeoutMillis.Duration()
	d.fleet = fleet.New(workers, fleetPollInterval, timeout, log)
	d.config = config.New(d.configSettings(), st, d.mesh, liveInstances{d}, d.ticketFleet, log)
	d.assembleJobs(st, workers)
	d.assembleRequests(st)
	d.retention = retention.New(retention.Settings{
		Interval: sweepInterval,
		PageSize: sweepPageSize,
		Timeout:  sweepTimeout,
		ClaimAge: claimRetention,
		JobAge:   jobRetention,
	}, st, d.isSweeper, log)
	return d
}

func (d *Daemon) platformSettings(address string) platform.Settings {
	s := platform.DefaultSettings(address)
	timeout := d.settings.Platform.CallTimeoutMillis.Duration()
	s.ReadTimeout = timeout
	s.CommitTimeout = timeout
	s.WorkerTimeout = timeout
	s.CheckpointTimeout = d.settings.Jobs.CheckpointTimeoutMillis.Duration()
	return s
}

func (d *Daemon) peerConfig() peer.Config {
	p := d.settings.Peers
	return peer.Config{
		HeartbeatInterval: p.HeartbeatMillis.Duration(),
		ReadDeadline:      p.ReadDeadlineMillis.Duration(),
		MaxBytes:          p.MaxMessageBytes,
		Receive: func(ctx context.Context, r io.Reader, abort func(), decode func([]byte)) error {
			return d.ingress.Read(ctx, ingress.Message{Remote: "a peer", Reader: r, Abort: abort, Cost: peerMessageCost}, decode)
		},
	}
}

func (d *Daemon) sessionConfig() session.Config {
	s := d.settings.Session
	return session.Config{HeartbeatInterval: s.HeartbeatMillis.Duration(), TTL: s.TTLMillis.Duration()}
}

func (d *Daemon) ownershipConfig() ownership.Config {
	domains := d.settings.Ownership.Domains
	return ownership.Config{
		Domains:      func() []string { return domains },
		PollInterval: d.settings.Ownership.PollMillis.Duration(),
	}
}

func (d *Daemon) configSettings() config.Settings {
	return config.Settings{
		PollInterval: d.settings.Config.PollMillis.Duration(),
		ReadTimeout:  d.settings.Platform.CallTimeoutMillis.Duration(),
		StaleAfter:   d.settings.Config.StaleAfterMillis.Duration(),
	}
}

func (d *Daemon) assembleJobs(st *store.Store, workers port.Workers) {
	s := d.settings
	d.gangs = gangs.NewManager(gangs.Settings{
		DecisionInterval:   placementInterval,
		InboxPollInterval:  inboxPollInterval,
		LeaseTTL:           s.WorkerLease.TTLMillis.Duration(),
		LeaseRenewInterval: s.WorkerLease.RenewMillis.Duration(),
		CallTimeout:        s.Platform.CallTimeoutMillis.Duration(),
		CheckpointTimeout:  s.Jobs.CheckpointTimeoutMillis.Duration(),
		MaxFailures:        s.Jobs.MaxAttempts,
		Domains:            s.Ownership.Domains,
	}, gangs.Deps{
		Store:           st,
		Workers:         workers,
		Fleet:           d.fleet,
		Config:          d.config.Current,
		DomainSummaries: d.domainSummaries,
		SessionUsable:   func() bool { return d.session.Usable(time.Now()) },
		ConfigFresh:     func() bool { return d.config.Fresh(time.Now()) },
		Observer:        d.metrics,
		Log:             d.log,
	}, d.ownership)
	d.jobs = jobs.New(st, d.mesh, s.Ownership.Domains, d.config.Current, d.gangs.Summaries, d.gangs.Wake)
}

func (d *Daemon) assembleRequests(st *store.Store) {
	s := d.settings
	d.claims = claims.New(claims.Settings{
		Flush:           s.Requests.ClaimFlushMillis.Duration(),
		Batch:           s.Requests.ClaimBatch,
		Commits:         maxClaimCommits,
		CommitTimeout:   commitTimeout,
		ResolveRetry:    resolveRetryInterval,
		ResolveInterval: resolveInterval,
	}, st, platform.NewObjects(d.platformSettings(s.Platform.ObjectsAddress)), d.session.Incarnation, d.log)
	bs := backend.DefaultSettings()
	bs.MaxConns = s.Requests.BackendConnectionsPerServer
	d.backends = backend.New(bs)
	d.requests = requests.New(requests.Settings{
		QueueLimit:    s.Requests.QueueLimit,
		MaxBodyBytes:  s.Requests.MaxBodyBytes,
		RecordTimeout: recordTimeout,
		ClaimTimeout:  claimTimeout,
		Dispatch:      dispatch.Settings{QueueLimit: s.Requests.QueueLimit},
	}, d.backends, newBackendServers(d.membership), d.claims, d.config.Current, d.sharingInstances, d.peerDemand, d.log)
	d.config.OnChange(func(*structs.Config) { d.requests.Reload() })
}

// hello identifies this instance to its peers. The incarnation is empty until
// New has assembled the session.
func (d *Daemon) hello() port.PeerHello {
	incarnation := ""
	if d.session != nil {
		incarnation = d.session.Incarnation()
	}
	return port.PeerHello{
		Instance:    d.settings.InstanceID,
		Incarnation: incarnation,
		Domain:      d.settings.FailureDomain,
		Address:     d.settings.AdvertiseAddress,
	}
}

// ticketFleet returns the failure domains and capacity that tickets are
// checked against.
func (d *Daemon) ticketFleet() ticket.Fleet {
	return ticket.Fleet{Domains: d.settings.Ownership.Domains, UnplaceableGangs: d.unplaceableGangs}
}

// Run serves until ctx is cancelled and then shuts down gracefully: it reports
// not ready, hands over its failure domains, closes the listener and finishes
// the requests in flight. It fails with fault.Unavailable when the listen
// address can't be bound.
func (d *Daemon) Run(ctx context.Context) error {
	listener, err := d.ingress.Listen(ctx, d.settings.ListenAddress, d.maxConns())
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var duties sync.WaitGroup
	for _, duty := range d.duties() {
		duties.Go(func() { d.runDuty(runCtx, duty) })
	}
	server := d.httpServer()
	duties.Go(func() { d.serve(server, listener) })
	d.log.Info("instance_started", zap.String("instance", d.settings.InstanceID), zap.String("address", listener.Addr().String()))
	<-ctx.Done()
	d.drain(server)
	stop()
	duties.Wait()
	d.backends.Close()
	d.log.Info("instance_stopped")
	return nil
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); err != nil && !d.shuttingDown.Load() {
		d.log.Error("server_failed", zap.Error(err))
	}
}
