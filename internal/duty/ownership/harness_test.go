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
	mu sync.Mutex
	// owners holds the last accepted owner row of each failure domain.
	owners map[string]Owner
	// renewals holds the time of each live session's last renewal.
	renewals map[string]time.Time
	// healthy holds the incarnations whose sessions must not be deleted.
	healthy    map[string]bool
	violations []string
	// takeovers holds the time of each failure domain's last takeover.
	takeovers    map[string]time.Time
	workRowCount int
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
			var work workRow
			o.check(store.Decode(row, &work) == nil, "undecodable work row")
			owner := o.owners[work.Domain]
			o.check(owner.Incarnation == work.Incarnation && owner.Epoch == work.Epoch,
				"row %+v accepted while the owner is %+v", work, owner)
			o.workRowCount++
		}
	}
}

func (o *oracle) onSessionWrite(incarnation string, deleted bool) {
	if deleted {
		o.check(!o.healthy[incarnation], "session %s of a healthy process was deleted %v after its renewal",
			incarnation, time.Since(o.renewals[incarnation]))
		delete(o.renewals, incarnation)
		return
	}
	o.renewals[incarnation] = time.Now()
}

func (o *oracle) onOwnerWrite(domain string, next Owner) {
	previous := o.owners[domain]
	o.owners[domain] = next
	if next.Incarnation == "" {
		o.check(next.Epoch == previous.Epoch, "release of %s changed the epoch", domain)
		return
	}
	_, previousLive := o.renewals[previous.Incarnation]
	_, nextLive := o.renewals[next.Incarnation]
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
	return o.workRowCount
}

func (o *oracle) renewalTime(incarnation string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.renewals[incarnation]
}

func (o *oracle) listViolations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.violations
}

// connection is one process's connection to the table. While it is frozen, calls
// and replies block and, as in a paused process, call timeouts don't expire.
type connection struct {
	port.Table
	mu     sync.Mutex
	frozen chan struct{}
	killed bool
	// nextDelay returns the delay of the next call. Nil means no delay.
	nextDelay func() time.Duration
}

func (c *connection) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen == nil {
		c.frozen = make(chan struct{})
	}
}

// thaw unblocks the calls and replies. They fail if the process was killed.
func (c *connection) thaw(killed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = killed
	if c.frozen != nil {
		close(c.frozen)
		c.frozen = nil
	}
}

// waitWhileFrozen blocks while the connection is frozen and returns the context
// for the call: ctx, or after a freeze one without ctx's deadline, which may have
// passed. It fails if the process was killed.
func (c *connection) waitWhileFrozen(ctx context.Context) (context.Context, error) {
	c.mu.Lock()
	frozen := c.frozen
	c.mu.Unlock()
	if frozen != nil {
		<-frozen
		ctx = context.WithoutCancel(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.killed {
		return ctx, fault.New(fault.Unavailable, "process was killed")
	}
	return ctx, nil
}

func (c *connection) delay(ctx context.Context) error {
	c.mu.Lock()
	nextDelay := c.nextDelay
	c.mu.Unlock()
	if nextDelay == nil {
		return nil
	}
	select {
	case <-time.After(nextDelay()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// callTable makes a call to the table with the connection's delay. The call times
// out after 5 s.
func callTable[T any](ctx context.Context, c *connection, call func(context.Context) (T, error)) (T, error) {
	var zero T
	ctx, err := c.waitWhileFrozen(ctx)
	if err != nil {
		return zero, err
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	if c.delay(ctx) != nil {
		return zero, fault.New(fault.Uncertain, "no reply in time")
	}
	out, err := call(ctx)
	if _, killedErr := c.waitWhileFrozen(ctx); killedErr != nil {
		return zero, killedErr
	}
	return out, err
}

func (c *connection) Get(ctx context.Context, keys ...string) ([]port.Row, error) {
	return callTable(ctx, c, func(ctx context.Context) ([]port.Row, error) { return c.Table.Get(ctx, keys...) })
}

func (c *connection) Scan(ctx context.Context, prefix, after string, limit int) (rows []port.Row, more bool, err error) {
	rows, err = callTable(ctx, c, func(ctx context.Context) ([]port.Row, error) {
		var found []port.Row
		found, more, err = c.Table.Scan(ctx, prefix, after, limit)
		return found, err
	})
	return rows, more, err
}

func (c *connection) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	return callTable(ctx, c, func(ctx context.Context) (int64, error) { return c.Table.Commit(ctx, txn) })
}

// process is one instance's session and ownership, with a writer that commits
// rows for the owned failure domains.
type process struct {
	name      string
	conn      *connection
	store     *store.Store
	session   *session.Session
	ownership *Ownership
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

// cluster is a fake table with the processes that use it. An element of procs is
// nil while that instance isn't running.
type cluster struct {
	table   *fake.Table
	oracle  *oracle
	domains []string
	procs   []*process
	// startCount makes the writer IDs of restarted instances unique.
	startCount int
	// readOnly disables the writers of the processes.
	readOnly bool
}

// newCluster returns a cluster and starts its instances at the same time.
func newCluster(instances, domains int) *cluster {
	c := emptyCluster(instances, domains)
	for i := range instances {
		c.start(i)
	}
	return c
}

// emptyCluster returns a cluster without running instances.
func emptyCluster(instances, domains int) *cluster {
	c := &cluster{table: fake.NewTable(), oracle: &oracle{
		owners:    make(map[string]Owner),
		renewals:  make(map[string]time.Time),
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

// startStaggered starts the instances one after another, so that their
// heartbeats don't coincide.
func (c *cluster) startStaggered() {
	for i := range c.procs {
		c.start(i)
		time.Sleep(137 * time.Millisecond)
	}
}

func (c *cluster) start(i int) {
	c.startCount++
	name := fmt.Sprintf("instance%d", i)
	conn := &connection{Table: c.table}
	st := store.New(conn, fmt.Sprintf("%s/%d", name, c.startCount))
	self := session.Self{Instance: name, Domain: c.domains[i%len(c.domains)], Address: "127.0.0.1:1"}
	s := session.New(session.Config{}, st, self)
	own := New(Config{Domains: func() []string { return c.domains }}, st, s, self)
	ctx, stop := context.WithCancel(context.Background())
	p := &process{name: name, conn: conn, store: st, session: s, ownership: own, stop: stop}
	p.wg.Go(func() { _ = s.Run(ctx) })
	p.wg.Go(func() { _ = own.Run(ctx) })
	if !c.readOnly {
		p.wg.Go(func() { p.writeWork(ctx) })
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

// writeWork commits a row under each usable grant every 100 ms.
func (p *process) writeWork(ctx context.Context) {
	for seq := 0; ctx.Err() == nil; seq++ {
		for _, grant := range p.ownership.Owned() {
			if !p.session.Usable(time.Now()) {
				continue
			}
			key := fmt.Sprintf("%s%s/%s/%d", workPrefix, grant.Domain, grant.Incarnation, seq)
			work := workRow{Domain: grant.Domain, Incarnation: grant.Incarnation, Epoch: grant.Epoch}
			txn := new(store.Txn).Create(key, work)
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			_, _ = p.store.Commit(callCtx, grant.Require(txn))
			cancel()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// kill ends a process without a release. Its blocked calls fail.
func (c *cluster) kill(i int) {
	p := c.procs[i]
	c.allowExpiry(p)
	p.conn.thaw(true)
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
		p.conn.mu.Lock()
		random := rand.New(rand.NewPCG(1, uint64(i)))
		var mu sync.Mutex
		p.conn.nextDelay = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(random.IntN(2)) * delay
		}
		p.conn.mu.Unlock()
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
	out := c.oracle.listViolations()
	for _, domain := range c.domains {
		owner, grants := c.ownerOf(domain)
		if owner < 0 || grants != 1 {
			out = append(out, fmt.Sprintf("%s has owner %d and %d grants", domain, owner, grants))
		}
	}
	return out
}
