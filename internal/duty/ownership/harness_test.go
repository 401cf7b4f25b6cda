package ownership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/lentilwinch/lentilwinch/internal/duty/session"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const workPrefix = "work/"

// workRow is a row that an owner writes under its grant.
type workRow struct {
	Domain, Incarnation string
	Epoch               int64
}

// oracle checks the invariants of ownership on every transaction that the
// table accepts. It runs under the table's lock.
type oracle struct {
	mu         sync.Mutex
	owners     map[string]Owner
	sessions   map[string]time.Time
	healthy    map[string]bool
	violations []string
	// takeovers holds the time of each failure domain's last takeover.
	takeovers map[string]time.Time
	workCount int
}

func (o *oracle) onCommit(txn port.Txn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range txn.Writes {
		row := port.Row{Key: w.Key, Value: w.Value}
		switch {
		case strings.HasPrefix(w.Key, store.SessionPrefix):
			o.onSessionWrite(strings.TrimPrefix(w.Key, store.SessionPrefix), w.Delete)
		case strings.HasPrefix(w.Key, store.OwnerPrefix):
			var next Owner
			o.check(store.Decode(row, &next) == nil, "undecodable owner row")
			o.onOwnerWrite(strings.TrimPrefix(w.Key, store.OwnerPrefix), next)
		case strings.HasPrefix(w.Key, workPrefix):
			var done workRow
			o.check(store.Decode(row, &done) == nil, "undecodable work row")
			owner := o.owners[done.Domain]
			o.check(owner.Incarnation == done.Incarnation && owner.Epoch == done.Epoch,
				"row %+v accepted while the owner is %+v", done, owner)
			o.workCount++
		}
	}
}

func (o *oracle) onSessionWrite(incarnation string, deleted bool) {
	if deleted {
		o.check(!o.healthy[incarnation], "session %s of a healthy process was deleted %v after its renewal",
			incarnation, time.Since(o.sessions[incarnation]))
		delete(o.sessions, incarnation)
		return
	}
	o.sessions[incarnation] = time.Now()
}

func (o *oracle) onOwnerWrite(domain string, next Owner) {
	previous := o.owners[domain]
	o.owners[domain] = next
	if next.Incarnation == "" {
		o.check(next.Epoch == previous.Epoch, "release of %s changed the epoch", domain)
		return
	}
	_, previousLive := o.sessions[previous.Incarnation]
	_, nextLive := o.sessions[next.Incarnation]
	o.check(next.Epoch > previous.Epoch, "epoch of %s did not increase: was %d, is %d", domain, previous.Epoch, next.Epoch)
	o.check(!previousLive, "%s taken over from a live session", domain)
	o.check(nextLive, "%s taken over by a session that isn't live", domain)
	o.takeovers[domain] = time.Now()
}

func (o *oracle) check(ok bool, format string, args ...any) {
	if !ok {
		o.violations = append(o.violations, fmt.Sprintf(format, args...))
	}
}

func (o *oracle) takeoverTime(domain string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.takeovers[domain]
}

func (o *oracle) workRows() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.workCount
}

func (o *oracle) renewalTime(incarnation string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sessions[incarnation]
}

func (o *oracle) report() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violations
}

// gate is one process's connection to the table. While it is frozen, calls and
// replies block and, as in a paused process, call timeouts don't expire.
type gate struct {
	port.Table
	mu     sync.Mutex
	frozen chan struct{}
	dead   bool
	// lag returns the delay of the next call. Nil means no delay.
	lag func() time.Duration
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gate) thaw(dead bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dead = dead
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *gate) pass(ctx context.Context) (context.Context, error) {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen != nil {
		<-frozen
		ctx = context.WithoutCancel(ctx)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return ctx, fault.New(fault.Unavailable, "process was killed")
	}
	return ctx, nil
}

func (g *gate) delay(ctx context.Context) error {
	g.mu.Lock()
	lag := g.lag
	g.mu.Unlock()
	if lag == nil {
		return nil
	}
	select {
	case <-time.After(lag()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func callThrough[T any](ctx context.Context, g *gate, call func(context.Context) (T, error)) (T, error) {
	var zero T
	ctx, err := g.pass(ctx)
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if g.delay(ctx) != nil {
		return zero, fault.New(fault.Uncertain, "no reply in time")
	}
	out, err := call(ctx)
	if _, dead := g.pass(ctx); dead != nil {
		return zero, dead
	}
	return out, err
}

func (g *gate) Get(ctx context.Context, keys ...string) ([]port.Row, error) {
	return callThrough(ctx, g, func(ctx context.Context) ([]port.Row, error) { return g.Table.Get(ctx, keys...) })
}

func (g *gate) Scan(ctx context.Context, prefix, after string, limit int) (rows []port.Row, more bool, err error) {
	rows, err = callThrough(ctx, g, func(ctx context.Context) ([]port.Row, error) {
		var found []port.Row
		found, more, err = g.Table.Scan(ctx, prefix, after, limit)
		return found, err
	})
	return rows, more, err
}

func (g *gate) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	return callThrough(ctx, g, func(ctx context.Context) (int64, error) { return g.Table.Commit(ctx, txn) })
}

// process is one instance's session and ownership, with a writer that commits
// rows for the owned failure domains.
type process struct {
	name      string
	gate      *gate
	store     *store.Store
	session   *session.Session
	ownership *Ownership
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

type cluster struct {
	table   *fake.Table
	oracle  *oracle
	domains []string
	procs   []*process
	starts  int
	// readOnly disables the writers of the processes.
	readOnly bool
}

func newCluster(instances, domains int) *cluster {
	c := emptyCluster(instances, domains)
	for i := range instances {
		c.start(i)
	}
	return c
}

func emptyCluster(instances, domains int) *cluster {
	c := &cluster{table: fake.NewTable(), oracle: &oracle{
		owners:    make(map[string]Owner),
		sessions:  make(map[string]time.Time),
		healthy:   make(map[string]bool),
		takeovers: make(map[string]time.Time),
	}}
	c.table.OnCommit(c.oracle.onCommit)
	for i := range domains {
		c.domains = append(c.domains, fmt.Sprintf("domain%d", i))
	}
	c.procs = make([]*process, instances)
	return c
}

func (c *cluster) startStaggered() {
	for i := range c.procs {
		c.start(i)
		time.Sleep(137 * time.Millisecond)
	}
}

func (c *cluster) start(i int) {
	c.starts++
	name := fmt.Sprintf("instance%d", i)
	g := &gate{Table: c.table}
	st := store.New(g, fmt.Sprintf("%s/%d", name, c.starts))
	self := session.Self{Instance: name, Domain: c.domains[i%len(c.domains)], Address: "127.0.0.1:1"}
	s := session.New(session.Config{}, st, self)
	own := New(Config{Domains: func() []string { return c.domains }}, st, s, self)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{name: name, gate: g, store: st, session: s, ownership: own, stop: stop}
	p.wg.Go(func() { _ = s.Run(ctx) })
	p.wg.Go(func() { _ = own.Run(ctx) })
	if !c.readOnly {
		p.wg.Go(func() { p.write(ctx) })
	}
	c.procs[i] = p
	c.oracle.mu.Lock()
	defer c.oracle.mu.Unlock()
	c.oracle.healthy[s.Incarnation()] = true
}

// allowExpiry permits other processes to expire the session of p.
func (c *cluster) allowExpiry(p *process) {
	c.oracle.mu.Lock()
	defer c.oracle.mu.Unlock()
	delete(c.oracle.healthy, p.session.Incarnation())
}

func (p *process) write(ctx context.Context) {
	for seq := 0; ctx.Err() == nil; seq++ {
		for _, grant := range p.ownership.Owned() {
			if !p.session.Usable(time.Now()) {
				continue
			}
			key := fmt.Sprintf("%s%s/%s/%d", workPrefix, grant.Domain, grant.Incarnation, seq)
			done := workRow{Domain: grant.Domain, Incarnation: grant.Incarnation, Epoch: grant.Epoch}
			txn := new(store.Txn).Create(key, done)
			limited, cancel := context.WithTimeout(ctx, time.Second)
			_, _ = p.store.Commit(limited, grant.Require(txn))
			cancel()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (c *cluster) kill(i int) {
	p := c.procs[i]
	c.allowExpiry(p)
	p.gate.thaw(true)
	p.stop()
	p.wg.Wait()
	c.procs[i] = nil
}

func (c *cluster) close() {
	c.table.SetFaults(fake.TableFaults{})
	for i, p := range c.procs {
		if p != nil {
			c.kill(i)
		}
	}
}

// ownerOf returns the index of the process whose grant matches the owner row,
// or -1, and the number of processes that hold a grant for the failure domain.
func (c *cluster) ownerOf(domain string) (owner, grants int) {
	c.oracle.mu.Lock()
	row := c.oracle.owners[domain]
	c.oracle.mu.Unlock()
	owner = -1
	for i, p := range c.procs {
		if p == nil {
			continue
		}
		grant, ok := p.ownership.Grant(domain)
		if ok {
			grants++
		}
		if ok && grant.Epoch == row.Epoch && p.session.Incarnation() == row.Incarnation {
			owner = i
		}
	}
	return owner, grants
}

// addJitter delays about half of the calls of every process.
func (c *cluster) addJitter(delay time.Duration) {
	for i, p := range c.procs {
		p.gate.mu.Lock()
		random := rand.New(rand.NewPCG(1, uint64(i)))
		var mu sync.Mutex
		p.gate.lag = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(random.IntN(2)) * delay
		}
		p.gate.mu.Unlock()
	}
}

// epochs returns the epoch of every failure domain, in the order of c.domains.
func (c *cluster) epochs() []int64 {
	c.oracle.mu.Lock()
	defer c.oracle.mu.Unlock()
	out := make([]int64, len(c.domains))
	for i, domain := range c.domains {
		out[i] = c.oracle.owners[domain].Epoch
	}
	return out
}

// problems returns the oracle's violations, and the failure domains that don't
// have exactly one owner.
func (c *cluster) problems() []string {
	out := c.oracle.report()
	for _, domain := range c.domains {
		owner, grants := c.ownerOf(domain)
		if owner < 0 || grants != 1 {
			out = append(out, fmt.Sprintf("%s has owner %d and %d grants", domain, owner, grants))
		}
	}
	return out
}
