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

// balancer sends each call to the next instance that said it was ready.
type balancer struct {
	c     *cluster
	ready atomic.Pointer[[]*instance]
	next  atomic.Int64
}

func newBalancer(c *cluster, stop <-chan struct{}, wg *sync.WaitGroup) *balancer {
	b := &balancer{c: c}
	b.look()
	wg.Go(func() {
		for !stopped(stop) {
			time.Sleep(200 * time.Millisecond)
			b.look()
		}
	})
	return b
}

func (b *balancer) look() {
	var ready []*instance
	client := &http.Client{Timeout: time.Second}
	for _, in := range b.c.instances {
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
		time.Sleep(poll)
	}
}

// TestRollingReplacementCutsOffNothing replaces every instance in turn and
// then two at once, under load of both kinds through a balancer.
func TestRollingReplacementCutsOffNothing(t *testing.T) {
	c := start(t, options{instances: 4, servers: 8})
	c.applyFirst()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	b := newBalancer(c, stop, &wg)
	var mu sync.Mutex
	var bad []string
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
					bad = append(bad, id+": "+got.String())
				}
				mu.Unlock()
			}
		})
	}
	c.submit(c.instances[0], gangOf("bat-yards-grading", "long", "normal", false, 30_000))
	for _, in := range c.instances {
		c.replace(in)
	}
	var both sync.WaitGroup
	for _, in := range c.instances[:2] {
		both.Go(func() { c.replace(in) })
	}
	both.Wait()
	close(stop)
	wg.Wait()
	must.SliceEmpty(t, bad)
	must.Positive(t, total)
	t.Logf("%d requests, all done", total)
	c.eventually("the end of the gang", func() bool { return c.state("bat-yards-grading", "long") == "succeeded" })
	must.Eq(t, 1, c.startsOf("long"))
}

// replace makes a planned stop and starts the instance again.
func (c *cluster) replace(in *instance) {
	must.Eq(c.t, 0, c.terminate(in))
	c.launch(in)
	c.eventually(in.id+" ready again", func() bool {
		st := c.status(in)
		return st != nil && st.GetReady()
	})
}

// startsOf counts the starts of a job's members.
func (c *cluster) startsOf(id string) int {
	n := 0
	for _, a := range attemptsOf(c.platformRecord()) {
		if a.job == id {
			n += len(a.started)
		}
	}
	return n
}
