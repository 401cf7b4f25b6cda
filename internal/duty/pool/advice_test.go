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

// fakePolicy allows only worker w01, and rejects every second call.
type fakePolicy struct {
	mu          sync.Mutex
	calls       int
	inFlight    int
	maxInFlight int
}

func (p *fakePolicy) Query(ctx context.Context, _ work.StepID, workers []string) (port.PolicyDecision, error) {
	p.mu.Lock()
	p.calls++
	p.inFlight++
	p.maxInFlight = max(p.maxInFlight, p.inFlight)
	reject := p.calls%2 == 1
	p.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	p.mu.Lock()
	p.inFlight--
	p.mu.Unlock()
	if reject {
		return port.PolicyDecision{}, fault.New(fault.Overloaded, "too many queries are waiting")
	}
	out := port.PolicyDecision{Tickets: map[string]string{}, ValidFor: 3 * time.Second}
	for _, id := range workers {
		if id == "w01" {
			out.Tickets[id] = "good"
		}
	}
	return out, nil
}

// ticketWorkers rejects starts at other workers than w01 or without its ticket.
type ticketWorkers struct {
	port.WorkerClient
	mu       sync.Mutex
	rejected int
}

func (w *ticketWorkers) Start(ctx context.Context, t port.WorkerTarget, o port.StartOrder) (port.WorkerClock, port.StartRejection, error) {
	if t.ID != "w01" || o.Ticket != "good" {
		w.mu.Lock()
		w.rejected++
		w.mu.Unlock()
		return port.WorkerClock{}, port.RejectedTicket, nil
	}
	return w.WorkerClient.Start(ctx, t, o)
}

// The policy service rejects every second call and the owner is killed. The job
// still runs, only on the allowed worker and with its ticket.
func TestPolicyControlledJobSurvivesOverloadAndTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4)
		workers := &ticketWorkers{WorkerClient: c.pool}
		c.workers = workers
		c.policy = &fakePolicy{}
		first := c.launch()
		time.Sleep(time.Second)
		c.launch()
		c.setDuration("a", 3, 0)
		job := work.Job{
			ID: "a", Pool: testPool, Queue: "q", Spec: "a", Steps: []work.Step{single(2, 3)}, MaxAttempts: 4, Stretch: 3,
			SubmittedAt: c.storeNow(), PolicyControlled: true,
		}
		value, err := work.Encode(work.Record{Job: job, State: work.Queued})
		must.NoError(t, err)
		_, err = c.store.Commit(t.Context(), port.RowTxn{Puts: map[port.RowKey][]byte{replica.JobKeys(testPool, "a")[0]: value}})
		must.NoError(t, err)
		c.jobIDs = append(c.jobIDs, "a")
		time.Sleep(1500 * time.Millisecond)
		must.EqOp(t, 2, c.pool.Running())
		first.kill()
		c.await(12 * time.Second)
		must.EqOp(t, work.Completed, c.state("a"))
		must.EqOp(t, 2, c.pool.StartCount())
		must.EqOp(t, 0, workers.rejected)
		must.EqOp(t, 1, c.policy.maxInFlight)
		c.checkInvariants()
	})
}
