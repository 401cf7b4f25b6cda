package intake

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const forecastAt = time.Second

// loadedForecast is the forecast of the owner of 8 workers after a number of urgent tasks of
// 19 s have arrived, each of which needs a whole worker.
func loadedForecast(tasks int) *work.Forecast {
	p := planner.New(planner.Settings{ReclaimWithin: 3 * time.Second}, 1)
	for i := range 8 {
		id := fmt.Sprint("w", i)
		p.PutWorker(work.Worker{ID: id, Rack: "r", Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
		p.HandleReport(forecastAt, forecastAt, id, port.HoldReply{})
	}
	for k := range tasks {
		job := newJob(0, 19*time.Second)
		job.ID, job.Queue, job.Target = fmt.Sprint(k), "urgent", time.Hour
		p.AddJob(forecastAt, 0, work.Record{State: work.Queued, Job: *job}, false)
	}
	for _, o := range p.Plan(forecastAt) {
		p.StartAnswered(forecastAt, o.Worker, o.Task, o.Run, port.NotRejected)
	}
	f := p.Forecast(forecastAt)
	f.At = forecastAt
	return &f
}

// newJob returns a job of one task that needs a whole worker. Its completion is useful
// within 6 times the estimate and 3 s.
func newJob(priority int, estimate time.Duration) *work.Job {
	return &work.Job{ID: "5c0e7a21d94b36f8", Queue: "q", Pool: "p", Priority: priority, Stretch: 2, Target: time.Second,
		Steps: []work.Step{{Count: 1, Estimate: estimate, Need: work.Resources{CPU: 1000, MemMB: 1000, Accel: 8}}}}
}

// The load is urgent work for 10 minutes by its estimates. A batch job of 5 s can't start
// within the 33 s in which its caller has any use for it, even if all estimates are 1.9
// times too long and all workers are the fastest; one that is useful for 15 minutes may.
func TestJobBehindAQueueThatCantBeServedIsRefused(t *testing.T) {
	f := loadedForecast(8 * 32)
	r := refuse(newJob(1, 5*time.Second), 0, f, time.Second)
	must.NotNil(t, r)
	must.EqOp(t, work.Accelerators, r.scarcest)
	must.EqOp(t, 33*time.Second, r.useful)
	must.GreaterEq(t, 210*time.Second, r.wait)
	must.EqOp(t, time.Minute, r.retryAfter)
	must.Nil(t, refuse(newJob(1, 150*time.Second), 0, f, time.Second))
}

// The load is a burst that takes 3 rounds. Guards against refusing jobs that a short burst
// only makes late.
func TestShortBurstRefusesNothing(t *testing.T) {
	f := loadedForecast(8 * 3)
	must.Positive(t, f.LongestWait(1))
	must.Nil(t, refuse(newJob(1, 5*time.Second), 0, f, time.Second))
}

// Guards against the refusal of jobs of which a forecast tells nothing, and of those that a
// guarantee may cover.
func TestJobsThatAreNeverRefused(t *testing.T) {
	f := loadedForecast(8 * 32)
	for name, change := range map[string]func(*work.Job){
		"scheduled":                           func(j *work.Job) { j.Schedule.Count = 1 },
		"policy-controlled":                   func(j *work.Job) { j.PolicyControlled = true },
		"long-lived":                          func(j *work.Job) { j.Steps[0].LongLived = true },
		"best-effort":                         func(j *work.Job) { j.Steps[0].BestEffort = true },
		"label":                               func(j *work.Job) { j.Steps[0].RequiredLabel = "x" },
		"smaller than all that waits":         func(j *work.Job) { j.Steps[0].Need.Accel = 1 },
		"without need of what is scarce":      func(j *work.Job) { j.Steps[0].Need.Accel = 0 },
		"priority 0 within a guarantee":       func(j *work.Job) { j.Priority = 0 },
		"priority 0 without need of the same": func(j *work.Job) { j.Priority, j.Steps[0].Need.Accel = 0, 0 },
	} {
		t.Run(name, func(t *testing.T) {
			job := newJob(1, 5*time.Second)
			must.NotNil(t, refuse(job, 8, f, time.Second))
			change(job)
			must.Nil(t, refuse(job, 8, f, time.Second))
		})
	}
}

// Guards against a decision by what was the case some time ago, or by a clock that differs.
func TestStaleForecastRefusesNothing(t *testing.T) {
	f := loadedForecast(8 * 32)
	must.NotNil(t, refuse(newJob(1, 5*time.Second), 0, f, maxForecastAge))
	must.Nil(t, refuse(newJob(1, 5*time.Second), 0, f, maxForecastAge+1))
	must.Nil(t, refuse(newJob(1, 5*time.Second), 0, f, -maxForecastAge-1))
	must.Nil(t, refuse(newJob(1, 5*time.Second), 0, nil, 0))
}

// Guards against callers that come back all at once, and against one that is told another
// time for the same job.
func TestRetriesAreSpreadByJobID(t *testing.T) {
	f := loadedForecast(8 * 7)
	times := map[time.Duration]bool{}
	for k := range 50 {
		job := newJob(1, 5*time.Second)
		job.ID = fmt.Sprintf("%016x", k)
		r := refuse(job, 0, f, 0)
		must.NotNil(t, r)
		must.Less(t, time.Minute, r.retryAfter)
		must.EqOp(t, r.retryAfter, refuse(job, 0, f, 0).retryAfter)
		must.EqOp(t, 0, r.retryAfter%time.Second)
		times[r.retryAfter] = true
	}
	must.GreaterEq(t, 3, len(times))
}

// publish stores the rows by which an owner of epoch 1 publishes a forecast.
func (env *testEnv) publish(t *testing.T, epoch replica.Epoch, f *work.Forecast) {
	t.Helper()
	if f != nil {
		copied := *f
		copied.At, _ = env.store.Now()
		f = &copied
	}
	put := func(key string, row any) {
		value, err := work.Encode(row)
		must.NoError(t, err)
		_, err = env.rows.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.PoolKey("p", key): value}})
		must.NoError(t, err)
	}
	put(replica.EpochKey, epoch)
	put(replica.OwnerKey, replica.OwnerState{Epoch: 1, Forecast: f})
	time.Sleep(time.Second)
}

// submitRefusable submits a job that the forecast refuses, to a queue of priority 1.
func (env *testEnv) submitRefusable(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	q := *env.queue
	q.Priority, q.Stretch, q.Target = 1, 2, time.Second
	job := newJob(1, 5*time.Second)
	return env.intake.Submit(ctx, Caller{Queue: &q, Workspace: "ws", key: "key"}, id, work.Submission{Steps: job.Steps})
}

var owned = replica.Epoch{Number: 1, Owner: "north-1"}

type countedRefusals map[string]int

func (c countedRefusals) SubmissionRefused(priority int, reason string) {
	c[fmt.Sprint(priority, " ", reason)]++
}

// Guards against a refusal that isn't one: the job must not be stored, and the caller must
// be told when to come back.
func TestRefusedJobIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		counted := countedRefusals{}
		env.intake.observer = counted
		env.publish(t, owned, loadedForecast(8*32))
		err := env.submitRefusable("a")
		must.True(t, fault.Is(err, fault.Overloaded), must.Sprint(err))
		var retry *fault.RetryError
		must.True(t, errors.As(err, &retry))
		must.EqOp(t, time.Minute, retry.RetryAfter)
		must.Eq(t, countedRefusals{"1 accelerators": 1}, counted)
		_, err = env.intake.State(t.Context(), env.caller(), "a")
		must.True(t, fault.Is(err, fault.NotFound))
		time.Sleep(2 * time.Second) // until the forecast is too old
		must.NoError(t, env.submitRefusable("a"))
	})
}

// Guards against a resubmission that is told that its job has not been accepted, although
// it is stored and runs: also one that comes before the replica holds the job, and one
// while the store doesn't answer.
func TestResubmissionIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		must.NoError(t, env.submitRefusable("a"))
		env.publish(t, owned, loadedForecast(8*32))
		must.NoError(t, env.submitRefusable("a"))
		env.storeRow(t, "b")
		_, known := env.intake.replica.Job("b")
		must.False(t, known)
		must.NoError(t, env.submitRefusable("b"))
		env.rows.SetFaults(fake.Faults{Down: true})
		must.False(t, fault.Is(env.submitRefusable("c"), fault.Overloaded))
	})
}

// storeRow stores a job as another instance does.
func (env *testEnv) storeRow(t *testing.T, id string) {
	t.Helper()
	value, err := work.Encode(work.Record{Job: work.Job{ID: id, Pool: "p", Queue: "q", Steps: oneTask}, State: work.Queued})
	must.NoError(t, err)
	_, err = env.rows.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.JobKeys("p", id)[0]: value}})
	must.NoError(t, err)
}

// Guards against the forecast of a previous owner, which doesn't know what its successor
// has begun, and of a pool without an owner.
func TestForecastOfAnotherOwnerRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		f := loadedForecast(8 * 32)
		env.publish(t, replica.Epoch{Number: 2, Owner: "north-2"}, f)
		must.NoError(t, env.submitRefusable("a"))
		env.publish(t, replica.Epoch{Number: 1}, f)
		must.NoError(t, env.submitRefusable("b"))
		env.publish(t, owned, nil)
		must.NoError(t, env.submitRefusable("c"))
		env.publish(t, owned, f)
		must.True(t, fault.Is(env.submitRefusable("d"), fault.Overloaded))
	})
}

// Guards against refusing jobs of a queue for which the operator has set no objective: their
// callers wait as long as it takes.
func TestJobWithoutObjectiveIsNotRefused(t *testing.T) {
	job := newJob(1, 5*time.Second)
	job.Stretch, job.Target = 0, 0
	must.Nil(t, refuse(job, 0, loadedForecast(8*32), time.Second))
}
