package requests_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/claims"
	"github.com/lentilwinch/lentilwinch/internal/duty/requests"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	workspace = "grading"
	// once and again are services whose requests may not and may be repeated.
	once  = "tally"
	again = "scan"
	// sessionTTL is the time after which others end a silent session.
	sessionTTL = 3 * time.Second
	deadline   = 6 * time.Second
	// largeSuffix marks the IDs of requests with a large answer.
	largeSuffix = "-large"
)

var claimSettings = claims.Settings{
	Flush:         4 * time.Millisecond,
	Batch:         64,
	Commits:       4,
	CommitTimeout: 2 * time.Second,
	SettleRetry:   250 * time.Millisecond,
}

var requestSettings = requests.Settings{
	QueueLimit:    256,
	MaxBodyBytes:  1 << 20,
	RecordTimeout: 500 * time.Millisecond,
	ClaimTimeout:  time.Second,
}

// world is a table, an object store, backend servers and instances.
type world struct {
	table    *fake.Table
	objects  *fake.Objects
	backends *fake.Backends
	servers  []*fake.Backend
	list     []structs.Instance
	wg       sync.WaitGroup

	mu        sync.Mutex
	instances []*instance
	told      []telling
	names     int
}

// telling is what a caller was told.
type telling struct {
	id      string
	service string
	res     structs.Result
	err     error
	took    time.Duration
	// lookedUp is set where it was a lookup that told.
	lookedUp bool
}

func newWorld(servers, slots int) *world {
	w := &world{table: fake.NewTable(), objects: fake.NewObjects(), backends: fake.NewBackends()}
	for i := range servers {
		address := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		s := fake.NewBackend(slots)
		w.backends.Add(address, s)
		w.servers = append(w.servers, s)
		w.list = append(w.list, structs.Instance{
			ID: fmt.Sprintf("b%d", i), Kind: structs.KindBackend, State: structs.StateLive, Address: address, Slots: slots,
		})
	}
	return w
}

func config() *structs.Config {
	services := make(map[structs.ServiceKey]structs.Service)
	for _, name := range []string{once, again} {
		s := structs.Service{Name: name, Workspace: workspace, Class: structs.ClassNormal, Repeatable: name == again, DeadlineMillis: deadline.Milliseconds()}
		services[s.Key()] = s
	}
	spaces := map[string]structs.Workspace{workspace: {Name: workspace, NominalSlots: 2, Weight: 1}}
	return &structs.Config{Number: 1, Workspaces: spaces, Services: services}
}

// answerOf returns a request's own answer. That of an ID which says so is too
// large for a row.
func answerOf(id string) string {
	if strings.HasSuffix(id, largeSuffix) {
		return "answer of " + id + strings.Repeat(".", 20<<10)
	}
	return "answer of " + id
}

// request returns a request whose answer names it.
func request(service, id string, run time.Duration) structs.Request {
	body, _ := json.Marshal(fake.RequestBody{RunMillis: run.Milliseconds(), Answer: answerOf(id)})
	return structs.Request{Key: structs.RequestKey{Workspace: workspace, ID: id}, Service: service, Body: body}
}

// allRuns counts the runs of each request on all servers.
func (w *world) allRuns() map[string]int {
	count := make(map[string]int)
	for _, s := range w.servers {
		list, _ := s.Runs()
		for _, r := range list {
			count[r.RequestID]++
		}
	}
	return count
}

func (w *world) runs(id string) int {
	return w.allRuns()[id]
}

// tellings returns what callers were told so far.
func (w *world) tellings() []telling {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.told)
}

func (w *world) close() {
	w.table.SetFaults(fake.TableFaults{})
	for _, n := range w.instances {
		n.process.thaw()
		n.cancel()
	}
	w.wg.Wait()
}

// session writes or deletes a session's row, through outages, while wanted.
func (w *world) session(name string, write port.Write, wanted func() bool) {
	write.Key = store.SessionKey(name)
	for wanted() {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, _ = w.table.Commit(ctx, port.Txn{Writes: []port.Write{write}})
		rows, err := w.table.Get(ctx, write.Key)
		cancel()
		if err == nil && (len(rows) == 0) == write.Delete {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// instance is one process.
type instance struct {
	w        *world
	process  *process
	claims   *claims.Claims
	requests *requests.Requests
	cancel   context.CancelFunc

	mu          sync.Mutex
	incarnation string
	left        map[string]bool
	// lagging makes the list forget what servers said of themselves.
	lagging bool
	changed chan struct{}
}

func (w *world) start() *instance {
	n := &instance{w: w, process: &process{table: w.table, backends: w.backends}, left: make(map[string]bool), changed: make(chan struct{}, 1)}
	n.establish()
	st := store.New(n.process, n.current())
	n.claims = claims.New(claimSettings, st, w.objects, n.current, zap.NewNop())
	sharers := func() []string { return []string{n.current()} }
	noDemand := func() map[string]int { return nil }
	n.requests = requests.New(requestSettings, callers{n.process}, n, n.claims, config, sharers, noDemand, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	w.wg.Go(func() { _ = n.claims.Run(ctx) })
	w.wg.Go(func() { _ = n.requests.Run(ctx) })
	w.instances = append(w.instances, n)
	return n
}

// establish begins a session under a new incarnation.
func (n *instance) establish() {
	n.w.mu.Lock()
	n.w.names++
	name := fmt.Sprintf("entry-%d", n.w.names)
	n.w.mu.Unlock()
	n.mu.Lock()
	n.incarnation = name
	n.mu.Unlock()
	running := func() bool { return !n.process.halted() }
	n.w.wg.Go(func() { n.w.session(name, port.Write{Value: []byte("session")}, running) })
}

func (n *instance) current() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// endSession does what the others do to a session that stands still.
func (n *instance) endSession() {
	n.w.session(n.current(), port.Write{Delete: true}, n.process.halted)
}

func (n *instance) kill() {
	n.process.set(true, nil)
	n.process.thaw()
	n.cancel()
}

func (n *instance) freeze() {
	n.process.set(false, make(chan struct{}))
}

// thaw lets a frozen instance go on. It notices the end of its session as
// soon as the table shows it.
func (n *instance) thaw() {
	n.process.thaw()
	if n.process.isDead() {
		return
	}
	n.w.wg.Go(func() {
		for !n.process.halted() {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			rows, err := n.w.table.Get(ctx, store.SessionKey(n.current()))
			cancel()
			if err == nil && len(rows) == 0 {
				n.establish()
			}
			if err == nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// Servers implements requests.Servers.
func (n *instance) Servers() []structs.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := slices.Clone(n.w.list)
	for i := range out {
		if n.left[out[i].ID] && !n.lagging {
			out[i].State = structs.StateLeaving
		}
	}
	return out
}

// Changed implements requests.Servers.
func (n *instance) Changed() <-chan struct{} { return n.changed }

// Left implements requests.Servers.
func (n *instance) Left(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.left[id] = true
}

// lag makes the list forget what servers say of themselves.
func (n *instance) lag() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lagging = true
}

func (n *instance) hasLeft(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.left[id]
}

// do sends a request and notes what the caller is told, if the instance lives.
func (n *instance) do(ctx context.Context, req structs.Request) (structs.Result, error) {
	sent := time.Now()
	res, err := n.requests.Do(ctx, req)
	if n.process.isDead() {
		return structs.Result{}, errDead
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.w.told = append(n.w.told, telling{id: req.Key.ID, service: req.Service, res: res, err: err, took: time.Since(sent)})
	return res, err
}

// send is do in the background.
func (n *instance) send(req structs.Request) <-chan telling {
	out := make(chan telling, 1)
	n.w.wg.Go(func() {
		sent := time.Now()
		res, err := n.do(context.Background(), req)
		out <- telling{id: req.Key.ID, service: req.Service, res: res, err: err, took: time.Since(sent)}
	})
	return out
}

func (n *instance) lookup(id string) (structs.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return n.claims.Lookup(ctx, structs.RequestKey{Workspace: workspace, ID: id})
}
