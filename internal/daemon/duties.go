package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/adapter/peer"
	"github.com/lentilwinch/lentilwinch/internal/duty/membership"
	"github.com/lentilwinch/lentilwinch/internal/duty/session"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/ring"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// duty is a long-running goroutine of the instance. It ends only when its
// context is cancelled.
type duty struct {
	name string
	run  func(context.Context) error
}

func (d *Daemon) duties() []duty {
	return []duty{
		{"mesh", d.mesh.Run},
		{"session", d.session.Run},
		{"ownership", d.ownership.Run},
		{"membership", d.membership.Run},
		{"config", d.config.Run},
		{"fleet", d.fleet.Run},
		{"gangs", d.gangs.Run},
		{"claims", d.claims.Run},
		{"requests", d.requests.Run},
		{"retention", d.retention.Run},
		{"peer_events", d.runPeerEvents},
		{"peer_targets", d.runPeerTargets},
		{"load", d.runHeartbeat},
	}
}

// runDuty runs a duty and logs an error when it returns before ctx is
// cancelled.
func (d *Daemon) runDuty(ctx context.Context, du duty) {
	err := du.run(ctx)
	if ctx.Err() == nil {
		d.log.Error("duty_ended", zap.String("duty", du.name), zap.Error(err))
	}
}

// runPeerEvents dispatches the messages of peers to the duties.
func (d *Daemon) runPeerEvents(ctx context.Context) error {
	for {
		e, err := d.mesh.Events().Pop(ctx)
		if err != nil {
			return err
		}
		d.config.HandlePeer(ctx, e)
		if e.Message.Heartbeat != nil {
			d.membership.MarkLeaving(membership.SourcePeer, e.Message.Heartbeat.Leaving...)
		}
		if n := e.Message.Notice; n != nil && n.Domain != "" {
			d.gangs.Wake(n.Domain)
		}
	}
}

// peerTargetInterval bounds the time between two updates of the set of peers that
// the mesh connects to.
const peerTargetInterval = time.Second

// runPeerTargets connects the mesh to every instance that has a live session
// or is listed by the platform. The platform's list also covers the time
// before the table was first read. It also makes the requests duty apply the
// current set of instances.
func (d *Daemon) runPeerTargets(ctx context.Context) error {
	changes := d.session.Subscribe("peer targets", 1)
	ticker := time.NewTicker(peerTargetInterval)
	defer ticker.Stop()
	for {
		d.mesh.SetPeers(d.peerTargets())
		d.requests.Reload()
		select {
		case <-changes.C():
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Daemon) peerTargets() []peer.Target {
	addresses := make(map[string]string)
	for _, e := range d.membership.Snapshot().Entries {
		addresses[e.ID] = e.Address
	}
	live, _ := d.session.Live()
	for _, s := range live {
		addresses[s.Instance] = s.Address
	}
	out := make([]peer.Target, 0, len(addresses))
	for id, address := range addresses {
		out = append(out, peer.Target{Instance: id, Address: address})
	}
	return out
}

// runHeartbeat broadcasts the heartbeat with this instance's load to the peers
// and updates the gauges.
func (d *Daemon) runHeartbeat(ctx context.Context) error {
	ticker := time.NewTicker(d.settings.Peers.HeartbeatMillis.Duration())
	defer ticker.Stop()
	for {
		d.mesh.Broadcast(port.PeerMessage{Heartbeat: d.peerHeartbeat()})
		d.updateGauges()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// peerHeartbeat returns this instance's state for the peers. BusySlots stays 0,
// since QueuedRequests includes the running requests.
func (d *Daemon) peerHeartbeat() *port.PeerHeartbeat {
	return &port.PeerHeartbeat{
		ConfigNumber:   d.config.Current().Number,
		QueuedRequests: d.requests.Held(),
		Leaving:        d.membership.ReportedLeaving(),
		Domains:        d.gangs.Summaries(),
		Draining:       d.isDraining(),
	}
}

// domainSummaries returns the summaries of the failure domains that this
// instance and its live peers own.
func (d *Daemon) domainSummaries() []port.DomainSummary {
	out := d.gangs.Summaries()
	for _, p := range d.mesh.Live() {
		out = append(out, p.Heartbeat.Domains...)
	}
	return out
}

// isSweeper reports whether this instance deletes the expired rows of its
// region, which is the task of the first failure domain's owner.
func (d *Daemon) isSweeper() bool {
	_, ok := d.ownership.Grant(d.settings.Ownership.Domains[0])
	return ok
}

// liveInstances lists the other instances with live sessions, or those that
// the platform lists while the sessions haven't been read.
type liveInstances struct {
	d *Daemon
}

// Instances implements config.Members.
func (l liveInstances) Instances() []string {
	live, ok := l.d.session.Live()
	if !ok {
		return l.listed()
	}
	return otherInstances(live, l.d.settings.InstanceID)
}

func (l liveInstances) listed() []string {
	var out []string
	for _, e := range l.d.membership.Snapshot().Entries {
		if e.ID != l.d.settings.InstanceID {
			out = append(out, e.ID)
		}
	}
	return out
}

func otherInstances(live []session.Info, self string) []string {
	seen := map[string]bool{self: true}
	var out []string
	for _, s := range live {
		if !seen[s.Instance] {
			seen[s.Instance] = true
			out = append(out, s.Instance)
		}
	}
	return out
}

// sharingInstances returns the IDs of the instances that share the backend
// servers, this one first.
func (d *Daemon) sharingInstances() []string {
	return append([]string{d.settings.InstanceID}, liveInstances{d}.Instances()...)
}

// peerDemand returns the total of queued and running requests that each live peer
// last reported, by instance ID.
func (d *Daemon) peerDemand() map[string]int {
	live := d.mesh.Live()
	out := make(map[string]int, len(live)+1)
	for _, p := range live {
		out[p.Hello.Instance] = p.Heartbeat.QueuedRequests + p.Heartbeat.BusySlots
	}
	return out
}

// backendServers adapts the membership to the requests duty.
type backendServers struct {
	membership *membership.Membership
	changes    *ring.Ring[struct{}]
}

func newBackendServers(m *membership.Membership) backendServers {
	return backendServers{membership: m, changes: m.Subscribe("backend servers")}
}

// Servers implements requests.Servers.
func (s backendServers) Servers() []structs.Instance {
	return s.membership.Servers()
}

// Changed implements requests.Servers.
func (s backendServers) Changed() <-chan struct{} {
	return s.changes.C()
}

// MarkLeaving implements requests.Servers.
func (s backendServers) MarkLeaving(id string) {
	s.membership.MarkLeaving(membership.SourceServer, id)
}
