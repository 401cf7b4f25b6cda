// Package config maintains the configuration in force. It accepts change
// tickets, applies those accepted by other instances and tracks whether this
// instance may have missed one.
package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/ring"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
	"github.com/lentilwinch/lentilwinch/internal/ticket"
)

const (
	// wakeCapacity is one because wake-ups coalesce.
	wakeCapacity = 1
	// maxDeltaTickets bounds the tickets applied one by one. A larger gap is
	// closed by loading all objects in force.
	maxDeltaTickets = 64
)

// Settings configures a Keeper.
type Settings struct {
	// PollInterval is the longest interval between two reads of the version row.
	PollInterval time.Duration
	// ReadTimeout bounds each read, of which a poll may take several. Those of Accept
	// also end with its context.
	ReadTimeout time.Duration
	// StaleAfter is how long the configuration stays fresh after it was last
	// verified by the table or a majority of the instances.
	StaleAfter time.Duration
}

// Members lists the IDs of the live instances other than this one.
type Members interface {
	Instances() []string
}

// Fleet describes the workers against which tickets are checked.
type Fleet = ticket.Fleet

// Keeper holds the configuration in force. The number of Current never
// decreases.
type Keeper struct {
	settings Settings
	store    *store.Store
	peers    port.Peers
	members  Members
	fleet    func() Fleet
	log      *zap.Logger

	current atomic.Pointer[structs.Config]
	wake    *ring.Ring[struct{}]

	mu sync.Mutex
	// versionRevision is the revision of the version row at current.Number,
	// or 0 if the row doesn't exist or its revision is unknown.
	versionRevision int64
	verifiedAt      time.Time
	loaded          bool
	listeners       []func(*structs.Config)
}

// New returns a keeper with an empty configuration. The fleet function may
// return a zero Fleet until the workers are known.
func New(s Settings, st *store.Store, peers port.Peers, members Members, fleet func() Fleet, log *zap.Logger) *Keeper {
	k := &Keeper{
		settings: s,
		store:    st,
		peers:    peers,
		members:  members,
		fleet:    fleet,
		log:      log,
		wake:     ring.New[struct{}]("config wake", wakeCapacity),
	}
	k.current.Store(ticket.EmptyConfig())
	return k
}

// Current returns the configuration in force. The caller must not modify it.
func (k *Keeper) Current() *structs.Config {
	return k.current.Load()
}

// OnChange registers a function that is called with each configuration that
// comes into force. Calls may be concurrent and out of order. OnChange must be
// called before Run.
func (k *Keeper) OnChange(f func(*structs.Config)) {
	k.listeners = append(k.listeners, f)
}

// Wake triggers a read of the version row.
func (k *Keeper) Wake() {
	k.wake.TryPush(struct{}{})
}

// Run polls the version row until ctx ends and returns ctx's error.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.settings.PollInterval)
	defer ticker.Stop()
	for {
		k.poll(ctx)
		select {
		case <-ticker.C:
		case <-k.wake.C():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (k *Keeper) poll(ctx context.Context) {
	if err := k.refresh(ctx); err != nil {
		k.log.Warn("config_refresh_failed", zap.Error(err))
	}
	k.verifyByPeers()
}

// verifyByPeers marks the configuration as verified if a majority of the live
// instances is connected and none of the connected ones reports a higher number.
// If one does, it requests the configuration of that one instead. Accept requires
// a majority too, so at least one of them knows of each ticket accepted elsewhere.
func (k *Keeper) verifyByPeers() {
	live := k.peers.Live()
	if !k.majorityConnected(live) {
		return
	}
	number := k.Current().Number
	for _, p := range live {
		if p.Heartbeat.ConfigNumber > number {
			k.requestConfig(p, number)
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.loaded {
		k.verifiedAt = time.Now()
	}
}

// majorityConnected reports whether this instance and the peers that it is
// connected to are a majority of the live instances.
func (k *Keeper) majorityConnected(live []port.PeerInfo) bool {
	connected := make(map[string]bool, len(live))
	for _, p := range live {
		connected[p.Hello.Instance] = true
	}
	others := k.members.Instances()
	reachable := 1
	for _, id := range others {
		if connected[id] {
			reachable++
		}
	}
	return 2*reachable > len(others)+1
}

func (k *Keeper) requestConfig(p port.PeerInfo, after int64) {
	ctx, cancel := context.WithTimeout(context.Background(), k.settings.PollInterval)
	defer cancel()
	m := port.PeerMessage{ConfigRequest: &port.PeerConfigRequest{After: after}}
	if err := k.peers.Send(ctx, p.Hello.Instance, m); err != nil {
		k.log.Debug("config_request_failed", zap.Error(err))
	}
}

// Fresh reports whether the configuration was verified within StaleAfter.
// While it is fresh, no ticket accepted elsewhere can have been missed for
// longer than that.
func (k *Keeper) Fresh(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded && now.Sub(k.verifiedAt) <= k.settings.StaleAfter
}

// HandlePeer handles a peer's message that concerns the configuration.
func (k *Keeper) HandlePeer(ctx context.Context, e port.PeerEvent) {
	switch m := e.Message; {
	case m.Notice != nil && m.Notice.ConfigNumber > k.Current().Number:
		k.Wake()
	case m.Heartbeat != nil && m.Heartbeat.ConfigNumber > k.Current().Number:
		k.Wake()
	case m.ConfigRequest != nil:
		k.sendConfig(ctx, e.From.Instance, m.ConfigRequest.After)
	case m.Config != nil:
		k.adoptFromPeer(m.Config)
	}
}

func (k *Keeper) sendConfig(ctx context.Context, to string, after int64) {
	cfg := k.Current()
	if cfg.Number <= after {
		return
	}
	if err := k.peers.Send(ctx, to, port.PeerMessage{Config: peerConfig(cfg)}); err != nil {
		k.log.Debug("config_reply_failed", zap.Error(err))
	}
}

func peerConfig(cfg *structs.Config) *port.PeerConfig {
	out := &port.PeerConfig{Number: cfg.Number, Evacuated: cfg.EvacuatedDomains()}
	for _, w := range cfg.Workspaces {
		out.Workspaces = append(out.Workspaces, w)
	}
	for _, s := range cfg.Services {
		out.Services = append(out.Services, s)
	}
	return out
}

func (k *Keeper) adoptFromPeer(c *port.PeerConfig) {
	cfg := &structs.Config{
		Number:     c.Number,
		Workspaces: make(map[string]structs.Workspace, len(c.Workspaces)),
		Services:   make(map[structs.ServiceKey]structs.Service, len(c.Services)),
		Evacuated:  make(map[string]bool, len(c.Evacuated)),
	}
	for _, w := range c.Workspaces {
		cfg.Workspaces[w.Name] = w
	}
	for _, s := range c.Services {
		cfg.Services[s.Key()] = s
	}
	for _, name := range c.Evacuated {
		cfg.Evacuated[name] = true
	}
	k.adopt(cfg, 0, false)
	k.verifyByPeers()
}

// adopt brings a configuration into force if its number is higher than the
// current one. verified means that the version row held the configuration's
// number at revision.
func (k *Keeper) adopt(cfg *structs.Config, revision int64, verified bool) {
	k.mu.Lock()
	before := k.Current()
	supersedes := cfg.Number > before.Number
	if supersedes {
		k.current.Store(cfg)
		k.versionRevision = 0
	}
	if verified && cfg.Number == k.Current().Number {
		k.versionRevision = revision
		k.verifiedAt = time.Now()
	}
	k.loaded = true
	k.mu.Unlock()
	if supersedes {
		k.log.Info("config_in_force", zap.Int64("number", cfg.Number))
		k.logEvacuations(before, cfg)
		k.notify(cfg)
	}
}

// logEvacuations logs the failure domains that are evacuated or restored by a
// change of the configuration.
func (k *Keeper) logEvacuations(before, after *structs.Config) {
	for _, name := range after.EvacuatedDomains() {
		if !before.Evacuated[name] {
			k.log.Info("failure_domain_evacuated", zap.String("domain", name), zap.Int64("number", after.Number))
		}
	}
	for _, name := range before.EvacuatedDomains() {
		if !after.Evacuated[name] {
			k.log.Info("failure_domain_restored", zap.String("domain", name), zap.Int64("number", after.Number))
		}
	}
}

func (k *Keeper) notify(cfg *structs.Config) {
	for _, f := range k.listeners {
		f(cfg)
	}
}

// State is the keeper's part of a state dump.
type State struct {
	Number            int64     `json:"number"`
	Loaded            bool      `json:"loaded"`
	Verified          time.Time `json:"verified"`
	Workspaces        int       `json:"workspaces"`
	Services          int       `json:"services"`
	EvacuatedDomains  []string  `json:"evacuated_domains"`
	MajorityConnected bool      `json:"majority_of_peers_heard"`
	Fresh             bool      `json:"fresh"`
}

// State returns the keeper's state for a dump.
func (k *Keeper) State() State {
	cfg := k.Current()
	majority := k.majorityConnected(k.peers.Live())
	fresh := k.Fresh(time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	return State{
		Number:            cfg.Number,
		Loaded:            k.loaded,
		Verified:          k.verifiedAt,
		Workspaces:        len(cfg.Workspaces),
		Services:          len(cfg.Services),
		EvacuatedDomains:  append([]string{}, cfg.EvacuatedDomains()...),
		MajorityConnected: majority,
		Fresh:             fresh,
	}
}
