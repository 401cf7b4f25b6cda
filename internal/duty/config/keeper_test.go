package config

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

// The command line still overrides these, as in -rapid.seed=7 -rapid.checks=5000.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
}

// inForce is the promise for accepted tickets.
const inForce = 7 * time.Second

var testSettings = Settings{Poll: time.Second, ReadTimeout: time.Second, StaleAfter: 4 * time.Second}

// group is a set of keepers with one table and links between them.
type group struct {
	table *fake.Table
	nodes []*node
	wg    sync.WaitGroup
}

// node is one instance; its links and its way to the table can be cut.
type node struct {
	group  *group
	id     string
	keeper *Keeper
	cancel context.CancelFunc
	// side is the part of a divided network that the node is in.
	side     int
	cutTable bool
}

// alone is the side of a node without links.
const alone = -1

func newGroup(n int) *group {
	g := &group{table: fake.NewTable()}
	for i := range n {
		g.nodes = append(g.nodes, &node{group: g, id: fmt.Sprintf("entry-%d", i)})
	}
	for _, n := range g.nodes {
		n.create()
	}
	for _, n := range g.nodes {
		n.start()
	}
	return g
}

func (g *group) close() {
	for _, n := range g.nodes {
		n.cancel()
	}
	g.wg.Wait()
}

func (n *node) create() {
	st := store.New(n, store.NewWriter(n.id))
	none := func() Fleet { return Fleet{} }
	n.keeper = New(testSettings, st, n, n, none, zap.NewNop())
}

func (n *node) start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	k := n.keeper
	n.group.wg.Go(func() { _ = k.Run(ctx) })
}

func (n *node) restart() {
	n.cancel()
	synctest.Wait()
	n.create()
	n.start()
}

// reachable returns the nodes that a node has a link with.
func (n *node) reachable() []*node {
	var out []*node
	for _, o := range n.group.nodes {
		if o != n && n.side != alone && n.side == o.side {
			out = append(out, o)
		}
	}
	return out
}

// Instances implements Members.
func (n *node) Instances() []string {
	var out []string
	for _, o := range n.group.nodes {
		if o != n {
			out = append(out, o.id)
		}
	}
	return out
}

// Live implements port.Peers.
func (n *node) Live() []port.PeerInfo {
	var out []port.PeerInfo
	for _, o := range n.reachable() {
		out = append(out, port.PeerInfo{
			Hello: port.PeerHello{Instance: o.id},
			Load:  port.PeerLoad{ConfigNumber: o.keeper.Current().Number},
		})
	}
	return out
}

// Broadcast implements port.Peers.
func (n *node) Broadcast(m port.PeerMessage) {
	for _, o := range n.reachable() {
		n.deliver(o, m)
	}
}

// Send implements port.Peers.
func (n *node) Send(_ context.Context, instance string, m port.PeerMessage) error {
	for _, o := range n.reachable() {
		if o.id == instance {
			n.deliver(o, m)
			return nil
		}
	}
	return fault.New(fault.Unavailable, "no link")
}

func (n *node) deliver(to *node, m port.PeerMessage) {
	e := port.PeerEvent{From: port.PeerHello{Instance: n.id}, Message: m}
	n.group.wg.Go(func() { to.keeper.HandlePeer(context.Background(), e) })
}

var errCut = fault.New(fault.Unavailable, "the table can't be reached")

// Get implements port.Table.
func (n *node) Get(ctx context.Context, keys ...string) ([]port.Row, error) {
	if n.cutTable {
		return nil, errCut
	}
	return n.group.table.Get(ctx, keys...)
}

// Scan implements port.Table.
func (n *node) Scan(ctx context.Context, prefix, after string, limit int) ([]port.Row, bool, error) {
	if n.cutTable {
		return nil, false, errCut
	}
	return n.group.table.Scan(ctx, prefix, after, limit)
}

// Commit implements port.Table.
func (n *node) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	if n.cutTable {
		return 0, errCut
	}
	return n.group.table.Commit(ctx, txn)
}

func document(number int64, author string) []byte {
	return fmt.Appendf(nil, `{"number":%d,"author":%q,"workspaces":[{"name":"research","guarantees":[],`+
		`"borrowing_limit_accelerators":8,"nominal_slots":1,"weight":1}]}`, number, author)
}

func (n *node) accept(number int64, author string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := n.keeper.Accept(ctx, document(number, author))
	return err
}

func TestOfTwoRacingOperatorsOneWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		synctest.Wait()
		errs := make([]error, 2)
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() { errs[i] = g.nodes[i].accept(1, fmt.Sprint("operator-", i)) })
		}
		wg.Wait()
		slices.SortFunc(errs, func(a, b error) int { return len(fault.CodeOf(a)) - len(fault.CodeOf(b)) })
		must.NoError(t, errs[0])
		must.Eq(t, fault.Conflict, fault.CodeOf(errs[1]))
		var typed *fault.Error
		must.True(t, errors.As(errs[1], &typed))
		must.Eq(t, 1, typed.Number)
	})
}

func TestTicketWithLostAnswerIsAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		synctest.Wait()
		g.table.SetFaults(fake.TableFaults{LoseAnswers: true})
		must.NoError(t, g.nodes[0].accept(1, "operator"))
		must.Eq(t, fault.Conflict, fault.CodeOf(g.nodes[1].accept(1, "other")))
		g.table.SetFaults(fake.TableFaults{})
		must.NoError(t, g.nodes[1].accept(1, "operator"))
		must.Eq(t, 1, g.nodes[1].keeper.Current().Number)
	})
}

func TestCutOffInstanceStopsBeingFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		time.Sleep(time.Second)
		must.True(t, g.nodes[0].keeper.Fresh(time.Now()))
		g.nodes[0].side, g.nodes[0].cutTable = alone, true
		time.Sleep(testSettings.StaleAfter + 2*testSettings.Poll)
		must.False(t, g.nodes[0].keeper.Fresh(time.Now()))
		must.NoError(t, g.nodes[1].accept(1, "operator"))
	})
}

func TestMinorityWithoutTheTableStopsBeingFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(5)
		defer g.close()
		time.Sleep(time.Second)
		g.divide(0, 1)
		must.NoError(t, g.nodes[2].accept(1, "operator"))
		time.Sleep(inForce)
		must.False(t, g.nodes[0].keeper.Fresh(time.Now()))
		must.True(t, g.nodes[2].keeper.Fresh(time.Now()))
	})
}

// The majority goes on by its own word, so that a ticket accepted by the
// minority would be missing there.
func TestMinorityWithTheTableAcceptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(5)
		defer g.close()
		time.Sleep(time.Second)
		g.divide(2, 3, 4)
		must.Eq(t, fault.Unavailable, fault.CodeOf(g.nodes[0].accept(1, "operator")))
		time.Sleep(inForce)
		must.True(t, g.nodes[2].keeper.Fresh(time.Now()))
	})
}

// divide cuts nodes off from the table and from all nodes but each other.
func (g *group) divide(nodes ...int) {
	for _, i := range nodes {
		g.nodes[i].side, g.nodes[i].cutTable = 1, true
	}
}

func TestFreshInstanceInAnOutageTakesTheNumberOfItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		time.Sleep(time.Second)
		must.NoError(t, g.nodes[1].accept(1, "operator"))
		time.Sleep(2 * time.Second)
		g.table.SetFaults(fake.TableFaults{Down: true})
		g.nodes[0].side = alone
		g.nodes[0].restart()
		time.Sleep(time.Minute)
		must.False(t, g.nodes[0].keeper.Fresh(time.Now()))
		must.True(t, g.nodes[1].keeper.Fresh(time.Now()))
		g.nodes[0].side = 0
		time.Sleep(3 * time.Second)
		must.True(t, g.nodes[0].keeper.Fresh(time.Now()))
		must.Eq(t, 1, g.nodes[0].keeper.Current().Number)
	})
}

func TestLowerNumberFromAPeerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		synctest.Wait()
		must.NoError(t, g.nodes[0].accept(1, "operator"))
		k := g.nodes[0].keeper
		k.HandlePeer(context.Background(), port.PeerEvent{Message: port.PeerMessage{Config: &port.PeerConfig{Number: 0}}})
		must.Eq(t, 1, k.Current().Number)
		must.MapLen(t, 1, k.Current().Workspaces)
	})
}

func TestGapIsClosedByTheObjectsInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		synctest.Wait()
		for number := int64(1); number <= maxDelta+2; number++ {
			must.NoError(t, g.nodes[0].accept(number, "operator"))
		}
		g.nodes[1].restart()
		time.Sleep(2 * time.Second)
		must.Eq(t, maxDelta+2, g.nodes[1].keeper.Current().Number)
		must.Eq(t, g.nodes[0].keeper.Current().Workspaces, g.nodes[1].keeper.Current().Workspaces)
	})
}

type action int

const (
	actAccept action = iota
	actCutLinks
	actDivide
	actCutTable
	actJoin
	actRestart
	actDown
	actLoseAnswers
	actHeal
	actionCount
)

type step struct {
	action action
	node   int
	wait   time.Duration
}

// TestModel drives keepers through random cuts, outages and restarts, and
// checks after each step that numbers never go back within a process, that one
// author holds each accepted number, and that a keeper which counts itself
// fresh misses no ticket that was accepted longer than 7 s ago.
//
// Seen failing, with one mutation each, here or in the focused tests above:
// Fresh always true once loaded, peers taken for verification or tickets
// accepted without a majority, adopt taking any number, no comparison of
// digests.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "steps")
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = runModel(steps) })
		if len(faults) > 0 {
			rt.Fatalf("%d faults, first: %s", len(faults), faults[0])
		}
	})
}

func drawStep(rt *rapid.T) step {
	return step{
		action: action(rapid.IntRange(0, int(actionCount)-1).Draw(rt, "action")),
		node:   rapid.IntRange(0, 4).Draw(rt, "node"),
		wait:   time.Duration(rapid.IntRange(1, 5000).Draw(rt, "wait")) * time.Millisecond,
	}
}

// model is what the oracle knows.
type model struct {
	*group
	accepted map[int64]time.Time
	authors  map[int64]string
	seen     map[*Keeper]int64
	faults   []string
}

func runModel(steps []step) []string {
	m := &model{
		group:    newGroup(5),
		accepted: make(map[int64]time.Time),
		authors:  make(map[int64]string),
		seen:     make(map[*Keeper]int64),
	}
	defer m.close()
	for i, s := range steps {
		m.apply(i, s)
		time.Sleep(s.wait)
		m.judge()
	}
	m.table.SetFaults(fake.TableFaults{})
	for _, n := range m.nodes {
		n.side, n.cutTable = 0, false
	}
	time.Sleep(inForce)
	m.judge()
	m.judgeHealed()
	return m.faults
}

func (m *model) apply(i int, s step) {
	n := m.nodes[s.node]
	switch s.action {
	case actAccept:
		m.accept(n, fmt.Sprint("author-", i))
	case actCutLinks:
		n.side = alone
	case actDivide:
		n.side = 1
	case actCutTable:
		n.cutTable = true
	case actJoin:
		n.side, n.cutTable = 0, false
	case actRestart:
		n.restart()
	case actDown:
		m.table.SetFaults(fake.TableFaults{Down: true})
	case actLoseAnswers:
		m.table.SetFaults(fake.TableFaults{LoseAnswers: true})
	case actHeal:
		m.table.SetFaults(fake.TableFaults{})
	}
}

func (m *model) accept(n *node, author string) {
	number := n.keeper.Current().Number + 1
	if n.accept(number, author) != nil {
		return
	}
	if other, ok := m.authors[number]; ok && other != author {
		m.faults = append(m.faults, fmt.Sprintf("ticket %d was accepted from %s and %s", number, other, author))
	}
	m.authors[number] = author
	m.accepted[number] = time.Now()
}

func (m *model) judge() {
	now := time.Now()
	for _, n := range m.nodes {
		number := n.keeper.Current().Number
		if number < m.seen[n.keeper] {
			m.faults = append(m.faults, fmt.Sprintf("%s went from %d back to %d", n.id, m.seen[n.keeper], number))
		}
		m.seen[n.keeper] = number
		for accepted, at := range m.accepted {
			if accepted > number && now.Sub(at) > inForce && n.keeper.Fresh(now) {
				m.faults = append(m.faults, fmt.Sprintf("%s counts itself fresh with %d, %v after %d", n.id, number, now.Sub(at), accepted))
			}
		}
	}
}

func (m *model) judgeHealed() {
	for _, n := range m.nodes {
		number := n.keeper.Current().Number
		if !n.keeper.Fresh(time.Now()) || number < int64(len(m.accepted)) {
			m.faults = append(m.faults, fmt.Sprintf("%s is at %d of %d after healing", n.id, number, len(m.accepted)))
		}
	}
}
