package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fake"
)

func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

func TestRequestAndJobSucceed(t *testing.T) {
	c := startCluster(t, options{instances: 3, servers: 4})
	c.applyFirstTicket()

	for i, in := range c.instances {
		id := fmt.Sprintf("check-%d", i)
		out, code := c.runCLI("request", "-server", in.address, "-workspace", "saw-bench", "-service", "moisture-check",
			"-id", id, "-body", `{"run_ms":20,"answer":"`+id+`"}`)
		must.Eq(t, 0, code)
		must.Eq(t, id, strings.TrimSpace(out))
	}

	out, code := c.runCLI("submit", "-server", c.instances[1].address, "-workspace", "bat-yards-grading", "-id", "scan-1",
		"-members", "1", "-accelerators", "8", "-adjacency", "worker", "-payload", `{"run_ms":300}`, "-wait")
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "succeeded")
	must.Eq(t, 1, c.eventCount(fake.EventTaskSucceeded))

	for _, in := range c.instances {
		out, code = c.runCLI("dump", "-server", in.address)
		must.Eq(t, 0, code)
		must.StrContains(t, out, `"config"`)
	}
}

func (c *cluster) eventCount(kind fake.EventKind) int {
	n := 0
	for _, e := range c.platformRecord().Events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against a graceful shutdown that closes the listener at once or cancels
// the handlers' contexts. Requests in flight would then fail.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	c := startCluster(t, options{instances: 2, servers: 4})
	c.applyFirstTicket()
	leaving, staying := c.instances[0], c.instances[1]

	var wg sync.WaitGroup
	var mu sync.Mutex
	failures := make(map[string]string)
	for i := range 24 {
		wg.Go(func() {
			id := fmt.Sprintf("in-flight-%d", i)
			got := c.request(leaving, "seasoning", "stack-tally", id, 3000)
			if got.outcome != lentilwinchv1.Outcome_OUTCOME_DONE {
				mu.Lock()
				defer mu.Unlock()
				failures[id] = got.String()
			}
		})
	}
	c.eventually("the requests to be in flight", func() bool { return c.runCount() == 24 })
	must.Eq(t, 0, c.terminate(leaving))
	wg.Wait()
	must.MapEmpty(t, failures)

	// The other instance takes over its failure domains.
	c.eventually("the other instance to own every failure domain", func() bool {
		st := c.status(staying)
		return st != nil && len(st.GetOwnedDomains()) == len(domains)
	})
}

func (c *cluster) runCount() int {
	n := 0
	for _, s := range c.backendRecord().Servers {
		n += len(s.Runs)
	}
	return n
}

// requestResult is the response or the error that a caller received.
type requestResult struct {
	outcome lentilwinchv1.Outcome
	reason  string
	answer  string
	err     error
}

func (r requestResult) String() string {
	return fmt.Sprintf("%s reason=%q answer=%q err=%v", r.outcome, r.reason, r.answer, r.err)
}

// request sends a request that runs for runMillis and whose answer contains its ID.
func (c *cluster) request(in *instance, workspace, service, id string, runMillis int) requestResult {
	ctx, cancel := withTimeout(30 * time.Second)
	defer cancel()
	resp, err := c.api(in).Request(ctx, connect.NewRequest(&lentilwinchv1.RequestRequest{
		Workspace: workspace,
		Service:   service,
		RequestId: id,
		Body:      fmt.Appendf(nil, `{"run_ms":%d,"answer":"answer to %s"}`, runMillis, id),
	}))
	if err != nil {
		return requestResult{err: err}
	}
	return requestResult{outcome: resp.Msg.GetOutcome(), reason: resp.Msg.GetReason(), answer: string(resp.Msg.GetAnswer())}
}
