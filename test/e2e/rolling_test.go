package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
)

// balancer distributes calls round-robin over the instances that report ready.
type balancer struct {
	cluster *cluster
	ready   atomic.Pointer[[]*instance]
	next    atomic.Int64
}

func newBalancer(c *cluster, stop <-chan struct{}, wg *sync.WaitGroup) *balancer {
	b := &balancer{cluster: c}
	b.refresh()
	wg.Go(func() {
		for !stopped(stop) {
			time.Sleep(200 * time.Millisecond)
			b.refresh()
		}
	})
	return b
}

func (b *balancer) refresh() {
	var ready []*instance
	client := &http.Client{Timeout: time.Second}
	for _, in := range b.cluster.instances {
		resp, err := client.Get("http://" + in.address + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, in)
		}
	}
	b.ready.Store(&ready)
}

func (b *balancer) pick() *instance {
	for {
		ready := *b.ready.Load()
		if len(ready) > 0 {
			return ready[int(b.next.Add(1))%len(ready)]
		}
		time.Sleep(pollInterval)
	}
}

// The test restarts every instance in turn and then two at the same time, while
// repeatable and non-repeatable requests arrive through a balancer. Every request
// completes and the running gang isn't restarted.
func TestRollingReplacementInterruptsNoRequest(t *testing.T) {
	c := startCluster(t, options{instances: 4, servers: 8})
	c.applyFirstTicket()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	b := newBalancer(c, stop, &wg)
	var mu sync.Mutex
	var failures []string
	total := 0
	for i := range 12 {
		wg.Go(func() {
			for n := 0; !stopped(stop); n++ {
				workspace, service := "saw-bench", "moisture-check"
				if (i+n)%3 == 0 {
					workspace, service = "seasoning", "stack-tally"
				}
				id := fmt.Sprintf("rolling-%d-%d", i, n)
				got := c.request(b.pick(), workspace, service, id, 50)
				mu.Lock()
				total++
				if got.outcome != lentilwinchv1.Outcome_OUTCOME_DONE {
					failures = append(failures, id+": "+got.String())
				}
				mu.Unlock()
			}
		})
	}
	c.submit(c.instances[0], gangSpec("bat-yards-grading", "long", "normal", false, 30_000))
	for _, in := range c.instances {
		c.replace(in)
	}
	var replacements sync.WaitGroup
	for _, in := range c.instances[:2] {
		replacements.Go(func() { c.replace(in) })
	}
	replacements.Wait()
	close(stop)
	wg.Wait()
	must.SliceEmpty(t, failures)
	must.Positive(t, total)
	t.Logf("all %d requests completed", total)
	c.eventually("the gang to succeed", func() bool { return c.jobState("bat-yards-grading", "long") == "succeeded" })
	must.Eq(t, 1, c.startCount("long"))
}

// replace stops an instance with SIGTERM, starts it again and waits until it is
// ready.
func (c *cluster) replace(in *instance) {
	must.Eq(c.t, 0, c.terminate(in))
	c.launch(in)
	c.eventually(in.id+" to be ready again", func() bool {
		st := c.status(in)
		return st != nil && st.GetReady()
	})
}

// startCount returns the number of members started over all attempts of a job.
func (c *cluster) startCount(id string) int {
	n := 0
	for _, a := range attemptsOf(c.platformRecord()) {
		if a.job == id {
			n += len(a.started)
		}
	}
	return n
}
