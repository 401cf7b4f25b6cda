package e2e

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/standin/platform"
	"github.com/lentilwinch/lentilwinch/internal/standin/relay"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// maxDispatchDelay bounds the time from a dispatch until the server starts it.
const maxDispatchDelay = 500 * time.Millisecond

// startLoad sends short requests from several callers. The returned function
// stops them and returns their results.
func (c *cluster) startLoad(callers int) (stop func() []requestResult) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []requestResult
	for i := range callers {
		wg.Go(func() {
			for n := 0; !stopped(done); n++ {
				in := c.instances[(i+n)%len(c.instances)]
				got := c.request(in, "saw-bench", "moisture-check", fmt.Sprintf("load-%d-%d", i, n), 20)
				mu.Lock()
				results = append(results, got)
				mu.Unlock()
			}
		})
	}
	return func() []requestResult {
		close(done)
		wg.Wait()
		return results
	}
}

// Guards against membership that ignores the listed state. No work may start on
// a leaving server once every instance sees it leaving. The time until they see
// it is checked in virtual time by TestListedLeavingIsSeenWithinBound of
// duty/membership.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	c := startCluster(t, options{instances: 3, servers: 6})
	c.applyFirstTicket()
	stop := c.startLoad(12)
	c.eventually("runs on the server", func() bool { return len(c.backendRecord().Servers[0].Runs) > 0 })
	markedAt := time.Now()
	c.postJSON(c.platformAddress, "/instances", platform.InstancesDocument{Leaving: []string{"server-0"}})
	c.eventually("every instance to see the server leaving", func() bool {
		for _, in := range c.instances {
			if !c.seesLeaving(in, "server-0") {
				return false
			}
		}
		return true
	})
	seenAt := time.Now()
	t.Logf("every instance saw the server leaving after %v", seenAt.Sub(markedAt).Round(time.Millisecond))
	time.Sleep(2 * time.Second)
	results := stop()
	must.SliceNotEmpty(t, results)
	for _, got := range results {
		must.Eq(t, lentilwinchv1.Outcome_OUTCOME_DONE, got.outcome, must.Sprint(got))
	}
	for _, run := range c.backendRecord().Servers[0].Runs {
		delay := time.Unix(0, run.StartUnixNanos).Sub(seenAt)
		must.Less(t, maxDispatchDelay, delay, must.Sprint("work started on a leaving server"))
	}
}

// seesLeaving reports whether an instance's dump lists a server as leaving.
func (c *cluster) seesLeaving(in *instance, id string) bool {
	ctx, cancel := withTimeout(2 * time.Second)
	defer cancel()
	resp, err := c.api(in).Dump(ctx, connect.NewRequest(&lentilwinchv1.DumpRequest{}))
	must.NoError(c.t, err)
	var dump struct {
		Membership struct {
			Servers []structs.Instance
		} `json:"membership"`
	}
	must.NoError(c.t, json.Unmarshal(resp.Msg.GetJson(), &dump))
	return slices.ContainsFunc(dump.Membership.Servers, func(s structs.Instance) bool {
		return s.ID == id && s.State == structs.StateLeaving
	})
}

// Guards against a drain that waits without bound for outcomes to be stored, and
// against handlers whose contexts are cancelled by the signal.
func TestPlannedStopWithTableDown(t *testing.T) {
	c := startCluster(t, options{instances: 2, servers: 4})
	c.applyFirstTicket()
	leaving := c.instances[0]
	const callers = 16
	results := make([]requestResult, callers)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() { results[i] = c.request(leaving, "seasoning", "stack-tally", fmt.Sprint("tally-", i), 3000) })
	}
	c.eventually("the requests to be in flight", func() bool { return c.runCount() == callers })
	c.setTableFaults(platform.FaultsDocument{Refuse: true})
	c.signal(leaving, syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	must.Eq(t, 0, c.terminate(leaving))
	wg.Wait()
	for _, got := range results {
		must.Eq(t, lentilwinchv1.Outcome_OUTCOME_DONE, got.outcome, must.Sprint(got))
	}
	must.Eq(t, callers, c.runCount())
}

// Guards against executions without a deadline, whose callers would never get a
// response. The open connections drop all data permanently while new ones work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	var relays []*relay.Relay
	c := startCluster(t, options{instances: 2, servers: 2, relayVia: func(address string) string {
		r, err := relay.Listen(address)
		must.NoError(t, err)
		t.Cleanup(r.Close)
		relays = append(relays, r)
		return r.Address()
	}})
	c.applyFirstTicket()
	stop := c.startLoad(8)
	c.eventually("runs on both servers", func() bool {
		r := c.backendRecord()
		return len(r.Servers[0].Runs) > 20 && len(r.Servers[1].Runs) > 20
	})
	var result requestResult
	var wg sync.WaitGroup
	wg.Go(func() { result = c.request(c.instances[0], "seasoning", "stack-tally", "tally", 2000) })
	c.eventually("the tally to be in flight", func() bool { return c.hasRun("tally") })
	for _, r := range relays {
		r.SilenceOpen()
	}
	wg.Wait()
	must.Eq(t, lentilwinchv1.Outcome_OUTCOME_UNKNOWN, result.outcome, must.Sprint(result))
	runsBefore := c.runCount()
	c.eventually("runs over new connections", func() bool { return c.runCount() > runsBefore+100 })
	for _, got := range stop() {
		must.NoError(t, got.err)
		must.NotEq(t, lentilwinchv1.Outcome_OUTCOME_PENDING, got.outcome)
	}
}

func (c *cluster) hasRun(id string) bool {
	for _, s := range c.backendRecord().Servers {
		for _, run := range s.Runs {
			if run.RequestID == id {
				return true
			}
		}
	}
	return false
}

func (c *cluster) submit(in *instance, spec *lentilwinchv1.JobSpec) {
	c.t.Helper()
	ctx, cancel := withTimeout(5 * time.Second)
	defer cancel()
	_, err := c.api(in).Submit(ctx, connect.NewRequest(&lentilwinchv1.SubmitRequest{Spec: spec}))
	must.NoError(c.t, err)
}

func (c *cluster) jobState(workspace, id string) string {
	ctx, cancel := withTimeout(2 * time.Second)
	defer cancel()
	for _, in := range c.instances {
		resp, err := c.api(in).GetJob(ctx, connect.NewRequest(&lentilwinchv1.GetJobRequest{Workspace: workspace, JobId: id}))
		if err == nil {
			return resp.Msg.GetJob().GetState()
		}
	}
	return ""
}

// gangSpec returns a job of one member that needs 8 accelerators, all of a
// worker's, in the failure domain north-yard.
func gangSpec(workspace, id, class string, preemptible bool, runMillis int) *lentilwinchv1.JobSpec {
	return &lentilwinchv1.JobSpec{
		Workspace: workspace, JobId: id, Members: 1, Accelerators: 8, Adjacency: "worker",
		Class: class, Preemptible: preemptible, Domain: "north-yard", Payload: fmt.Appendf(nil, `{"run_ms":%d}`, runMillis),
	}
}

// Guards against plans that never reclaim borrowed capacity for a guarantee.
func TestGuaranteedCapacityIsReclaimed(t *testing.T) {
	c := startCluster(t, options{instances: 3, servers: 1})
	c.applyFirstTicket()
	// Research borrows all 12 workers of north-yard, which have 8 accelerators each.
	for i := range 12 {
		c.submit(c.instances[i%3], gangSpec("research", fmt.Sprint("lent-", i), "batch", true, 3_600_000))
	}
	c.eventually("a borrowing gang on every worker", func() bool { return c.eventCount(fake.EventTaskStarted) == 12 })
	submittedAt := time.Now()
	for i := range 4 {
		c.submit(c.instances[i%3], gangSpec("bat-yards-grading", fmt.Sprint("scan-", i), "urgent", false, 500))
	}
	c.eventually("the guaranteed gangs to start", func() bool { return c.eventCount(fake.EventTaskStarted) >= 16 })
	t.Logf("4 guaranteed gangs started %v after their submission", c.startTime(16).Sub(submittedAt).Round(time.Millisecond))
	must.Eq(t, 4, c.eventCount(fake.EventCheckpointed))
	for i := range 4 {
		c.eventually("the scan to succeed", func() bool { return c.jobState("bat-yards-grading", fmt.Sprint("scan-", i)) == "succeeded" })
	}
	c.eventually("the reclaimed gangs to start again", func() bool { return c.eventCount(fake.EventTaskStarted) == 20 })
}

// startTime returns the start time of the n-th task, or the zero time if fewer
// tasks have started.
func (c *cluster) startTime(n int) time.Time {
	for _, e := range c.platformRecord().Events {
		if e.Kind == fake.EventTaskStarted {
			n--
		}
		if n == 0 {
			return time.Unix(0, e.AtUnixNanos)
		}
	}
	return time.Time{}
}

func (c *cluster) ownerOf(domain string) *instance {
	for _, in := range c.instances {
		if st := c.status(in); st != nil {
			for _, d := range st.GetOwnedDomains() {
				if d == domain {
					return in
				}
			}
		}
	}
	return nil
}

// Guards against a new owner that doesn't recover running gangs, so that their
// leases expire.
func TestRunningGangsSurviveOwnerCrash(t *testing.T) {
	c := startCluster(t, options{instances: 3, servers: 1})
	c.applyFirstTicket()
	c.submit(c.instances[0], gangSpec("bat-yards-grading", "long", "normal", false, 20_000))
	c.eventually("the gang to run", func() bool { return c.eventCount(fake.EventTaskStarted) == 1 })
	owner := c.ownerOf("north-yard")
	must.NotNil(t, owner)
	c.crash(owner)
	killedAt := time.Now()
	var other *instance
	for _, in := range c.instances {
		if in != owner {
			other = in
		}
	}
	c.submit(other, gangSpec("bat-yards-grading", "urgent", "urgent", false, 100))
	c.eventually("the urgent gang to start", func() bool { return c.eventCount(fake.EventTaskStarted) == 2 })
	t.Logf("an urgent gang started %v after its owner was killed", c.startTime(2).Sub(killedAt).Round(time.Millisecond))
	c.eventually("the long gang to succeed", func() bool { return c.jobState("bat-yards-grading", "long") == "succeeded" })
	must.Eq(t, 0, c.eventCount(fake.EventTaskStopped))
	must.Eq(t, 0, c.eventCount(fake.EventLeaseLapsed))
}

// During a table outage, repeatable requests succeed, the running gang continues
// and a non-repeatable request gets an unknown outcome. That outcome is resolved
// as not run after the outage, and the test logs how long that took.
func TestTableOutageLosesNoWork(t *testing.T) {
	c := startCluster(t, options{instances: 3, servers: 4})
	c.applyFirstTicket()
	c.submit(c.instances[0], gangSpec("bat-yards-grading", "running", "normal", false, 12_000))
	c.eventually("the gang to run", func() bool { return c.eventCount(fake.EventTaskStarted) == 1 })
	c.setTableFaults(platform.FaultsDocument{Refuse: true})
	stop := c.startLoad(8)
	time.Sleep(6 * time.Second)
	for _, got := range stop() {
		must.Eq(t, lentilwinchv1.Outcome_OUTCOME_DONE, got.outcome, must.Sprint(got))
	}
	result := c.request(c.instances[0], "seasoning", "stack-tally", "in-outage", 10)
	must.Eq(t, lentilwinchv1.Outcome_OUTCOME_UNKNOWN, result.outcome, must.Sprint(result))
	c.setTableFaults(platform.FaultsDocument{})
	restoredAt := time.Now()
	c.eventually("the outcome to be resolved", func() bool {
		_, code := c.runCLI("outcome", "-server", c.instances[1].address, "-workspace", "seasoning", "in-outage")
		return code == 5
	})
	t.Logf("the outcome was resolved %v after the end of the outage", time.Since(restoredAt).Round(time.Millisecond))
	must.False(t, c.hasRun("in-outage"))
	c.eventually("the gang to succeed", func() bool { return c.jobState("bat-yards-grading", "running") == "succeeded" })
	must.Eq(t, 0, c.eventCount(fake.EventTaskStopped))
}
