package e2e

import (
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/standin/platform"
)

// awaitExplanation repeats a query until its exit code and its output are as expected. An
// instance answers none shortly after another one.
func (c *cluster) awaitExplanation(code int, texts, args []string) {
	c.t.Helper()
	c.eventually(strings.Join(texts, " and "), func() bool {
		out, got := c.runCLI(append([]string{"explain"}, args...)...)
		return got == code && !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(out, text) })
	})
}

// Guards against a command that an instance answers otherwise than it would decide, with
// another exit code than documented, or by sending the request.
func TestExplainRequest(t *testing.T) {
	c := startCluster(t, options{instances: 1, servers: 4})
	in := c.instances[0]
	c.applyFirstTicket()
	explain := func(code int, texts []string, args ...string) {
		t.Helper()
		c.awaitExplanation(code, texts, append([]string{"-request", "-server", in.address, "-workspace", "saw-bench", "-service", "moisture-check"}, args...))
	}
	explain(0, []string{"would be dispatched to server-", "usable: server-0, server-1, server-2, server-3", "decided by entry-0, configuration of ticket 1"})
	explain(0, []string{`"verdict": "dispatch"`, `"domain": "north-yard"`, `"timeout_ms": 1`}, "-json", "-deadline", "2s")
	explain(8, []string{"not_found"}, "-service", "none")
	explain(3, []string{"would be refused: invalid", "request_id"}, "-id", strings.Repeat("x", 200))
	explain(2, []string{"exclude each other"}, "-job", "-")
	explain(2, []string{"exceeds"}, "-service", strings.Repeat("x", 5000))

	out, code := c.runCLI("evacuate", "-server", in.address, "-author", "ana", "north-yard")
	must.Eq(t, 0, code, must.Sprint(out))
	c.awaitTicket(2)
	explain(0, []string{"evacuated: server-0", "usable: server-1, server-2, server-3"})

	// An instance that can't read its configuration has none.
	c.setTableFaults(platform.FaultsDocument{Refuse: true})
	c.crash(in)
	c.launch(in)
	explain(7, []string{"not_ready"})
	must.Eq(t, 0, c.runCount())
}

// Guards against an answer that depends on the instance that is asked, and against a query
// that submits the job.
func TestExplainSubmit(t *testing.T) {
	c := startCluster(t, options{instances: 2, servers: 4})
	c.applyFirstTicket()
	owner := c.ownerOf("saw-hall")
	for _, in := range c.instances {
		explain := func(code int, texts []string, args ...string) {
			t.Helper()
			c.awaitExplanation(code, texts, append([]string{"-submit", "-server", in.address, "-workspace", "saw-bench", "-accelerators", "4"}, args...))
		}
		explain(0, []string{"would start in saw-hall", "rack", "decided by " + owner.id}, "-domain", "saw-hall")
		explain(0, []string{`"verdict": "start"`}, "-json")
		explain(3, []string{"can't run in saw-hall"}, "-domain", "saw-hall", "-members", "200")
		explain(3, []string{"would be refused: invalid", "adjacency"}, "-adjacency", "near")
		explain(8, []string{"not_found"}, "-workspace", "none")
	}
	out, code := c.runCLI("jobs", "-server", owner.address, "-workspace", "saw-bench")
	must.Eq(t, 0, code, must.Sprint(out))
	must.StrNotContains(t, out, "job-")
	must.Eq(t, 0, c.eventCount(fake.EventTaskStarted))
}
