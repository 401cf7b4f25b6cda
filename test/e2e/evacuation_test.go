package e2e

import (
	"regexp"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/fake"
)

var evacuatedPattern = regexp.MustCompile(`"evacuated_domains": \[\s*"north-yard"\s*\]`)

// Guards against an evacuation that isn't in force at every instance, or is lost
// with the owner or a restarted instance: a gang or a request would start in the
// failure domain. What runs there must finish.
func TestEvacuatedDomainGetsNoNewWork(t *testing.T) {
	c := startCluster(t, options{instances: 3, servers: 4})
	c.applyFirstTicket()
	server := "-server=" + c.instances[0].address
	out, code := c.runCLI("evacuate", server, "-author", "ana", "nroth-yard")
	must.Eq(t, 2, code)
	must.StrContains(t, out, "one of north-yard, river-yard, saw-hall, east-kiln")

	c.submit(c.instances[0], gangSpec("bat-yards-grading", "running", "normal", false, 15_000))
	c.eventually("the gang to run", func() bool { return c.eventCount(fake.EventTaskStarted) == 1 })
	stop := c.startLoad(8)
	c.eventually("runs on the server", func() bool { return len(c.backendRecord().Servers[0].Runs) > 0 })

	out, code = c.runCLI("evacuate", server, "-author", "ana", "-comment", "roof works", "north-yard")
	must.Eq(t, 0, code, must.Sprint(out))
	c.awaitTicket(2)
	inForceAt := time.Now()
	c.submit(c.instances[1], gangSpec("bat-yards-grading", "pinned", "urgent", false, 100))
	time.Sleep(2 * time.Second)
	for _, got := range stop() {
		must.Eq(t, lentilwinchv1.Outcome_OUTCOME_DONE, got.outcome, must.Sprint(got))
	}
	for _, run := range c.backendRecord().Servers[0].Runs {
		delay := time.Unix(0, run.StartUnixNanos).Sub(inForceAt)
		must.Less(t, maxDispatchDelay, delay, must.Sprint("work started on a server of the evacuated domain"))
	}

	owner := c.ownerOf("north-yard")
	must.NotNil(t, owner)
	c.crash(owner)
	c.launch(owner)
	c.awaitTicket(2)
	c.awaitOwners()
	c.eventually("the running gang to succeed", func() bool { return c.jobState("bat-yards-grading", "running") == "succeeded" })
	must.Eq(t, 1, c.eventCount(fake.EventTaskStarted))
	must.Eq(t, 0, c.eventCount(fake.EventTaskStopped))
	out, code = c.runCLI("job", server, "-workspace", "bat-yards-grading", "pinned")
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrContains(t, out, "queued")
	must.StrContains(t, out, "failure domain north-yard is evacuated")
	for _, in := range c.instances {
		out, code = c.runCLI("status", "-json", "-server="+in.address)
		must.Eq(t, 0, code, must.Sprint(out))
		must.RegexMatch(t, evacuatedPattern, out)
	}

	out, code = c.runCLI("restore", server, "-author", "ana", "north-yard")
	must.Eq(t, 0, code, must.Sprint(out))
	c.eventually("the pinned gang to succeed", func() bool { return c.jobState("bat-yards-grading", "pinned") == "succeeded" })
}
