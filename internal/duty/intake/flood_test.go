package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

// countedReads counts the reads of an intake, which take delay, and fails them with err
// if it is set.
type countedReads struct {
	port.RowStore
	n     atomic.Int64
	delay time.Duration
	err   error
}

func (c *countedReads) Scan(ctx context.Context, table, partition, from, to string) ([]port.VersionedRow, int64, error) {
	c.n.Add(1)
	if c.err != nil {
		return nil, 0, c.err
	}
	rows, version, err := c.RowStore.Scan(ctx, table, partition, from, to)
	if wait.For(ctx, c.delay) != nil {
		return nil, 0, fault.Wrap(fault.Uncertain, "no answer", ctx.Err())
	}
	return rows, version, err
}

func (env *testEnv) countReads() *countedReads {
	reads := &countedReads{RowStore: env.intake.store}
	env.intake.store = reads
	return reads
}

// write writes a row at each interval until the returned function is called.
func (env *testEnv) write(t *testing.T, interval time.Duration, key port.RowKey) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() {
		for wait.For(ctx, interval) == nil {
			_, _ = env.rows.Commit(ctx, port.RowTxn{Puts: map[port.RowKey][]byte{key: {1}}})
		}
	})
	return func() { cancel(); group.Wait() }
}

// The load is 1,000 hopeless submissions in 0.8 s, beside the writes of an owner and of
// workers. Guards against a flood of them that becomes a flood of reads, for which
// the store would reject the calls of all other work, and against refusals that come after
// the caller has given up.
func TestFloodOfRefusalsTakesFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		reads := env.countReads()
		reads.delay = 12 * time.Millisecond
		env.publish(t, owned, loadedForecast(8*32))
		defer env.write(t, 200*time.Millisecond, replica.PoolKey("p", replica.HeartbeatKey))()
		defer env.write(t, 7*time.Millisecond, port.RowKey{Table: "registry", Key: "w"})()
		time.Sleep(90 * time.Millisecond) // so that the reads aren't just before a heartbeat
		began := time.Now()
		var group sync.WaitGroup
		var refused, longest atomic.Int64
		for k := range 1000 {
			time.Sleep(800 * time.Microsecond)
			group.Go(func() {
				sentAt := time.Now()
				if fault.Is(env.submitRefusable(fmt.Sprint("job-", k)), fault.Overloaded) {
					refused.Add(1)
				}
				for took := int64(time.Since(sentAt)); ; {
					if old := longest.Load(); old >= took || longest.CompareAndSwap(old, took) {
						return
					}
				}
			})
		}
		group.Wait()
		must.EqOp(t, 1000, refused.Load())
		must.LessEq(t, 1+int64(time.Since(began)/confirmInterval), reads.n.Load())
		must.LessEq(t, confirmInterval+250*time.Millisecond, time.Duration(longest.Load()))
	})
}

// Guards against a refusal by a read that was sent before the submission arrived: the job
// may have been stored in between, by an earlier try on another instance.
func TestRefusalIsNotConfirmedByAnEarlierRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		reads := env.countReads()
		reads.delay = 500 * time.Millisecond
		env.publish(t, owned, loadedForecast(8*32))
		first := make(chan error, 1)
		go func() { first <- env.submitRefusable("a") }()
		time.Sleep(time.Millisecond)
		must.EqOp(t, 1, reads.n.Load())
		must.Nil(t, env.intake.confirmations.next)
		env.storeRow(t, "b") // after the first submission's read
		must.NoError(t, env.submitRefusable("b"))
		must.True(t, fault.Is(<-first, fault.Overloaded))
	})
}

// The failures are those of a read that fails, a replica that doesn't reach the version in
// time and rows that this build can't decode. Guards against a refusal of a job that may be
// stored.
func TestUnconfirmedRefusalIsNotOne(t *testing.T) {
	for name, fail := range map[string]func(*testing.T, *testEnv, *countedReads){
		"the read fails": func(_ *testing.T, _ *testEnv, reads *countedReads) {
			reads.err = fault.New(fault.Overloaded, "too many calls")
		},
		"the read takes long": func(_ *testing.T, _ *testEnv, reads *countedReads) { reads.delay = 2 * confirmTimeout },
		"the row can't be decoded": func(t *testing.T, env *testEnv, _ *countedReads) {
			_, err := env.rows.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.JobKeys("p", "a")[1]: {0xff}}})
			must.NoError(t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t)
				reads := env.countReads()
				env.publish(t, owned, loadedForecast(8*32))
				fail(t, env, reads)
				must.False(t, fault.Is(env.submitRefusable("a"), fault.Overloaded))
			})
		})
	}
}

// Guards against a replica behind the store that is taken for the store: its watch fails.
func TestReplicaBehindRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		reads := env.countReads()
		reads.RowStore = versionAhead{reads.RowStore}
		env.publish(t, owned, loadedForecast(8*32))
		sentAt := time.Now()
		must.NoError(t, env.submitRefusable("a"))
		must.LessEq(t, confirmInterval+confirmTimeout, time.Since(sentAt))
	})
}

// versionAhead is a store whose version the replica doesn't reach.
type versionAhead struct{ port.RowStore }

func (v versionAhead) Scan(ctx context.Context, table, partition, from, to string) ([]port.VersionedRow, int64, error) {
	rows, version, err := v.RowStore.Scan(ctx, table, partition, from, to)
	return rows, version + 1000, err
}

// Guards against a caller that gives up and takes the confirmation of all others with it.
func TestConfirmationOutlivesItsFirstCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		env.countReads().delay = 300 * time.Millisecond
		env.publish(t, owned, loadedForecast(8*32))
		ctx, cancel := context.WithCancel(t.Context())
		q := *env.queue
		q.Priority, q.Stretch, q.Target = 1, 2, time.Second
		job := newJob(1, 5*time.Second)
		job.SubmittedAt, _ = env.store.Now()
		first := make(chan bool, 1)
		env.intake.confirmations.nextAt = env.now() + 100*time.Millisecond
		go func() { first <- env.intake.confirmAbsent(ctx, job) }()
		synctest.Wait()
		second := make(chan error, 1)
		go func() { second <- env.submitRefusable("b") }()
		synctest.Wait()
		cancel()
		must.False(t, <-first)
		err := <-second
		must.True(t, fault.Is(err, fault.Overloaded), must.Sprint(err))
		var retry *fault.RetryError
		must.True(t, errors.As(err, &retry))
	})
}
