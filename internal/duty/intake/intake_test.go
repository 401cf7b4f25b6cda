package intake

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/relay"
	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/keylease"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

type testEnv struct {
	rows   *fake.Rows
	intake *Intake
	queue  *work.Queue
	policy keylease.Policy
	// store is between the intake and rows.
	store *delayedReplies
	now   func() time.Duration
}

// delayedReplies delays the replies of commits, also after the caller's context has
// ended.
type delayedReplies struct {
	port.RowStore
	delay time.Duration
}

func (d *delayedReplies) Commit(ctx context.Context, txn port.RowTxn) (int64, error) {
	version, err := d.RowStore.Commit(ctx, txn)
	time.Sleep(d.delay)
	return version, err
}

// testConfig has a queue for callers with a key, one for anonymous callers, and the
// workspace of the key.
func testConfig(version int64, workspace string, keys ...string) *work.Config {
	return &work.Config{Version: version, Queues: []work.Queue{
		{Name: "q", Host: "h", Prefix: "/a/", Pool: "p"}, {Name: "deep", Host: "h", Prefix: "/a/b/", Pool: "p", AllowAnonymous: true},
	}, Workspaces: []work.Workspace{{Name: workspace, Keys: keys}}}
}

func newTestEnv(t *testing.T) *testEnv {
	began := time.Now()
	rows := fake.NewRows()
	now := func() time.Duration { return time.Since(began) }
	store := relay.New(rows, func() []port.RowStore { return nil }, now, zap.NewNop())
	rep := replica.New(store, zap.NewNop(), now)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); rep.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	env := &testEnv{rows: rows, store: &delayedReplies{RowStore: store}, now: now}
	in := New(Deps{
		Store: env.store, Health: store, Replica: rep, Log: zap.NewNop(), Now: env.now, KeyPolicy: func() keylease.Policy { return env.policy },
	})
	env.read(in, testConfig(1, "ws", "key"))
	q, _, err := in.Route("h", "/a/x")
	must.NoError(t, err)
	time.Sleep(time.Second)
	env.intake, env.queue = in, q
	return env
}

// read applies a reading that was sent just now.
func (env *testEnv) read(in *Intake, c *work.Config) {
	in.ApplyReading(port.ConfigReading{Config: c}, env.now())
}

func (env *testEnv) caller() Caller { return Caller{Queue: env.queue, Workspace: "ws", key: "key"} }

var oneTask = []work.Step{{Count: 1, Estimate: time.Second}}

// submit submits a job with a caller's timeout of three seconds.
func (env *testEnv) submit(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return env.intake.Submit(ctx, env.caller(), id, work.Submission{Steps: oneTask})
}

func TestLongestPrefixSelectsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		q, rest, err := env.intake.Route("h", "/a/b/1")
		must.NoError(t, err)
		must.EqOp(t, "deep", q.Name)
		must.EqOp(t, "1", rest)
		_, _, err = env.intake.Route("other", "/a/1")
		must.True(t, fault.Is(err, fault.NotFound))
	})
}

func TestUnknownKeyIsRejectedUnlessAnonymous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		_, err := env.intake.Authorize(env.queue, "nobody's")
		must.True(t, fault.Is(err, fault.Unauthenticated))
		caller, err := env.intake.Authorize(env.queue, "key")
		must.NoError(t, err)
		must.EqOp(t, "ws", caller.Workspace)
		_, err = env.intake.Authorize(&work.Queue{AllowAnonymous: true}, "")
		must.NoError(t, err)
	})
}

func TestResubmissionIsIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		must.NoError(t, env.submit("a"))
		time.Sleep(time.Second)
		must.NoError(t, env.submit("a"))
		must.EqOp(t, 1, env.intake.Waiting(env.queue))
	})
}

func TestLostAnswerIsResolvedByRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.rows.SetFaults(fake.Faults{LoseReplies: true})
		time.AfterFunc(500*time.Millisecond, func() { env.rows.SetFaults(fake.Faults{}) })
		must.NoError(t, env.submit("a"))
		state, err := env.intake.State(t.Context(), env.caller(), "a")
		must.NoError(t, err)
		must.EqOp(t, work.Queued, state)
	})
}

// During a store outage nothing is sent, so a rejected job is certainly not stored.
// The caller gets a retry time at once.
func TestOutageRejectsAtOnceWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.rows.SetFaults(fake.Faults{Down: true})
		time.Sleep(2 * time.Second)
		before := time.Now()
		err := env.submit("a")
		must.EqOp(t, 0, time.Since(before))
		must.True(t, fault.Is(err, fault.Unavailable))
		var retry *fault.RetryError
		must.True(t, errors.As(err, &retry))
		must.EqOp(t, time.Second, retry.RetryAfter)
		env.rows.SetFaults(fake.Faults{})
		time.Sleep(time.Second)
		must.NoError(t, env.submit("a"))
	})
}

func TestCancelOfUnknownJobIsNotFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		must.True(t, fault.Is(env.intake.Cancel(t.Context(), env.caller(), "none"), fault.NotFound))
		must.NoError(t, env.submit("a"))
		must.NoError(t, env.intake.Cancel(t.Context(), env.caller(), "a"))
		time.Sleep(time.Second)
		state, err := env.intake.State(t.Context(), env.caller(), "a")
		must.NoError(t, err)
		must.EqOp(t, work.Cancelled, state)
	})
}

func TestInvalidJobIsRejectedWithAllProblems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		err := env.intake.Submit(t.Context(), env.caller(), "a", work.Submission{Steps: []work.Step{{Count: 0, After: []int{0}}}})
		var f *fault.Error
		must.True(t, errors.As(err, &f))
		must.Len(t, 2, f.Problems)
	})
}

// noClock is a store that hasn't stated its clock yet.
type noClock struct{ port.RowStore }

func (noClock) Now() (time.Duration, bool) { return 0, false }

// Guards against jobs that are stored with a time of this instance's own clock.
func TestSubmitBeforeTheStoresClockIsKnownStoresNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.store.RowStore = noClock{env.store.RowStore}
		caller, err := env.intake.Authorize(env.queue, "key")
		must.NoError(t, err)
		err = env.intake.Submit(t.Context(), caller, "5c0e7a21d94b36f8", work.Submission{Spec: "s", Steps: []work.Step{{Count: 1}}})
		var retry *fault.RetryError
		must.True(t, errors.As(err, &retry))
		must.True(t, fault.Is(err, fault.Unavailable))
		_, stored := env.intake.replica.Job("5c0e7a21d94b36f8")
		must.False(t, stored)
	})
}

// Guards against sums and products over a job that overflow: a job whose counts did was
// accepted and took the pool's owner down again and again. An accepted job must be
// within the limits of work.Job.
func TestJobBeyondLimitsIsRejectedAtOnce(t *testing.T) {
	one := []work.Step{{Count: 1}}
	for name, sub := range map[string]work.Submission{
		"sum of counts":        {Steps: []work.Step{{Count: 1 << 62}, {Count: 1 << 62}}},
		"count and a negative": {Steps: []work.Step{{Count: 1 << 62}, {Count: -1 << 62}}},
		"too many tasks":       {Steps: []work.Step{{Count: work.MaxTasks + 1}}},
		"tasks of occurrences": {Steps: []work.Step{{Count: 3}}, Schedule: work.Schedule{Count: 1 << 62, Every: 1}},
		"amount":               {Steps: []work.Step{{Count: 1, Need: work.Resources{Accel: 1 << 62}}}},
		"estimate":             {Steps: []work.Step{{Count: 1, Estimate: 1 << 62}}},
		"negative estimate":    {Steps: []work.Step{{Count: 1, Estimate: -1}}},
		"first due time":       {Steps: one, Schedule: work.Schedule{Count: 1, First: math.MaxInt64}},
		"last due time":        {Steps: one, Schedule: work.Schedule{Count: work.MaxTasks, First: work.MaxDue - time.Hour, Every: time.Minute}},
		"interval":             {Steps: one, Schedule: work.Schedule{Count: 3, Every: math.MaxInt64}},
		"negative limit":       {Steps: []work.Step{{Count: 1, MaxUnavailable: -1}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				before := time.Now()
				err := env.intake.Submit(t.Context(), env.caller(), "a", sub)
				must.True(t, fault.Is(err, fault.Invalid), must.Sprint(err))
				must.EqOp(t, 0, time.Since(before))
				time.Sleep(time.Second)
				_, stored := env.intake.replica.Job("a")
				must.False(t, stored)
			})
		})
	}
}

func TestLargestJobIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		must.NoError(t, env.intake.Submit(t.Context(), env.caller(), "a", work.Submission{
			Steps:    []work.Step{{Count: work.MaxTasks / 4, Estimate: work.MaxDuration, Need: work.Resources{CPU: work.MaxAmount}}},
			Schedule: work.Schedule{Count: 4, First: work.MaxDue - 3*work.MaxDuration, Every: work.MaxDuration},
		}))
	})
}

// Guards against a submission that the store rejects each time: the caller waited until its
// deadline and wasn't told why.
func TestJobTooLargeForTheStoreIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		rng := rand.New(rand.NewPCG(1, 1))
		var steps []work.Step
		for range 4000 {
			steps = append(steps, work.Step{Count: 1, RequiredLabel: fmt.Sprintf("%016x%016x%016x", rng.Uint64(), rng.Uint64(), rng.Uint64())})
		}
		before := time.Now()
		err := env.intake.Submit(t.Context(), env.caller(), "a", work.Submission{Steps: steps})
		must.True(t, fault.Is(err, fault.Invalid), must.Sprint(err))
		must.EqOp(t, 0, time.Since(before))
	})
}

// An accepted job must be storable in every state of its progress that can't be left out.
func TestLargestAcceptedJobIsStorableWithItsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		rng := rand.New(rand.NewPCG(1, 1))
		spec := make([]byte, maxSpecBytes)
		for i := range spec {
			spec[i] = byte('!' + rng.IntN(90))
		}
		job := work.Job{ID: "5c0e7a21d94b36f8", Pool: "p", Queue: "q", Spec: string(spec), Steps: []work.Step{{Count: work.MaxTasks}}}
		_, err := env.intake.encode(&job)
		must.NoError(t, err)
		for _, share := range []float64{0.1, 0.5, 0.9, 1} {
			rec := work.Record{Job: job, State: work.Running, Steps: make([]work.StepProgress, 1)}
			for i := range work.MaxTasks {
				if rng.Float64() < share {
					rec.Steps[0].Done = append(rec.Steps[0].Done, i)
				}
			}
			value, err := work.Encode(&rec)
			must.NoError(t, err)
			must.LessEq(t, env.rows.Limits().ValueBytes, len(value))
			var back work.Record
			must.NoError(t, work.Decode(value, &back))
			must.Eq(t, rec.Steps, back.Steps)
		}
	})
}
