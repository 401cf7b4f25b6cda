package pool

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/dryrun"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// Guards against answers of an instance that isn't the owner, of an owner that may start
// nothing, and against an owner that starts a job that it was only asked about.
func TestOnlyAnOwnerThatMayStartAnswersQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		owner := c.launchWith(func(in *instance) {
			in.evacuateWithin = 5 * time.Second
			in.evacuation = func() work.Evacuation { return work.Evacuation{} } // read once, at the beginning
		})
		time.Sleep(time.Second)
		other := c.launch()
		time.Sleep(time.Second)
		try := func(in *instance) (dryrun.Answer, error) {
			return in.election.Try(t.Context(), work.Job{Pool: testPool, Queue: "q", Steps: []work.Step{single(2, 1)}, Stretch: 3})
		}
		_, err := try(other)
		must.True(t, fault.Is(err, fault.Fenced), must.Sprint(err))
		answer, err := try(owner)
		must.NoError(t, err)
		must.EqOp(t, dryrun.Start, answer.Verdict)
		must.Eq(t, dryrun.Basis{Owner: owner.name, Epoch: 1, PlanAgeMs: answer.Basis.PlanAgeMs}, answer.Basis)
		time.Sleep(time.Second)
		must.EqOp(t, 0, c.pool.StartCount())
		time.Sleep(5 * time.Second)
		_, err = try(owner)
		must.True(t, fault.Is(err, fault.Unavailable), must.Sprint(err))
		owner.kill()
		_, err = try(owner)
		must.True(t, fault.Is(err, fault.Fenced), must.Sprint(err))
	})
}

// Guards against queries that occupy the owner: a second one is rejected while the first is
// open, also if its caller is gone, and so is one that follows at once on a long one.
func TestQueriesAreAnsweredOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(Deps{Log: testLog(), Now: func() time.Duration { return 0 }}, testPool, 1, 1)
		gone, cancel := context.WithCancel(t.Context())
		go func() { _, _ = o.try(gone, work.Job{}) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		_, err := o.try(t.Context(), work.Job{})
		must.True(t, fault.Is(err, fault.Overloaded), must.Sprint(err))
		must.EqOp(t, 1, len(o.events))
		o.answerTry((<-o.events).try)
		o.tryer.nextAt = time.Minute
		go func() { o.answerTry((<-o.events).try) }()
		_, err = o.try(t.Context(), work.Job{})
		must.True(t, fault.Is(err, fault.Overloaded), must.Sprint(err))
		synctest.Wait()
		must.False(t, o.tryer.open.Load())
	})
}
