// Package e2e tests the daemon, the command-line tool and the stand-ins as
// separate processes that communicate over loopback TCP.
package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1/lentilwinchv1connect"
	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/settings"
	"github.com/lentilwinch/lentilwinch/internal/standin/backend"
	"github.com/lentilwinch/lentilwinch/internal/standin/control"
	"github.com/lentilwinch/lentilwinch/internal/standin/platform"
	"github.com/lentilwinch/lentilwinch/test/programs"
)

const (
	// waitTimeout bounds every wait for a condition, so that a hung test ends.
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// logTailBytes is the length of the log excerpt printed when a wait times out.
	logTailBytes = 2000
)

var domains = []string{"north-yard", "river-yard", "saw-hall", "east-kiln"}

// binDir is the directory of the built programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(programs.Run(m, &binDir, "lentilwinch", "lentilwinchd", "standin-platform", "standin-backend"))
}

// cluster is a stand-in platform with backend servers and entry instances.
type cluster struct {
	t                     *testing.T
	dir                   string
	platformAddress       string
	backendControlAddress string
	servers               []string
	instances             []*instance
	client                *http.Client
}

// instance is an entry instance. It keeps its ID and address when restarted.
type instance struct {
	id           string
	domain       string
	address      string
	settingsPath string
	cmd          *exec.Cmd
	starts       int
}

// options sets the size and settings of a cluster.
type options struct {
	instances int
	servers   int
	// adjust, if not nil, changes the settings of each instance before its start.
	adjust func(*settings.Daemon)
	// relayVia returns the address through which instances reach a backend
	// server. If nil, they use the server's own address.
	relayVia func(address string) string
}

func startCluster(t *testing.T, o options) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), client: &http.Client{Timeout: 15 * time.Second}}
	ready := c.startStandin("standin-backend", "-count", fmt.Sprint(o.servers))
	c.backendControlAddress, c.servers = ready.Address, ready.Servers
	var documents []platform.InstanceDocument
	for i, address := range c.servers {
		if o.relayVia != nil {
			address = o.relayVia(address)
		}
		documents = append(documents, platform.InstanceDocument{
			ID: fmt.Sprintf("server-%d", i), Kind: "backend", Domain: domains[i%len(domains)], Address: address, Slots: 8,
		})
	}
	for i := range o.instances {
		c.instances = append(c.instances, &instance{
			id: fmt.Sprintf("entry-%d", i), domain: domains[i%len(domains)], address: freeAddress(t),
		})
	}
	raw, err := json.Marshal(documents)
	must.NoError(t, err)
	instancesPath := filepath.Join(c.dir, "instances.json")
	must.NoError(t, os.WriteFile(instancesPath, raw, 0o600))
	c.platformAddress = c.startStandin("standin-platform", "-instances", instancesPath, "-instance-lag", "2s").Address
	for _, in := range c.instances {
		c.writeSettings(in, o.adjust)
		c.launch(in)
	}
	c.awaitOwners()
	return c
}

// startStandin starts a stand-in and returns the addresses it prints when ready.
func (c *cluster) startStandin(name string, args ...string) control.Ready {
	c.t.Helper()
	cmd := exec.Command(filepath.Join(binDir, name), args...)
	out, err := cmd.StdoutPipe()
	must.NoError(c.t, err)
	cmd.Stderr = c.logFile(name)
	must.NoError(c.t, cmd.Start())
	c.t.Cleanup(func() { kill(cmd) })
	line, err := bufio.NewReader(out).ReadBytes('\n')
	must.NoError(c.t, err)
	var ready control.Ready
	must.NoError(c.t, json.Unmarshal(line, &ready))
	return ready
}

func (c *cluster) logFile(name string) *os.File {
	f, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must.NoError(c.t, err)
	c.t.Cleanup(func() { f.Close() })
	return f
}

func (c *cluster) writeSettings(in *instance, adjust func(*settings.Daemon)) {
	daemon := settings.Default()
	daemon.InstanceID, daemon.FailureDomain, daemon.Region = in.id, in.domain, "adama"
	daemon.ListenAddress, daemon.AdvertiseAddress = in.address, in.address
	daemon.Platform.TableAddress = c.platformAddress
	daemon.Platform.ObjectsAddress = c.platformAddress
	daemon.Platform.InstancesAddress = c.platformAddress
	daemon.Platform.WorkersAddress = c.platformAddress
	daemon.Ownership.Domains = domains
	if adjust != nil {
		adjust(&daemon)
	}
	raw, err := json.Marshal(daemon)
	must.NoError(c.t, err)
	in.settingsPath = filepath.Join(c.dir, in.id+".json")
	must.NoError(c.t, os.WriteFile(in.settingsPath, raw, 0o600))
}

func (c *cluster) launch(in *instance) {
	c.t.Helper()
	in.cmd = exec.Command(filepath.Join(binDir, "lentilwinchd"), "-settings", in.settingsPath)
	in.cmd.Stdout = c.logFile(in.id)
	in.cmd.Stderr = in.cmd.Stdout
	must.NoError(c.t, in.cmd.Start())
	in.starts++
	cmd := in.cmd
	c.t.Cleanup(func() { kill(cmd) })
}

func kill(cmd *exec.Cmd) {
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// crash kills an instance with SIGKILL.
func (c *cluster) crash(in *instance) {
	kill(in.cmd)
}

// terminate stops an instance with SIGTERM and returns its exit code.
func (c *cluster) terminate(in *instance) int {
	must.NoError(c.t, in.cmd.Process.Signal(syscall.SIGTERM))
	_ = in.cmd.Wait()
	return in.cmd.ProcessState.ExitCode()
}

func (c *cluster) signal(in *instance, s syscall.Signal) {
	must.NoError(c.t, in.cmd.Process.Signal(s))
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	must.NoError(t, err)
	return address
}

// eventually polls a condition and fails the test after waitTimeout.
func (c *cluster) eventually(condition string, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			c.logTails()
			c.t.Fatalf("timed out waiting for %s", condition)
		}
		time.Sleep(pollInterval)
	}
}

// logTails prints the end of each instance's log.
func (c *cluster) logTails() {
	for _, in := range c.instances {
		raw, err := os.ReadFile(filepath.Join(c.dir, in.id+".log"))
		c.t.Logf("%s at %s, %v: %s", in.id, in.address, err, raw[max(0, len(raw)-logTailBytes):])
	}
}

func (c *cluster) awaitOwners() {
	c.t.Helper()
	c.eventually("an owner for each failure domain", func() bool {
		owned := make(map[string]bool)
		for _, in := range c.instances {
			if st := c.status(in); st != nil {
				for _, d := range st.GetOwnedDomains() {
					owned[d] = true
				}
			}
		}
		return len(owned) == len(domains)
	})
}

func (c *cluster) api(in *instance) lentilwinchv1connect.SchedulerServiceClient {
	return lentilwinchv1connect.NewSchedulerServiceClient(c.client, "http://"+in.address)
}

// status returns an instance's status, or nil if the call fails.
func (c *cluster) status(in *instance) *lentilwinchv1.StatusResponse {
	ctx, cancel := withTimeout(time.Second)
	defer cancel()
	resp, err := c.api(in).Status(ctx, connect.NewRequest(&lentilwinchv1.StatusRequest{}))
	if err != nil {
		return nil
	}
	return resp.Msg
}

func (c *cluster) postJSON(address, path string, document any) {
	c.t.Helper()
	raw, err := json.Marshal(document)
	must.NoError(c.t, err)
	resp, err := c.client.Post("http://"+address+path, "application/json", bytes.NewReader(raw))
	must.NoError(c.t, err)
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	must.Eq(c.t, http.StatusOK, resp.StatusCode, must.Sprintf("%s", body))
}

func (c *cluster) getJSON(address, path string, into any) {
	c.t.Helper()
	resp, err := c.client.Get("http://" + address + path)
	must.NoError(c.t, err)
	defer resp.Body.Close()
	must.NoError(c.t, json.NewDecoder(resp.Body).Decode(into))
}

func (c *cluster) setTableFaults(f platform.FaultsDocument) {
	c.t.Helper()
	f.Scope = platform.ScopeTable
	c.postJSON(c.platformAddress, "/faults", f)
}

func (c *cluster) setBackendFaults(f backend.FaultsDocument) {
	c.t.Helper()
	c.postJSON(c.backendControlAddress, "/faults", f)
}

func (c *cluster) platformRecord() platform.Record {
	c.t.Helper()
	var r platform.Record
	c.getJSON(c.platformAddress, "/record", &r)
	return r
}

func (c *cluster) backendRecord() backend.Record {
	c.t.Helper()
	var r backend.Record
	c.getJSON(c.backendControlAddress, "/record", &r)
	return r
}

// runCLI runs the command-line tool and returns its output and exit code.
func (c *cluster) runCLI(args ...string) (string, int) {
	c.t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "lentilwinch"), args...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		c.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// applyFirstTicket applies the configuration change examples/willow/1.json and
// waits until every instance uses it.
func (c *cluster) applyFirstTicket() {
	c.t.Helper()
	out, code := c.runCLI("apply", "-server", c.instances[0].address, "../../examples/willow/1.json")
	must.Eq(c.t, 0, code, must.Sprint(out))
	c.awaitTicket(1)
}

// awaitTicket waits until every instance uses the configuration of the ticket or
// of a later one.
func (c *cluster) awaitTicket(number int64) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("ticket %d in force on every instance", number), func() bool {
		for _, in := range c.instances {
			if st := c.status(in); st == nil || st.GetConfigNumber() < number {
				return false
			}
		}
		return true
	})
}
