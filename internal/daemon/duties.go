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

// duty is a goroutine of the instance.
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
		{"load", d.runLoad},
	}
}

// supervise runs a duty. Duties end with ctx only.
func (d *Daemon) supervise(ctx context.Context, du duty) {
	err := du.run(ctx)
	if ctx.Err() == nil {
		d.log.Error("duty_ended", zap.String("duty", du.name), zap.Error(err))
	}
}

// runPeerEvents passes peers' messages on.
func (d *Daemon) runPeerEvents(ctx context.Context) error {
	for {
		e, err := d.mesh.Events().Pop(ctx)
		if err != nil {
			return err
		}
		d.config.HandlePeer(ctx, e)
		if e.Message.Load != nil {
			d.membership.MarkLeaving(membership.SignPeer, e.Message.Load.Leaving...)
		}
		if n := e.Message.Notice; n != nil && n.Domain != "" {
			d.gangs.Wake(n.Domain)
		}
	}
}

// targetInterval is the time between two comparisons of the links with the
// known instances.
const targetInterval = time.Second

// runPeerTargets links with every instance that the sessions or, where the
// table was never reached, the platform's list names.
func (d *Daemon) runPeerTargets(ctx context.Context) error {
	changes := d.session.Subscribe("peer targets", 1)
	ticker := time.NewTicker(targetInterval)
	defer ticker.Stop()
	for {
		d.mesh.SetPeers(d.targets())
		d.requests.Reload()
		select {
		case <-changes.C():
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Daemon) targets() []peer.Target {
	byInstance := make(map[string]string)
	for _, e := range d.membership.Snapshot().Entries {
		byInstance[e.ID] = e.Address
	}
	live, _ := d.session.Live()
	for _, s := range live {
		byInstance[s.Instance] = s.Address
	}
	out := make([]peer.Target, 0, len(byInstance))
	for id, address := range byInstance {
		out = append(out, peer.Target{Instance: id, Address: address})
	}
	return out
}

// runLoad renews the heartbeat that peers get.
func (d *Daemon) runLoad(ctx context.Context) error {
	ticker := time.NewTicker(d.settings.Peers.HeartbeatMillis.Duration())
	defer ticker.Stop()
	for {
		d.mesh.Broadcast(port.PeerMessage{Load: d.load()})
		d.sample()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Daemon) load() *port.PeerLoad {
	return &port.PeerLoad{
		ConfigNumber:   d.config.Current().Number,
		QueuedRequests: d.requests.Held(),
		Leaving:        d.membership.Told(),
		Domains:        d.gangs.Summaries(),
		Draining:       d.isDraining(),
	}
}

// elsewhere returns the summaries that peers and this instance's own runners
// give of failure domains.
func (d *Daemon) elsewhere() []port.DomainSummary {
	out := d.gangs.Summaries()
	for _, p := range d.mesh.Live() {
		out = append(out, p.Load.Domains...)
	}
	return out
}

// sweeps reports whether this instance is the one of its region that deletes
// old rows: the owner of the first failure domain.
func (d *Daemon) sweeps() bool {
	_, ok := d.ownership.Grant(d.settings.Ownership.Domains[0])
	return ok
}

// liveInstances names the instances whose sessions are live, this one left
// out, or the listed ones where the table was never reached.
type liveInstances struct {
	d *Daemon
}

// Instances implements config.Members.
func (l liveInstances) Instances() []string {
	live, ok := l.d.session.Live()
	if !ok {
		return l.listed()
	}
	return others(live, l.d.settings.InstanceID)
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

func others(live []session.Info, self string) []string {
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

// sharers names the instances that share the backend servers, this one first.
func (d *Daemon) sharers() []string {
	return append([]string{d.settings.InstanceID}, liveInstances{d}.Instances()...)
}

// peerDemand returns the requests that each live peer said it holds.
func (d *Daemon) peerDemand() map[string]int {
	live := d.mesh.Live()
	out := make(map[string]int, len(live)+1)
	for _, p := range live {
		out[p.Hello.Instance] = p.Load.QueuedRequests + p.Load.BusySlots
	}
	return out
}

// servers adapts the membership to the requests duty.
type servers struct {
	membership *membership.Membership
	changes    *ring.Ring[struct{}]
}

func newServers(m *membership.Membership) servers {
	return servers{membership: m, changes: m.Subscribe("backend servers")}
}

// Servers implements requests.Servers.
func (s servers) Servers() []structs.Instance {
	return s.membership.Servers()
}

// Changed implements requests.Servers.
func (s servers) Changed() <-chan struct{} {
	return s.changes.C()
}

// Left implements requests.Servers.
func (s servers) Left(id string) {
	s.membership.MarkLeaving(membership.SignServer, id)
}
