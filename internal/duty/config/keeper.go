// Package config keeps the configuration in force: it accepts change tickets,
// follows those that other instances accepted, and knows whether this instance
// may have missed one.
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
	// maxDelta is the most tickets fetched one by one; a longer gap is closed
	// by loading the objects in force.
	maxDelta = 64
)

// Settings of a Keeper.
type Settings struct {
	// Poll is the longest time between two reads of the version row.
	Poll time.Duration
	// ReadTimeout bounds one refresh.
	ReadTimeout time.Duration
	// StaleAfter is how long the configuration counts as verified without a
	// read from the table or a majority of peers.
	StaleAfter time.Duration
}

// Members names the instances known to be live, this one left out.
type Members interface {
	Instances() []string
}

// Fleet tells whether guaranteed shapes fit a failure domain.
type Fleet = ticket.Fleet

// Keeper holds the configuration in force. Current never goes back to a lower
// number.
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
	// versionRevision is the revision of the version row at current.Number;
	// 0 when it doesn't exist or isn't known.
	versionRevision int64
	verified        time.Time
	loaded          bool
	changed         []func(*structs.Config)
}

// New returns a keeper without a configuration. The fleet function may return
// a zero Fleet while the workers aren't known.
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
	k.current.Store(ticket.Empty())
	return k
}

// Current returns the configuration in force, which must not be changed.
func (k *Keeper) Current() *structs.Config {
	return k.current.Load()
}

// OnChange registers a function that is called with each configuration that
// comes into force. It must be called before Run.
func (k *Keeper) OnChange(f func(*structs.Config)) {
	k.changed = append(k.changed, f)
}

// Wake makes the keeper read the version row now.
func (k *Keeper) Wake() {
	k.wake.Offer(struct{}{})
}

// Run follows the version row until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	timer := time.NewTicker(k.settings.Poll)
	defer timer.Stop()
	for {
		k.follow(ctx)
		select {
		case <-timer.C:
		case <-k.wake.C():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (k *Keeper) follow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.settings.ReadTimeout)
	defer cancel()
	if err := k.refresh(ctx); err != nil {
		k.log.Warn("config_refresh_failed", zap.Error(err))
	}
	k.verifyByPeers()
}

// verifyByPeers counts the configuration as verified while a majority of the
// known instances reports no higher number. Accept asks for a majority too, so
// that any ticket accepted elsewhere is known to one of them.
func (k *Keeper) verifyByPeers() {
	live := k.peers.Live()
	if !k.majority(live) {
		return
	}
	number := k.Current().Number
	for _, p := range live {
		if p.Load.ConfigNumber > number {
			k.request(p, number)
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.loaded {
		k.verified = time.Now()
	}
}

func (k *Keeper) majority(live []port.PeerInfo) bool {
	heard := make(map[string]bool, len(live))
	for _, p := range live {
		heard[p.Hello.Instance] = true
	}
	known := k.members.Instances()
	reached := 1
	for _, id := range known {
		if heard[id] {
			reached++
		}
	}
	return 2*reached > len(known)+1
}

func (k *Keeper) request(p port.PeerInfo, after int64) {
	ctx, cancel := context.WithTimeout(context.Background(), k.settings.Poll)
	defer cancel()
	m := port.PeerMessage{ConfigRequest: &port.PeerConfigRequest{After: after}}
	if err := k.peers.Send(ctx, p.Hello.Instance, m); err != nil {
		k.log.Debug("config_request_failed", zap.Error(err))
	}
}

// Fresh reports whether the configuration was verified lately, so that no
// accepted ticket can be in force elsewhere for longer than StaleAfter
// unnoticed.
func (k *Keeper) Fresh(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loaded && now.Sub(k.verified) <= k.settings.StaleAfter
}

// HandlePeer reacts to a peer's message that concerns the configuration.
func (k *Keeper) HandlePeer(ctx context.Context, e port.PeerEvent) {
	switch m := e.Message; {
	case m.Notice != nil && m.Notice.ConfigNumber > k.Current().Number:
		k.Wake()
	case m.Load != nil && m.Load.ConfigNumber > k.Current().Number:
		k.Wake()
	case m.ConfigRequest != nil:
		k.reply(ctx, e.From.Instance, m.ConfigRequest.After)
	case m.Config != nil:
		k.adoptFromPeer(m.Config)
	}
}

func (k *Keeper) reply(ctx context.Context, to string, after int64) {
	cfg := k.Current()
	if cfg.Number <= after {
		return
	}
	if err := k.peers.Send(ctx, to, port.PeerMessage{Config: snapshot(cfg)}); err != nil {
		k.log.Debug("config_reply_failed", zap.Error(err))
	}
}

func snapshot(cfg *structs.Config) *port.PeerConfig {
	out := &port.PeerConfig{Number: cfg.Number}
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
	}
	for _, w := range c.Workspaces {
		cfg.Workspaces[w.Name] = w
	}
	for _, s := range c.Services {
		cfg.Services[s.Key()] = s
	}
	k.adopt(cfg, 0, false)
	k.verifyByPeers()
}

// adopt puts a configuration into force unless a newer one is. Verified says
// that the version row was read at revision.
func (k *Keeper) adopt(cfg *structs.Config, revision int64, verified bool) {
	k.mu.Lock()
	newer := cfg.Number > k.Current().Number
	if newer {
		k.current.Store(cfg)
		k.versionRevision = 0
	}
	if verified && cfg.Number == k.Current().Number {
		k.versionRevision = revision
		k.verified = time.Now()
	}
	k.loaded = true
	k.mu.Unlock()
	if newer {
		k.log.Info("config_in_force", zap.Int64("number", cfg.Number))
		k.notify(cfg)
	}
}

func (k *Keeper) notify(cfg *structs.Config) {
	for _, f := range k.changed {
		f(cfg)
	}
}

// State describes a keeper in a dump.
type State struct {
	Number      int64     `json:"number"`
	Loaded      bool      `json:"loaded"`
	Verified    time.Time `json:"verified"`
	Workspaces  int       `json:"workspaces"`
	Services    int       `json:"services"`
	ByMajority  bool      `json:"majority_of_peers_heard"`
	FreshAtDump bool      `json:"fresh"`
}

// State returns the keeper's state for a dump.
func (k *Keeper) State() State {
	cfg := k.Current()
	majority := k.majority(k.peers.Live())
	fresh := k.Fresh(time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	return State{
		Number:      cfg.Number,
		Loaded:      k.loaded,
		Verified:    k.verified,
		Workspaces:  len(cfg.Workspaces),
		Services:    len(cfg.Services),
		ByMajority:  majority,
		FreshAtDump: fresh,
	}
}
