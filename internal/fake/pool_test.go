package fake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

const poolLease = 4 * time.Second

// poolTest drives the workers a and b of a pool, whose clocks start together.
type poolTest struct {
	*Pool
	t     *testing.T
	began time.Time
}

// withPool runs a test in virtual time. Tasks run for a second.
func withPool(t *testing.T, f func(p *poolTest)) {
	synctest.Test(t, func(t *testing.T) {
		p := &poolTest{Pool: NewPool(), t: t, began: time.Now()}
		p.SetProfile("single", Profile{RunTime: time.Second})
		p.SetProfile("gang", Profile{RunTime: time.Second, GangSize: 2})
		for _, id := range []string{"a", "b"} {
			p.Add(work.Worker{ID: id, Address: id})
		}
		f(p)
	})
}

func (p *poolTest) leaseEnd() time.Duration { return time.Since(p.began) + time.Second + poolLease }

func (p *poolTest) start(worker, spec string, index int, run int64) {
	p.t.Helper()
	_, rejection, err := p.Start(p.t.Context(), port.WorkerTarget{Address: worker}, port.StartOrder{
		Task: work.TaskID{Job: "j", Index: index}, Run: run, Spec: spec, FencingToken: 1, LeaseEnd: p.leaseEnd(),
	})
	must.NoError(p.t, err)
	must.EqOp(p.t, port.NotRejected, rejection)
}

func (p *poolTest) hold(worker string, acknowledged int64) port.HoldReply {
	p.t.Helper()
	reply, err := p.Hold(p.t.Context(), port.WorkerTarget{Address: worker}, port.HoldRequest{FencingToken: 1, AcknowledgedSequence: acknowledged, LeaseEnd: p.leaseEnd()})
	must.NoError(p.t, err)
	return reply
}

// violated asserts a single violation that contains all texts.
func (p *poolTest) violated(texts ...string) {
	p.t.Helper()
	must.Len(p.t, 1, p.Violations(), must.Sprint(p.Violations()))
	for _, text := range texts {
		must.StrContains(p.t, p.Violations()[0], text)
	}
}

func TestPoolReportsStartWhileTaskRuns(t *testing.T) {
	withPool(t, func(p *poolTest) {
		p.start("a", "single", 0, 1)
		p.start("b", "single", 0, 2)
		p.violated("run 2 starts on b", "run 1", "runs on a", "lease ends at")
	})
}

func TestPoolReportsStartAfterAcknowledgedSuccess(t *testing.T) {
	withPool(t, func(p *poolTest) {
		p.start("a", "single", 0, 1)
		time.Sleep(2 * time.Second)
		p.hold("a", 1)
		p.start("b", "single", 0, 2)
		p.violated("run 2 starts on b", "run 1", "on a ended at")
	})
}

func TestPoolReportsStartBeforeItsSuccessIsAcknowledged(t *testing.T) {
	withPool(t, func(p *poolTest) {
		p.start("a", "single", 0, 1)
		time.Sleep(2 * time.Second)
		must.Len(p.t, 1, p.hold("a", 0).Results)
		p.start("b", "single", 0, 2)
		must.SliceEmpty(p.t, p.Violations(), must.Sprint("the success may still become void"))
		time.Sleep(2 * time.Second)
		p.hold("a", 1)
		p.violated("run 2 starts on b", "acknowledged later", "run 1", "on a ended at")
		p.hold("b", 1)
		must.Len(p.t, 1, p.Violations(), must.Sprint("the second success comes after the start"))
	})
}

func TestPoolAllowsStartIfLeaseExpiresBeforeAcknowledgement(t *testing.T) {
	withPool(t, func(p *poolTest) {
		p.start("a", "single", 0, 1)
		time.Sleep(2 * time.Second)
		must.Len(p.t, 1, p.hold("a", 0).Results)
		p.start("b", "single", 0, 2)
		time.Sleep(poolLease + time.Second)
		p.hold("a", 1)
		p.start("a", "single", 0, 3)
		must.SliceEmpty(p.t, p.Violations())
	})
}

func TestPoolReportsStartOfGangWithSuccessfulMember(t *testing.T) {
	withPool(t, func(p *poolTest) {
		p.start("a", "gang", 0, 1)
		p.start("b", "gang", 1, 1)
		time.Sleep(2 * time.Second)
		must.Len(p.t, 1, p.hold("a", 0).Results)
		p.Restart("b")
		p.start("a", "gang", 1, 2)
		p.hold("a", 1)
		p.violated("run 2 starts on a", "acknowledged later", "run 1")
	})
}

func TestPoolReportsStartAfterJobWasShownAsCompleted(t *testing.T) {
	withPool(t, func(p *poolTest) {
		p.Completed("j")
		time.Sleep(900 * time.Millisecond)
		p.start("a", "single", 0, 1)
		must.SliceEmpty(p.t, p.Violations())
		p.Completed("j")
		time.Sleep(200 * time.Millisecond)
		_, _, err := p.Start(PerformLate(p.t.Context()), port.WorkerTarget{Address: "a"}, port.StartOrder{Task: work.TaskID{Job: "j", Index: 2}, Run: 1, FencingToken: 1, LeaseEnd: p.leaseEnd()})
		must.NoError(p.t, err)
		must.SliceEmpty(p.t, p.Violations(), must.Sprint("the order was sent before"))
		p.start("b", "single", 1, 1)
		p.violated("run 1 starts on b", "shown as completed at")
	})
}

func TestPoolFaultsHoldUntilAllAreReleased(t *testing.T) {
	withPool(t, func(p *poolTest) {
		dropped := func() bool {
			ctx, cancel := context.WithTimeout(p.t.Context(), time.Second)
			defer cancel()
			_, err := p.Hold(ctx, port.WorkerTarget{Address: "a"}, port.HoldRequest{FencingToken: 1})
			return err != nil
		}
		first := p.HoldFaults("a", PoolFaults{DropCalls: true})
		second := p.HoldFaults("a", PoolFaults{DropCalls: true, StallRuns: true})
		must.True(p.t, dropped())
		second()
		must.True(p.t, dropped(), must.Sprint("the first request for the fault still holds"))
		first()
		must.False(p.t, dropped())
		p.HoldFaults("unknown", PoolFaults{})()
	})
}

func TestPoolLeaseIsMeasuredOnTheWorkersClock(t *testing.T) {
	withPool(t, func(p *poolTest) {
		p.SetProfile("single", Profile{RunTime: time.Minute})
		p.SetClockRate("a", 0.5)
		p.start("a", "single", 0, 1) // the lease ends at 5 s of the clock, which began at 1 s
		time.Sleep(7900 * time.Millisecond)
		must.EqOp(p.t, 1, p.Running())
		time.Sleep(200 * time.Millisecond)
		must.EqOp(p.t, 0, p.Running())
	})
}
