package config

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
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

// The command line still overrides these flags, as in -rapid.seed=7
// -rapid.checks=5000.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
}

// inForceBound is the time within which an accepted ticket is in force at
// every instance that reports itself fresh.
const inForceBound = 7 * time.Second

var testSettings = Settings{PollInterval: time.Second, ReadTimeout: time.Second, StaleAfter: 4 * time.Second}

// group is a set of keepers that share a table and are connected as peers.
type group struct {
	table     *fake.Table
	instances []*instance
	wg        sync.WaitGroup
}

// instance is a simulated instance. Tests can cut it off from its peers and from
// the table. The fields that a test changes while keepers run are atomic.
type instance struct {
	group  *group
	id     string
	keeper atomic.Pointer[Keeper]
	cancel context.CancelFunc
	// partition is the network partition that the instance belongs to.
	partition        atomic.Int32
	tableUnreachable atomic.Bool
}

// isolated is the partition of an instance without connections to its peers.
const isolated int32 = -1

func newGroup(size int) *group {
	g := &group{table: fake.NewTable()}
	for i := range size {
		g.instances = append(g.instances, &instance{group: g, id: fmt.Sprintf("entry-%d", i)})
	}
	for _, inst := range g.instances {
		inst.create()
	}
	for _, inst := range g.instances {
		inst.start()
	}
	return g
}

func (g *group) close() {
	for _, inst := range g.instances {
		inst.cancel()
	}
	g.wg.Wait()
}

func (inst *instance) create() {
	st := store.New(inst, store.NewWriterID(inst.id))
	none := func() Fleet { return Fleet{} }
	inst.keeper.Store(New(testSettings, st, inst, inst, none, zap.NewNop()))
}

// connect puts the instance into a partition and makes the table reachable or not.
func (inst *instance) connect(partition int32, tableReachable bool) {
	inst.partition.Store(partition)
	inst.tableUnreachable.Store(!tableReachable)
}

func (inst *instance) start() {
	ctx, cancel := context.WithCancel(context.Background())
	inst.cancel = cancel
	k := inst.keeper.Load()
	inst.group.wg.Go(func() { _ = k.Run(ctx) })
}

func (inst *instance) restart() {
	inst.cancel()
	synctest.Wait()
	inst.create()
	inst.start()
}

// reachable returns the other instances in the same partition, or none if the
// instance is isolated.
func (inst *instance) reachable() []*instance {
	var out []*instance
	partition := inst.partition.Load()
	for _, o := range inst.group.instances {
		if o != inst && partition != isolated && partition == o.partition.Load() {
			out = append(out, o)
		}
	}
	return out
}

// Instances implements Members.
func (inst *instance) Instances() []string {
	var out []string
	for _, o := range inst.group.instances {
		if o != inst {
			out = append(out, o.id)
		}
	}
	return out
}

// Live implements port.Peers.
func (inst *instance) Live() []port.PeerInfo {
	var out []port.PeerInfo
	for _, o := range inst.reachable() {
		out = append(out, port.PeerInfo{
			Hello:     port.PeerHello{Instance: o.id},
			Heartbeat: port.PeerHeartbeat{ConfigNumber: o.keeper.Load().Current().Number},
		})
	}
	return out
}

// Broadcast implements port.Peers.
func (inst *instance) Broadcast(m port.PeerMessage) {
	for _, o := range inst.reachable() {
		inst.deliver(o, m)
	}
}

// Send implements port.Peers.
func (inst *instance) Send(_ context.Context, instance string, m port.PeerMessage) error {
	for _, o := range inst.reachable() {
		if o.id == instance {
			inst.deliver(o, m)
			return nil
		}
	}
	return fault.New(fault.Unavailable, "peer is not connected")
}

func (inst *instance) deliver(to *instance, m port.PeerMessage) {
	e := port.PeerEvent{From: port.PeerHello{Instance: inst.id}, Message: m}
	inst.group.wg.Go(func() { to.keeper.Load().HandlePeer(context.Background(), e) })
}

var errTableUnreachable = fault.New(fault.Unavailable, "table is unavailable")

// Get implements port.Table.
func (inst *instance) Get(ctx context.Context, keys ...string) ([]port.Row, error) {
	if inst.tableUnreachable.Load() {
		return nil, errTableUnreachable
	}
	return inst.group.table.Get(ctx, keys...)
}

// Scan implements port.Table.
func (inst *instance) Scan(ctx context.Context, prefix, after string, limit int) ([]port.Row, bool, error) {
	if inst.tableUnreachable.Load() {
		return nil, false, errTableUnreachable
	}
	return inst.group.table.Scan(ctx, prefix, after, limit)
}

// Commit implements port.Table.
func (inst *instance) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	if inst.tableUnreachable.Load() {
		return 0, errTableUnreachable
	}
	return inst.group.table.Commit(ctx, txn)
}

func document(number int64, author string) []byte {
	return fmt.Appendf(nil, `{"number":%d,"author":%q,"workspaces":[{"name":"research","guarantees":[],`+
		`"borrowing_limit_accelerators":8,"nominal_slots":1,"weight":1}]}`, number, author)
}

func (inst *instance) accept(number int64, author string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := inst.keeper.Load().Accept(ctx, document(number, author))
	return err
}

func TestOneOfConcurrentTicketsIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		synctest.Wait()
		errs := make([]error, 2)
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() { errs[i] = g.instances[i].accept(1, fmt.Sprint("operator-", i)) })
		}
		wg.Wait()
		slices.SortFunc(errs, func(a, b error) int { return len(fault.CodeOf(a)) - len(fault.CodeOf(b)) })
		must.NoError(t, errs[0])
		must.Eq(t, fault.Conflict, fault.CodeOf(errs[1]))
		var typed *fault.Error
		must.True(t, errors.As(errs[1], &typed))
		must.Eq(t, 1, typed.TicketNumber)
	})
}

func TestTicketWithLostAnswerIsAcceptedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		synctest.Wait()
		g.table.SetFaults(fake.TableFaults{LoseReplies: true})
		must.NoError(t, g.instances[0].accept(1, "operator"))
		must.Eq(t, fault.Conflict, fault.CodeOf(g.instances[1].accept(1, "other")))
		g.table.SetFaults(fake.TableFaults{})
		must.NoError(t, g.instances[1].accept(1, "operator"))
		must.Eq(t, 1, g.instances[1].keeper.Load().Current().Number)
	})
}

func TestIsolatedInstanceIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		time.Sleep(time.Second)
		must.True(t, g.instances[0].keeper.Load().Fresh(time.Now()))
		g.instances[0].connect(isolated, false)
		time.Sleep(testSettings.StaleAfter + 2*testSettings.PollInterval)
		must.False(t, g.instances[0].keeper.Load().Fresh(time.Now()))
		must.NoError(t, g.instances[1].accept(1, "operator"))
	})
}

func TestMinorityWithoutTableIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(5)
		defer g.close()
		time.Sleep(time.Second)
		g.partition(0, 1)
		must.NoError(t, g.instances[2].accept(1, "operator"))
		time.Sleep(inForceBound)
		must.False(t, g.instances[0].keeper.Load().Fresh(time.Now()))
		must.True(t, g.instances[2].keeper.Load().Fresh(time.Now()))
	})
}

// Guards against accepting a ticket without a majority. Without the table, a
// majority verifies its configuration by comparing numbers among its members,
// so it would miss a ticket accepted by the minority.
func TestMinorityWithTableRejectsTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(5)
		defer g.close()
		time.Sleep(time.Second)
		g.partition(2, 3, 4)
		must.Eq(t, fault.Unavailable, fault.CodeOf(g.instances[0].accept(1, "operator")))
		time.Sleep(inForceBound)
		must.True(t, g.instances[2].keeper.Load().Fresh(time.Now()))
	})
}

// partition cuts instances off from the table and from all instances but each
// other.
func (g *group) partition(instances ...int) {
	for _, i := range instances {
		g.instances[i].connect(1, false)
	}
}

func TestRestartedInstanceAdoptsPeerConfigDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		time.Sleep(time.Second)
		must.NoError(t, g.instances[1].accept(1, "operator"))
		time.Sleep(2 * time.Second)
		g.table.SetFaults(fake.TableFaults{Down: true})
		g.instances[0].partition.Store(isolated)
		g.instances[0].restart()
		time.Sleep(time.Minute)
		must.False(t, g.instances[0].keeper.Load().Fresh(time.Now()))
		must.True(t, g.instances[1].keeper.Load().Fresh(time.Now()))
		g.instances[0].partition.Store(0)
		time.Sleep(3 * time.Second)
		must.True(t, g.instances[0].keeper.Load().Fresh(time.Now()))
		must.Eq(t, 1, g.instances[0].keeper.Load().Current().Number)
	})
}

func TestLowerNumberFromPeerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		synctest.Wait()
		must.NoError(t, g.instances[0].accept(1, "operator"))
		k := g.instances[0].keeper.Load()
		k.HandlePeer(context.Background(), port.PeerEvent{Message: port.PeerMessage{Config: &port.PeerConfig{Number: 0}}})
		must.Eq(t, 1, k.Current().Number)
		must.MapLen(t, 1, k.Current().Workspaces)
	})
}

func TestLargeGapIsClosedByLoadingObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		synctest.Wait()
		for number := int64(1); number <= maxDeltaTickets+2; number++ {
			must.NoError(t, g.instances[0].accept(number, "operator"))
		}
		g.instances[1].restart()
		time.Sleep(2 * time.Second)
		must.Eq(t, maxDeltaTickets+2, g.instances[1].keeper.Load().Current().Number)
		must.Eq(t, g.instances[0].keeper.Load().Current().Workspaces, g.instances[1].keeper.Load().Current().Workspaces)
	})
}

type action int

const (
	actAccept action = iota
	actIsolate
	actPartition
	actDisconnectTable
	actReconnect
	actRestart
	actTableDown
	actLoseReplies
	actRestoreTable
	actionCount
)

type step struct {
	action   action
	instance int
	wait     time.Duration
}

// TestModel runs keepers through random partitions, outages and restarts.
// After each step it checks that numbers never decrease within a process,
// that each accepted number has one author, and that a fresh keeper misses no
// ticket accepted more than 7 s ago. At the end it repairs everything and checks
// that every keeper is fresh and has the newest ticket.
//
// Together with the tests above it guards against these faults:
//   - Fresh is true whenever a configuration is loaded.
//   - A minority of the instances verifies a configuration.
//   - A ticket is accepted without a majority.
//   - adopt accepts a lower number.
//   - The digests of two tickets with the same number aren't compared.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 40).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runModel(steps) })
		if len(violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
}

func drawStep(rt *rapid.T) step {
	return step{
		action:   action(rapid.IntRange(0, int(actionCount)-1).Draw(rt, "action")),
		instance: rapid.IntRange(0, 4).Draw(rt, "node"),
		wait:     time.Duration(rapid.IntRange(1, 5000).Draw(rt, "wait")) * time.Millisecond,
	}
}

// model holds the instances and the state expected of them.
type model struct {
	*group
	accepted   map[int64]time.Time
	authors    map[int64]string
	lastNumber map[*Keeper]int64
	violations []string
}

func runModel(steps []step) []string {
	m := &model{
		group:      newGroup(5),
		accepted:   make(map[int64]time.Time),
		authors:    make(map[int64]string),
		lastNumber: make(map[*Keeper]int64),
	}
	defer m.close()
	for i, s := range steps {
		m.apply(i, s)
		time.Sleep(s.wait)
		m.check()
	}
	m.table.SetFaults(fake.TableFaults{})
	for _, inst := range m.instances {
		inst.connect(0, true)
	}
	time.Sleep(inForceBound)
	m.check()
	m.checkRecovered()
	return m.violations
}

func (m *model) apply(i int, s step) {
	inst := m.instances[s.instance]
	switch s.action {
	case actAccept:
		m.accept(inst, fmt.Sprint("author-", i))
	case actIsolate:
		inst.partition.Store(isolated)
	case actPartition:
		inst.partition.Store(1)
	case actDisconnectTable:
		inst.tableUnreachable.Store(true)
	case actReconnect:
		inst.connect(0, true)
	case actRestart:
		inst.restart()
	case actTableDown:
		m.table.SetFaults(fake.TableFaults{Down: true})
	case actLoseReplies:
		m.table.SetFaults(fake.TableFaults{LoseReplies: true})
	case actRestoreTable:
		m.table.SetFaults(fake.TableFaults{})
	}
}

func (m *model) accept(inst *instance, author string) {
	number := inst.keeper.Load().Current().Number + 1
	if inst.accept(number, author) != nil {
		return
	}
	if other, ok := m.authors[number]; ok && other != author {
		m.violations = append(m.violations, fmt.Sprintf("ticket %d was accepted from %s and %s", number, other, author))
	}
	m.authors[number] = author
	m.accepted[number] = time.Now()
}

func (m *model) check() {
	now := time.Now()
	for _, inst := range m.instances {
		keeper := inst.keeper.Load()
		number := keeper.Current().Number
		if number < m.lastNumber[keeper] {
			m.violations = append(m.violations, fmt.Sprintf("%s went back from configuration %d to %d", inst.id, m.lastNumber[keeper], number))
		}
		m.lastNumber[keeper] = number
		for accepted, at := range m.accepted {
			if accepted > number && now.Sub(at) > inForceBound && keeper.Fresh(now) {
				m.violations = append(m.violations, fmt.Sprintf("%s reports configuration %d as fresh %v after ticket %d was accepted", inst.id, number, now.Sub(at), accepted))
			}
		}
	}
}

func (m *model) checkRecovered() {
	for _, inst := range m.instances {
		number := inst.keeper.Load().Current().Number
		if !inst.keeper.Load().Fresh(time.Now()) || number < int64(len(m.accepted)) {
			m.violations = append(m.violations, fmt.Sprintf("%s has configuration %d of %d after recovery", inst.id, number, len(m.accepted)))
		}
	}
}
