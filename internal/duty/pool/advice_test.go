package pool

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/duty/replica"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// policy allows worker w01 only, and turns every second question away.
type policy struct {
	mu     sync.Mutex
	asked  int
	atOnce int
	most   int
}

func (p *policy) Advise(ctx context.Context, _ work.StepID, workers []string) (port.Advice, error) {
	p.mu.Lock()
	p.asked++
	p.atOnce++
	p.most = max(p.most, p.atOnce)
	refuse := p.asked%2 == 1
	p.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	p.atOnce--
	p.mu.Unlock()
	if refuse {
		return port.Advice{}, fault.New(fault.Overloaded, "too many questions wait")
	}
	out := port.Advice{Tickets: map[string]string{}, ValidFor: 3 * time.Second}
	for _, id := range workers {
		if id == "w01" {
			out.Tickets[id] = "good"
		}
	}
	return out, nil
}

// ticketed workers reject starts without the ticket.
type ticketed struct {
	port.WorkerCaller
	mu       sync.Mutex
	rejected int
}

func (w *ticketed) Start(ctx context.Context, t port.WorkerTarget, o port.StartOrder) (port.WorkerClock, port.Rejection, error) {
	if t.ID != "w01" || o.Ticket != "good" {
		w.mu.Lock()
		w.rejected++
		w.mu.Unlock()
		return port.WorkerClock{}, port.RejectedTicket, nil
	}
	return w.WorkerCaller.Start(ctx, t, o)
}

// The policy service is overloaded by turns and the owner is killed: the job
// still runs, where it may and with its ticket.
func TestAdvisedJobSurvivesAnOverloadedServiceAndItsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4)
		workers := &ticketed{WorkerCaller: w.pool}
		w.workers = workers
		w.advisor = &policy{}
		first := w.launch()
		time.Sleep(time.Second)
		w.launch()
		w.profile("a", 3, 0)
		job := work.Job{
			ID: "a", Pool: testPool, Queue: "q", Spec: "a", Steps: []work.Step{single(2, 3)}, MaxAttempts: 4, Stretch: 3,
			SubmittedAt: w.store.Now(), Advised: true,
		}
		value, err := work.Encode(work.Record{Job: job, State: work.Queued})
		must.NoError(t, err)
		_, err = w.store.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.JobKeys(testPool, "a")[0]: value}})
		must.NoError(t, err)
		w.ids = append(w.ids, "a")
		time.Sleep(1500 * time.Millisecond)
		must.EqOp(t, 2, w.pool.Running())
		first.kill()
		w.await(12 * time.Second)
		must.EqOp(t, work.Completed, w.state("a"))
		must.EqOp(t, 2, w.pool.Starts())
		must.EqOp(t, 0, workers.rejected)
		must.EqOp(t, 1, w.advisor.most)
		w.intact()
	})
}
