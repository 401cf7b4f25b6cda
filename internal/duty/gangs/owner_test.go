package gangs_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/fleet"
	"github.com/lentilwinch/lentilwinch/internal/duty/gangs"
	"github.com/lentilwinch/lentilwinch/internal/duty/jobs"
	"github.com/lentilwinch/lentilwinch/internal/duty/ownership"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	domain   = "north-yard"
	members  = 3
	takeover = 3 * time.Second
)

var testSettings = gangs.Settings{
	Tick:              100 * time.Millisecond,
	InboxPoll:         500 * time.Millisecond,
	LeaseTTL:          15 * time.Second,
	LeaseRenew:        3 * time.Second,
	CallTimeout:       time.Second,
	CheckpointTimeout: 2 * time.Second,
	MaxFailures:       2,
	Domains:           []string{domain},
}

// world is one failure domain with a table, workers and a submitted job.
type world struct {
	t       *testing.T
	ctx     context.Context
	table   *fake.Table
	workers *fake.Workers
	epoch   int64
	// elsewhere is what the owner knows of other failure domains.
	elsewhere []port.DomainSummary
	wg        sync.WaitGroup
}

func newWorld(t *testing.T, ctx context.Context) *world {
	var list []structs.Worker
	for i := range 6 {
		list = append(list, structs.Worker{
			ID: fmt.Sprintf("w%d", i), Domain: domain, Rack: fmt.Sprintf("r%d", i/3), Accelerators: 4, State: structs.StateLive,
		})
	}
	return &world{t: t, ctx: ctx, table: fake.NewTable(), workers: fake.NewWorkers(fake.NewObjects(), time.Second, list...)}
}

func (w *world) config() *structs.Config {
	return &structs.Config{Number: 1, Workspaces: map[string]structs.Workspace{
		"grading": {
			Name:           "grading",
			Guarantees:     []structs.Guarantee{{Domain: domain, Gangs: 1, Members: members, Accelerators: 4, Adjacency: structs.AdjacencyRack}},
			BorrowingLimit: 12,
		},
		"research": {Name: "research", BorrowingLimit: 24},
	}}
}

func (w *world) callers() *jobs.Jobs {
	st := store.New(w.table, store.NewWriter("caller"))
	none := func() []port.DomainSummary { return nil }
	return jobs.New(st, deafPeers{}, []string{domain}, w.config, none, func(string) {})
}

func spec(id string) structs.JobSpec {
	return structs.JobSpec{
		Key:          structs.JobKey{Workspace: "grading", ID: id},
		Members:      members,
		Accelerators: 4,
		Adjacency:    structs.AdjacencyRack,
		Class:        structs.ClassNormal,
		Payload:      []byte(`{"run_ms":20000}`),
	}
}

// own takes the failure domain over, as the ownership duty does.
func (w *world) own() ownership.Grant {
	w.epoch++
	key := store.OwnerKey(domain)
	revision, err := w.table.Commit(w.ctx, port.Txn{Writes: []port.Write{{Key: key, Value: []byte{byte(w.epoch)}}}})
	must.NoError(w.t, err)
	return ownership.Grant{Domain: domain, Epoch: w.epoch, Revision: revision}
}

// run starts an owner on the ports and returns a function that kills it.
func (w *world) run(table port.Table, workers port.Workers) (kill func()) {
	ctx, cancel := context.WithCancel(w.ctx)
	fl := fleet.New(workers, time.Minute, time.Second, zap.NewNop())
	w.wg.Go(func() { _ = fl.Run(ctx) })
	synctest.Wait()
	d := gangs.NewDomain(testSettings, gangs.Deps{
		Store:     store.New(table, store.NewWriter("owner")),
		Workers:   workers,
		Fleet:     fl,
		Config:    w.config,
		Usable:    func() bool { return true },
		Observer:  deafObserver{},
		Elsewhere: func() []port.DomainSummary { return w.elsewhere },
		Log:       zap.NewNop(),
	}, w.own())
	w.wg.Go(func() { _ = d.Run(ctx) })
	return cancel
}

func (w *world) awaitEnd(k structs.JobKey) structs.Job {
	w.t.Helper()
	for range 600 {
		j, _, err := w.callers().Get(w.ctx, k)
		if err == nil && j.State.Final() {
			return j
		}
		time.Sleep(500 * time.Millisecond)
	}
	w.t.Fatalf("job %s never came to its end", k)
	return structs.Job{}
}

// steps counts an owner's commits and calls to workers, and calls stop before
// the chosen one. The owner's call then waits for resume, or fails when that
// is nil: the owner is dead.
type steps struct {
	port.Table
	port.Workers
	mu     sync.Mutex
	n      int
	at     int
	stop   func()
	resume chan struct{}
	// late counts the commits that the table accepted after the takeover.
	late int
}

func (s *steps) step() error {
	_, err := s.admit()
	return err
}

// admit halts the call if it comes at the step at which the owner stops, or
// later, and reports whether it did.
func (s *steps) admit() (bool, error) {
	s.mu.Lock()
	s.n++
	hit := s.n == s.at
	halted := s.at > 0 && s.n >= s.at
	s.mu.Unlock()
	if hit {
		s.stop()
	}
	if !halted {
		return false, nil
	}
	if s.resume == nil {
		return true, context.Canceled
	}
	<-s.resume
	return true, nil
}

func (s *steps) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	halted, err := s.admit()
	if err != nil {
		return 0, err
	}
	revision, err := s.Table.Commit(ctx, txn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && halted {
		s.late++
	}
	return revision, err
}

func (s *steps) Reserve(ctx context.Context, w structs.Worker, id structs.LeaseID, n int, ttl time.Duration) error {
	if err := s.step(); err != nil {
		return err
	}
	return s.Workers.Reserve(ctx, w, id, n, ttl)
}

func (s *steps) Start(ctx context.Context, w structs.Worker, id structs.LeaseID, payload []byte, checkpoint string) error {
	if err := s.step(); err != nil {
		return err
	}
	return s.Workers.Start(ctx, w, id, payload, checkpoint)
}

func (s *steps) Renew(ctx context.Context, w structs.Worker, ids []structs.LeaseID, ttl time.Duration) ([]structs.LeaseStatus, error) {
	if err := s.step(); err != nil {
		return nil, err
	}
	return s.Workers.Renew(ctx, w, ids, ttl)
}

func (s *steps) Checkpoint(ctx context.Context, w structs.Worker, id structs.LeaseID, object string) error {
	if err := s.step(); err != nil {
		return err
	}
	return s.Workers.Checkpoint(ctx, w, id, object)
}

func (s *steps) Release(ctx context.Context, w structs.Worker, ids []structs.LeaseID) error {
	if err := s.step(); err != nil {
		return err
	}
	return s.Workers.Release(ctx, w, ids)
}

// maxSteps is more than an undisturbed run of one job takes.
const maxSteps = 40

// TestOwnerKilledBetweenAnyTwoSteps seen failing: with recover doing nothing
// the job never ends.
func TestOwnerKilledBetweenAnyTwoSteps(t *testing.T) {
	for at := 1; at <= maxSteps; at++ {
		t.Run(fmt.Sprintf("step %d", at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { takeoverAt(t, at, nil) })
		})
	}
}

// TestOwnerFrozenBetweenAnyTwoSteps lets the first owner go on with its call
// after the second one took over. Seen failing: without the owner's revision
// among the conditions of a commit, the table accepts the first owner's.
func TestOwnerFrozenBetweenAnyTwoSteps(t *testing.T) {
	for at := 1; at <= maxSteps; at++ {
		t.Run(fmt.Sprintf("step %d", at), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { takeoverAt(t, at, make(chan struct{})) })
		})
	}
}

func takeoverAt(t *testing.T, at int, resume chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	w := newWorld(t, ctx)
	defer w.wg.Wait()
	defer cancel()
	s := spec("scan")
	_, _, err := w.callers().Submit(ctx, s)
	must.NoError(t, err)

	halted := make(chan struct{})
	first := &steps{Table: w.table, Workers: w.workers, at: at, resume: resume, stop: func() { close(halted) }}
	kill := w.run(&tableSteps{first}, first)
	select {
	case <-halted:
	case <-time.After(time.Minute):
		// The job came to its end in fewer steps.
	}
	if resume == nil {
		kill()
	}
	time.Sleep(takeover)
	w.run(w.table, w.workers)
	time.Sleep(2 * time.Second)
	if resume != nil {
		close(resume)
	}
	j := w.awaitEnd(s.Key)
	must.Eq(t, structs.JobSucceeded, j.State)
	time.Sleep(time.Minute)
	must.Zero(t, first.late)
	w.checkAttempts()
}

// TestNextAttemptWaitsForUnreachableMember seen failing: with finishStop not
// waiting for releaseAll, the next attempt starts while the member that can't
// be reached still runs.
func TestNextAttemptWaitsForUnreachableMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(t, ctx)
		defer w.wg.Wait()
		defer cancel()
		s := spec("scan")
		_, _, err := w.callers().Submit(ctx, s)
		must.NoError(t, err)
		w.run(w.table, w.workers)
		time.Sleep(5 * time.Second)
		j, _, err := w.callers().Get(ctx, s.Key)
		must.NoError(t, err)
		must.Eq(t, structs.JobRunning, j.State)

		// One worker restarts and has lost its lease, so that the gang must
		// stop; another one takes calls no more while its task goes on.
		w.workers.SetFaults(fake.WorkerFaults{Crashed: true}, j.Members[0].Worker)
		w.workers.SetFaults(fake.WorkerFaults{}, j.Members[0].Worker)
		w.workers.SetFaults(fake.WorkerFaults{Faults: fake.Faults{Hang: true}}, j.Members[1].Worker)
		must.Eq(t, structs.JobSucceeded, w.awaitEnd(s.Key).State)
		time.Sleep(time.Minute)
		w.checkOverlap()
	})
}

// checkOverlap asserts that no task starts while a lease of another attempt is
// held.
func (w *world) checkOverlap() {
	w.t.Helper()
	events, _ := w.workers.Events()
	held := make(map[structs.LeaseID]bool)
	for _, e := range events {
		switch e.Kind {
		case fake.EventLeaseGranted:
			held[e.Lease] = true
		case fake.EventLeaseReleased, fake.EventLeaseLapsed:
			delete(held, e.Lease)
		case fake.EventTaskStarted:
			for other := range held {
				must.Eq(w.t, attemptOf(e.Lease), attemptOf(other), must.Sprint("a lease of another attempt is held"))
			}
		}
	}
	must.MapEmpty(w.t, held)
}

func attemptOf(id structs.LeaseID) string {
	return string(id)[:len(id)-2]
}

// tableSteps gives steps the port.Table methods, which its Workers also names.
type tableSteps struct {
	s *steps
}

func (t *tableSteps) Get(ctx context.Context, keys ...string) ([]port.Row, error) {
	return t.s.Table.Get(ctx, keys...)
}

func (t *tableSteps) Scan(ctx context.Context, prefix, after string, limit int) ([]port.Row, bool, error) {
	return t.s.Table.Scan(ctx, prefix, after, limit)
}

func (t *tableSteps) Commit(ctx context.Context, txn port.Txn) (int64, error) {
	return t.s.Commit(ctx, txn)
}

// span is the time in which one member ran.
type span struct {
	from, to time.Time
	done     bool
}

// checkAttempts asserts that attempts don't overlap, that one attempt ran on
// all members to its end, and that no attempt ran on some members only for
// longer than a takeover and two renewals take.
func (w *world) checkAttempts() {
	w.t.Helper()
	w.checkOverlap()
	events, _ := w.workers.Events()
	attempts := make(map[string]map[string]*span)
	var order []string
	for _, e := range events {
		attempt, member := attemptOf(e.Lease), string(e.Lease)[len(e.Lease)-1:]
		switch e.Kind {
		case fake.EventTaskStarted:
			if attempts[attempt] == nil {
				attempts[attempt] = make(map[string]*span)
				order = append(order, attempt)
			}
			attempts[attempt][member] = &span{from: e.At}
		case fake.EventTaskSucceeded, fake.EventTaskStopped, fake.EventTaskFailed:
			attempts[attempt][member].to = e.At
			attempts[attempt][member].done = e.Kind == fake.EventTaskSucceeded
		}
	}
	whole := 0
	for _, a := range order {
		whole += w.checkWhole(a, attempts[a])
	}
	must.Eq(w.t, 1, whole, must.Sprintf("attempts %v", order))
}

// checkWhole returns 1 when every member of an attempt ran to its end.
func (w *world) checkWhole(name string, spans map[string]*span) int {
	w.t.Helper()
	done := 0
	var from, to []time.Time
	for _, s := range spans {
		if s.done {
			done++
		}
		from = append(from, s.from)
		to = append(to, s.to)
	}
	bound := takeover + 2*testSettings.LeaseRenew + 2*testSettings.CallTimeout
	if len(spans) == members {
		partial := latest(from).Sub(earliest(from)) + latest(to).Sub(earliest(to))
		must.LessEq(w.t, bound, partial, must.Sprintf("%s ran in part", name))
	} else {
		must.LessEq(w.t, bound, latest(to).Sub(earliest(from)), must.Sprintf("%s ran on %d members", name, len(spans)))
	}
	if done == members {
		return 1
	}
	return 0
}

func earliest(times []time.Time) time.Time {
	return slices.MinFunc(times, time.Time.Compare)
}

func latest(times []time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
}

// deafObserver is gangs.Observer without effect.
type deafObserver struct{}

func (deafObserver) GangStarted(structs.Class, time.Duration) {}

func (deafObserver) AttemptStopped() {}

func (deafObserver) JobEnded(structs.JobState) {}

func (deafObserver) LeaseRenewalFailed() {}

func (deafObserver) GuaranteesUnheld(string, int) {}

// deafPeers is port.Peers without any peer.
type deafPeers struct{}

func (deafPeers) Broadcast(port.PeerMessage) {}

func (deafPeers) Send(context.Context, string, port.PeerMessage) error { return nil }

func (deafPeers) Live() []port.PeerInfo { return nil }
