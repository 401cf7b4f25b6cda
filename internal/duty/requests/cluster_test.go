package requests_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	// onceService is a service whose requests are not repeatable; those of
	// repeatableService are.
	onceService       = "tally"
	repeatableService = "scan"
	// sessionTTL is the time after which other instances end the session of a
	// killed or frozen instance.
	sessionTTL      = 3 * time.Second
	serviceDeadline = 6 * time.Second
	// largeSuffix marks the IDs of requests with a large answer.
	largeSuffix = "-large"
)

var claimSettings = claims.Settings{
	Flush:         4 * time.Millisecond,
	Batch:         64,
	Commits:       4,
	CommitTimeout: 2 * time.Second,
	ResolveRetry:  250 * time.Millisecond,
}

var requestSettings = requests.Settings{
	QueueLimit:    256,
	MaxBodyBytes:  1 << 20,
	RecordTimeout: 500 * time.Millisecond,
	ClaimTimeout:  time.Second,
}

// cluster is a table, an object store, backend servers and instances.
type cluster struct {
	table      *fake.Table
	objects    *fake.Objects
	backends   *fake.Backends
	servers    []*fake.Backend
	serverList []structs.Instance
	wg         sync.WaitGroup

	// evacuation is the configuration that replaces that of config, or nil.
	evacuation atomic.Pointer[structs.Config]

	mu           sync.Mutex
	instances    []*instance
	received     []response
	incarnations int
}

// response is the result of a request or lookup as its caller received it.
type response struct {
	id      string
	service string
	res     structs.Result
	err     error
	elapsed time.Duration
	// fromLookup is set if the response is the result of a lookup.
	fromLookup bool
}

func newCluster(servers, slots int) *cluster {
	cl := &cluster{table: fake.NewTable(), objects: fake.NewObjects(), backends: fake.NewBackends()}
	for i := range servers {
		address := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		s := fake.NewBackend(slots)
		cl.backends.Add(address, s)
		cl.servers = append(cl.servers, s)
		cl.serverList = append(cl.serverList, structs.Instance{
			ID: fmt.Sprintf("b%d", i), Kind: structs.KindBackend, State: structs.StateLive, Domain: fmt.Sprintf("d%d", i), Address: address, Slots: slots,
		})
	}
	return cl
}

func config() *structs.Config {
	services := make(map[structs.ServiceKey]structs.Service)
	for _, name := range []string{onceService, repeatableService} {
		s := structs.Service{Name: name, Workspace: workspace, Class: structs.ClassNormal, Repeatable: name == repeatableService, DeadlineMillis: serviceDeadline.Milliseconds()}
		services[s.Key()] = s
	}
	workspaces := map[string]structs.Workspace{workspace: {Name: workspace, NominalSlots: 2, Weight: 1}}
	return &structs.Config{Number: 1, Workspaces: workspaces, Services: services}
}

func (cl *cluster) config() *structs.Config {
	if cfg := cl.evacuation.Load(); cfg != nil {
		return cfg
	}
	return config()
}

// setEvacuated brings a configuration into force that evacuates the failure
// domains. It doesn't notify the instances.
func (cl *cluster) setEvacuated(domains ...string) {
	cfg := config()
	cfg.Number = cl.config().Number + 1
	cfg.Evacuated = make(map[string]bool)
	for _, name := range domains {
		cfg.Evacuated[name] = true
	}
	cl.evacuation.Store(cfg)
}

// answerOf returns the answer of a request. It is too large for a row if the ID
// ends in largeSuffix.
func answerOf(id string) string {
	if strings.HasSuffix(id, largeSuffix) {
		return "answer of " + id + strings.Repeat(".", 20<<10)
	}
	return "answer of " + id
}

// request returns a request whose answer contains its ID.
func request(service, id string, run time.Duration) structs.Request {
	body, _ := json.Marshal(fake.RequestBody{RunMillis: run.Milliseconds(), Answer: answerOf(id)})
	return structs.Request{Key: structs.RequestKey{Workspace: workspace, ID: id}, Service: service, Body: body}
}

// allRuns counts the runs of each request on all servers.
func (cl *cluster) allRuns() map[string]int {
	count := make(map[string]int)
	for _, s := range cl.servers {
		list, _ := s.Runs()
		for _, r := range list {
			count[r.RequestID]++
		}
	}
	return count
}

func (cl *cluster) runs(id string) int {
	return cl.allRuns()[id]
}

// responses returns the responses that callers have received so far.
func (cl *cluster) responses() []response {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.Clone(cl.received)
}

func (cl *cluster) close() {
	cl.table.SetFaults(fake.TableFaults{})
	for _, n := range cl.instances {
		n.process.thaw()
		n.cancel()
	}
	cl.wg.Wait()
}

// writeSession writes or deletes a session's row. It retries through outages
// while condition holds.
func (cl *cluster) writeSession(incarnation string, write port.Write, condition func() bool) {
	write.Key = store.SessionKey(incarnation)
	for condition() {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		_, _ = cl.table.Commit(ctx, port.Txn{Writes: []port.Write{write}})
		rows, err := cl.table.Get(ctx, write.Key)
		cancel()
		if err == nil && (len(rows) == 0) == write.Delete {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// instance is an instance's process with its claims and requests.
type instance struct {
	cl       *cluster
	process  *process
	claims   *claims.Claims
	requests *requests.Requests
	cancel   context.CancelFunc

	mu          sync.Mutex
	incarnation string
	leaving     map[string]bool
	// staleMembership makes Servers list leaving servers as live.
	staleMembership   bool
	membershipChanged chan struct{}
}

func (cl *cluster) startInstance() *instance {
	n := &instance{cl: cl, process: &process{table: cl.table, backends: cl.backends}, leaving: make(map[string]bool), membershipChanged: make(chan struct{}, 1)}
	n.startSession()
	st := store.New(n.process, n.currentIncarnation())
	n.claims = claims.New(claimSettings, st, cl.objects, n.currentIncarnation, zap.NewNop())
	sharingInstances := func() []string { return []string{n.currentIncarnation()} }
	noDemand := func() map[string]int { return nil }
	n.requests = requests.New(requestSettings, backendClient{n.process}, n, n.claims, cl.config, sharingInstances, noDemand, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	cl.wg.Go(func() { _ = n.claims.Run(ctx) })
	cl.wg.Go(func() { _ = n.requests.Run(ctx) })
	cl.instances = append(cl.instances, n)
	return n
}

// startSession starts a session under a new incarnation.
func (in *instance) startSession() {
	in.cl.mu.Lock()
	in.cl.incarnations++
	incarnation := fmt.Sprintf("entry-%d", in.cl.incarnations)
	in.cl.mu.Unlock()
	in.mu.Lock()
	in.incarnation = incarnation
	in.mu.Unlock()
	running := func() bool { return !in.process.killedOrFrozen() }
	in.cl.wg.Go(func() { in.cl.writeSession(incarnation, port.Write{Value: []byte("session")}, running) })
}

func (in *instance) currentIncarnation() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.incarnation
}

// endSession deletes the session of a killed or frozen instance, as other
// instances do.
func (in *instance) endSession() {
	in.cl.writeSession(in.currentIncarnation(), port.Write{Delete: true}, in.process.killedOrFrozen)
}

func (in *instance) kill() {
	in.process.setState(true, nil)
	in.process.thaw()
	in.cancel()
}

func (in *instance) freeze() {
	in.process.setState(false, make(chan struct{}))
}

// thaw resumes a frozen instance. It starts a new session if the first successful
// read of the table shows that the previous one has ended.
func (in *instance) thaw() {
	in.process.thaw()
	if in.process.isKilled() {
		return
	}
	in.cl.wg.Go(func() {
		for !in.process.killedOrFrozen() {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			rows, err := in.cl.table.Get(ctx, store.SessionKey(in.currentIncarnation()))
			cancel()
			if err == nil && len(rows) == 0 {
				in.startSession()
			}
			if err == nil {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// Servers implements requests.Servers.
func (in *instance) Servers() []structs.Instance {
	in.mu.Lock()
	defer in.mu.Unlock()
	out := slices.Clone(in.cl.serverList)
	for i := range out {
		if in.leaving[out[i].ID] && !in.staleMembership {
			out[i].State = structs.StateLeaving
		}
	}
	return out
}

// Changed implements requests.Servers.
func (in *instance) Changed() <-chan struct{} { return in.membershipChanged }

// MarkLeaving implements requests.Servers.
func (in *instance) MarkLeaving(id string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.leaving[id] = true
}

// useStaleMembership makes Servers list leaving servers as live.
func (in *instance) useStaleMembership() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.staleMembership = true
}

func (in *instance) isMarkedLeaving(id string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.leaving[id]
}

// do sends a request, and records and returns the response. If the process was
// killed, it records nothing and returns errProcessKilled.
func (in *instance) do(ctx context.Context, req structs.Request) (structs.Result, error) {
	sent := time.Now()
	res, err := in.requests.Do(ctx, req)
	if in.process.isKilled() {
		return structs.Result{}, errProcessKilled
	}
	in.cl.mu.Lock()
	defer in.cl.mu.Unlock()
	in.cl.received = append(in.cl.received, response{id: req.Key.ID, service: req.Service, res: res, err: err, elapsed: time.Since(sent)})
	return res, err
}

// send calls do in the background.
func (in *instance) send(req structs.Request) <-chan response {
	out := make(chan response, 1)
	in.cl.wg.Go(func() {
		sent := time.Now()
		res, err := in.do(context.Background(), req)
		out <- response{id: req.Key.ID, service: req.Service, res: res, err: err, elapsed: time.Since(sent)}
	})
	return out
}

func (in *instance) lookup(id string) (structs.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return in.claims.Lookup(ctx, structs.RequestKey{Workspace: workspace, ID: id})
}
