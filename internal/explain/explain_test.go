package explain_test

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/intake"
	"github.com/lentilwinch/lentilwinch/internal/duty/pool"
	"github.com/lentilwinch/lentilwinch/internal/duty/relay"
	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/explain"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/keylease"
	"github.com/lentilwinch/lentilwinch/internal/logsink"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// fixture is one instance with its store and workers. It records the log of the
// instance.
type fixture struct {
	t         *testing.T
	rows      *fake.Rows
	workers   *fake.Pool
	intake    *intake.Intake
	queues    []work.Queue
	logOutput bytes.Buffer
	close     func()
}

func newFixture(t *testing.T) *fixture {
	s := &fixture{t: t, rows: fake.NewRows(), workers: fake.NewPool()}
	s.queues = []work.Queue{
		{Name: "urgent", Host: "h", Prefix: "/u/", Pool: "p", MaxAttempts: 3, Stretch: 2},
		{Name: "batch", Host: "h", Prefix: "/b/", Pool: "p", Priority: 1, MaxAttempts: 3, Stretch: 2},
	}
	s.workers.Add(work.Worker{ID: "w1", Address: "10.0.0.1:1", Pool: "p", Zone: "z", Rack: "r", Capacity: work.Resources{CPU: 8000, MemMB: 8000, Accel: 8}})
	sink := logsink.New(&s.logOutput)
	log := sink.Logger(logsink.Budget{}).With(zap.String("node", "north-1"))
	startedAt := time.Now()
	now := func() time.Duration { return time.Since(startedAt) }
	store := relay.New(s.rows, func() []port.RowStore { return nil }, now, zap.NewNop())
	rep := replica.New(store, log, now)
	s.intake = intake.New(intake.Deps{
		Store: store, Health: store, Replica: rep, Log: log, Now: now, KeyPolicy: func() keylease.Policy { return keylease.Policy{} },
	})
	s.intake.ApplyReading(port.ConfigReading{Config: &work.Config{Version: 1, Queues: s.queues}}, now())
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { rep.Run(ctx) })
	done.Go(func() {
		pool.NewElection(pool.Deps{
			Store: store, Workers: s.workers, Registry: s.workers, Replica: rep, Log: log, Observer: pool.NoObserver{}, Now: now,
			WallClock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
			Settings:  planner.Settings{ReclaimWithin: 3 * time.Second}, MaxLease: 10 * time.Second, Retention: time.Minute,
			StoreHealth: store,
			Config:      s.intake.Config, Evacuation: s.intake.Evacuation, Name: "north-1", Incarnation: "a",
		}, "p").Run(ctx)
	})
	s.close = sync.OnceFunc(func() { cancel(); done.Wait(); sink.Close() })
	t.Cleanup(s.close)
	time.Sleep(2 * time.Second)
	return s
}

// submit submits a job whose tasks need all accelerators of a worker.
func (f *fixture) submit(queue int, id string, count int, seconds float64) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	estimate := time.Duration(seconds * float64(time.Second))
	steps := []work.Step{{Count: count, Need: work.Resources{CPU: 1000, MemMB: 100, Accel: 8}, Estimate: estimate}}
	return f.intake.Submit(ctx, intake.Caller{Queue: &f.queues[queue], Workspace: "ws"}, id, work.Submission{Spec: id, Steps: steps})
}

// explain stops the instance and returns the history of a job from its log.
func (f *fixture) explain(id string) explain.History {
	f.t.Helper()
	f.close()
	var log explain.Log
	must.NoError(f.t, log.Read(&f.logOutput))
	must.EqOp(f.t, 0, log.Skipped)
	h := log.Explain(id)
	must.NotEqOp(f.t, 0, len(h.Entries))
	return h
}

func reasons(h explain.History) string { return strings.Join(h.Verdict.Reasons, "\n") }

func TestExplainsRejectionByStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		s.rows.SetFaults(fake.Faults{Down: true})
		time.Sleep(5 * time.Second)
		must.True(t, fault.Is(s.submit(0, "aaaa", 1, 1), fault.Unavailable))
		h := s.explain("aaaa")
		must.EqOp(t, explain.Rejected, h.Verdict.Outcome)
		must.StrContains(t, reasons(h), "the store is away")
	})
}

// The load is more urgent work than the pool can complete while the caller waits. Guards
// against a refusal whose log doesn't tell the reason.
func TestExplainsRefusalByForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		for k := range 20 {
			id := fmt.Sprint("urgent-", k)
			s.workers.SetProfile(id, fake.Profile{RunTime: time.Minute})
			must.NoError(t, s.submit(0, id, 1, 60))
		}
		time.Sleep(3 * time.Second)
		must.True(t, fault.Is(s.submit(1, "aaaa", 1, 1), fault.Overloaded))
		h := s.explain("aaaa")
		must.EqOp(t, explain.Rejected, h.Verdict.Outcome)
		must.StrContains(t, reasons(h), "job refused: it can't start within")
		must.StrContains(t, reasons(h), "for lack of accelerators")
	})
}

func TestExplainsLateJobByWaitForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		s.workers.SetProfile("first", fake.Profile{RunTime: 6 * time.Second})
		s.workers.SetProfile("aaaa", fake.Profile{RunTime: time.Second})
		must.NoError(t, s.submit(1, "first", 1, 6))
		time.Sleep(time.Second)
		must.NoError(t, s.submit(1, "aaaa", 1, 1))
		time.Sleep(9 * time.Second)
		h := s.explain("aaaa")
		must.EqOp(t, explain.Completed, h.Verdict.Outcome)
		must.True(t, h.Verdict.Late)
		must.StrContains(t, h.Verdict.Reasons[0], "until the first start: no room")
	})
}

// Guards against a job whose wait for an evacuated failure domain looks like one for
// capacity.
func TestExplainsWaitForAnEvacuatedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		s.intake.ApplyReading(port.ConfigReading{Evacuations: []port.EvacuationChange{{Domain: "z", Evacuated: true, Version: 1}}}, 0)
		must.NoError(t, s.submit(1, "aaaa", 1, 1))
		time.Sleep(5 * time.Second)
		h := s.explain("aaaa")
		must.EqOp(t, explain.Open, h.Verdict.Outcome)
		must.StrContains(t, reasons(h), "its capacity is in an evacuated failure domain")
		must.True(t, slices.ContainsFunc(h.Entries, func(e explain.Entry) bool { return e.Event == "failure domain evacuated" }))
	})
}

func TestExplainsPreemptionByPreemptingJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		s.workers.SetProfile("aaaa", fake.Profile{RunTime: 5 * time.Second})
		s.workers.SetProfile("bbbb", fake.Profile{RunTime: time.Second})
		must.NoError(t, s.submit(1, "aaaa", 1, 5))
		time.Sleep(500 * time.Millisecond)
		must.NoError(t, s.submit(0, "bbbb", 1, 1))
		time.Sleep(12 * time.Second)
		h := s.explain("aaaa")
		must.EqOp(t, explain.Completed, h.Verdict.Outcome)
		must.StrContains(t, reasons(h), "preempted for bbbb")
	})
}

func TestExplainsFailureByFailedRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		s.workers.SetProfile("aaaa", fake.Profile{RunTime: 200 * time.Millisecond, Fails: true})
		must.NoError(t, s.submit(0, "aaaa", 1, 0.2))
		time.Sleep(10 * time.Second)
		h := s.explain("aaaa")
		must.EqOp(t, explain.Failed, h.Verdict.Outcome)
		must.StrContains(t, reasons(h), "runs failed on w1, w1, w1")
		var page bytes.Buffer
		must.NoError(t, h.Page(&page))
		must.StrContains(t, page.String(), "job accepted")
	})
}

func TestCountsUnparsableLines(t *testing.T) {
	var log explain.Log
	must.NoError(t, log.Read(strings.NewReader("panic: x\n12.5 north-1 "+
		`{"level":"info","ts":"2026-03-09T06:16:10.011Z","msg":"job accepted","node":"north-1","job":"a"}`+"\n{}\n")))
	must.EqOp(t, 2, log.Skipped)
	must.SliceLen(t, 1, log.Lines)
	must.EqOp(t, "north-1", log.Lines[0].Instance)
	must.SliceEmpty(t, log.Explain("b").Entries)
}
