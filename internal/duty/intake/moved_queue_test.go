package intake

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/keylease"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// moveQueue has the configuration send the queue to another pool, whose workers are smaller.
func (env *testEnv) moveQueue(t *testing.T) {
	t.Helper()
	capacity, err := work.Encode(replica.PoolCapacity{MaxCapacity: work.Resources{CPU: 1}})
	must.NoError(t, err)
	_, err = env.rows.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.PoolKey("moved", replica.CapacityKey): capacity}})
	must.NoError(t, err)
	c := testConfig(2, "ws", "key")
	for i := range c.Queues {
		c.Queues[i].Pool = "moved"
	}
	c.Pools = []string{"p", "moved"}
	env.read(env.intake, c)
	env.queue, _, err = env.intake.Route("h", "/a/x")
	must.NoError(t, err)
	must.EqOp(t, "moved", env.queue.Pool)
}

func (env *testEnv) rowsIn(t *testing.T, pool, id string) int {
	t.Helper()
	n := 0
	for _, key := range replica.JobKeys(pool, id) {
		rows, _, err := env.rows.Scan(t.Context(), key.Table, key.Partition, key.Key, key.Key+"\x00")
		must.NoError(t, err)
		n += len(rows)
	}
	return n
}

var largeTask = work.Submission{Steps: []work.Step{{Count: 1, Estimate: time.Second, Need: work.Resources{CPU: 1000}}}}

// Guards against a second row of a job in another pool, and against the refusal of a job that
// is stored: its caller submits it again after its queue has moved to a pool of smaller
// workers.
func TestSubmissionAgainAfterQueueMovedStaysOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		must.NoError(t, env.intake.Submit(t.Context(), env.caller(), "a", largeTask))
		env.moveQueue(t)
		time.Sleep(time.Second)
		must.NoError(t, env.intake.Submit(t.Context(), env.caller(), "a", largeTask))
		must.EqOp(t, 1, env.rowsIn(t, "p", "a"))
		must.EqOp(t, 0, env.rowsIn(t, "moved", "a"))
	})
}

// Guards against an accepted job that is told not to exist: the queue has moved, and an
// instance that has just started hasn't read the jobs yet.
func TestJobOfMovedQueueIsFoundBeforeTheReplicaIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t)
		must.NoError(t, env.submit("a"))
		env.moveQueue(t)
		env.intake = New(Deps{Store: env.store, Health: env.intake.health, Replica: replica.New(env.store, zap.NewNop(), env.now),
			Log: zap.NewNop(), Now: env.now, KeyPolicy: func() keylease.Policy { return env.policy }})
		env.moveQueue(t)
		state, err := env.intake.State(t.Context(), env.caller(), "a")
		must.NoError(t, err)
		must.EqOp(t, work.Queued, state)
		must.NoError(t, env.intake.Cancel(t.Context(), env.caller(), "a"))
		cancelled := 0
		for _, key := range replica.CancelKeys("p", "a") {
			rows, _, err := env.rows.Scan(t.Context(), key.Table, key.Partition, key.Key, key.Key+"\x00")
			must.NoError(t, err)
			cancelled += len(rows)
		}
		must.EqOp(t, 1, cancelled)
	})
}
