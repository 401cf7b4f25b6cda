package e2e

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// The test sends SIGINT to the command-line tool while it waits for a job. The
// tool exits with code 130 and names the job, which continues and succeeds.
func TestInterruptedWaitDoesNotCancelJob(t *testing.T) {
	c := startCluster(t, options{instances: 1, servers: 1})
	c.applyFirstTicket()
	cmd := exec.Command(filepath.Join(binDir, "lentilwinch"), "submit", "-server", c.instances[0].address,
		"-workspace", "bat-yards-grading", "-id", "long", "-accelerators", "8", "-adjacency", "worker",
		"-domain", "north-yard", "-payload", `{"run_ms":4000}`, "-wait")
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	must.NoError(t, cmd.Start())
	c.eventually("the job to run", func() bool { return c.jobState("bat-yards-grading", "long") == "running" })
	must.NoError(t, cmd.Process.Signal(syscall.SIGINT))
	_ = cmd.Wait()
	must.Eq(t, 130, cmd.ProcessState.ExitCode(), must.Sprint(out.String()))
	must.StrContains(t, out.String(), "long")
	c.eventually("the job to succeed", func() bool { return c.jobState("bat-yards-grading", "long") == "succeeded" })
	t.Log(out.String())
}
