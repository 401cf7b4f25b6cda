package hostile

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1/lentilwinchv1connect"
	"github.com/lentilwinch/lentilwinch/internal/settings"
	"github.com/lentilwinch/lentilwinch/internal/standin/control"
)

const (
	// maxMessageBytes is the permitted size of a message: that of a ticket.
	maxMessageBytes = 4 << 20
	// maxTicketBytes is the permitted size of a ticket's document.
	maxTicketBytes = 1 << 20
	daemonClients  = 150
)

// daemonBounds are the limits that the test's settings give the process.
var daemonBounds = bounds{residentMB: 192, descriptors: 120}

// daemonProcess is a lentilwinchd with a platform of its own.
type daemonProcess struct {
	*process
	address string
}

func startDaemon(t *testing.T) *daemonProcess {
	t.Helper()
	dir := t.TempDir()
	instances := filepath.Join(dir, "instances.json")
	must.NoError(t, os.WriteFile(instances, []byte("[]"), 0o600))
	platform := exec.Command(filepath.Join(binDir, "standin-platform"), "-instances", instances)
	out, err := platform.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, platform.Start())
	t.Cleanup(func() {
		_ = platform.Process.Kill()
		_ = platform.Wait()
	})
	line, err := bufio.NewReader(out).ReadBytes('\n')
	must.NoError(t, err)
	var ready control.Ready
	must.NoError(t, json.Unmarshal(line, &ready))
	d := &daemonProcess{address: freeAddress(t)}
	s := settings.Default()
	s.InstanceID, s.FailureDomain, s.Region = "entry-0", "north-yard", "adama"
	s.ListenAddress, s.AdvertiseAddress = d.address, d.address
	s.Platform.TableAddress, s.Platform.ObjectsAddress = ready.Address, ready.Address
	s.Platform.InstancesAddress, s.Platform.WorkersAddress = ready.Address, ready.Address
	s.Ownership.Domains = []string{"north-yard"}
	s.Limits = settings.Limits{MemoryMB: int64(daemonBounds.residentMB), MaxFds: daemonBounds.descriptors}
	raw, err := json.Marshal(s)
	must.NoError(t, err)
	path := filepath.Join(dir, "settings.json")
	must.NoError(t, os.WriteFile(path, raw, 0o600))
	d.process = startProcess(t, nil, "lentilwinchd", "-settings", path)
	d.eventually("response before the load", d.ordinary)
	return d
}

// ordinary lists jobs over a connection of its own and reports whether it got them.
func (d *daemonProcess) ordinary() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	ctx, cancel := context.WithTimeout(d.t.Context(), 5*time.Second)
	defer cancel()
	api := lentilwinchv1connect.NewSchedulerServiceClient(client, "http://"+d.address)
	_, err := api.ListJobs(ctx, connect.NewRequest(&lentilwinchv1.ListJobsRequest{Workspace: "w"}))
	return err == nil
}

func procedureHeader(procedure string) string {
	return "POST " + procedure + " HTTP/1.1\r\nHost: d\r\nContent-Type: application/proto\r\n"
}

// Each case held memory for every body that was being received, also of unknown
// length, and a descriptor for every connection, without a bound that fits a machine.
func TestDaemonWithstandsStalledBodies(t *testing.T) {
	body, err := proto.Marshal(&lentilwinchv1.ApplyRequest{Document: bytes.Repeat([]byte("x"), maxMessageBytes-16)})
	must.NoError(t, err)
	for _, c := range []struct {
		name string
		crowd
	}{
		{"whole", crowd{}},
		{"piece by piece", crowd{piece: 16 << 10}},
		{"large chunks", crowd{chunk: 256 << 10}},
		{"small chunks", crowd{chunk: 64, piece: 64 << 10}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDaemon(t)
			c.clients, c.header, c.body = daemonClients, procedureHeader(lentilwinchv1connect.SchedulerServiceApplyProcedure), body
			d.withstands(c.crowd, d.address, daemonBounds, d.ordinary)
		})
	}
}

// A ticket of many empty workspaces takes many times the memory of its body, and each
// adds problems to the response.
func TestDaemonWithstandsBodiesThatDecodeToMuchMore(t *testing.T) {
	const start, end = `{"workspaces":[{}`, `]}`
	document := start + strings.Repeat(`,{}`, (maxTicketBytes-len(start)-len(end))/3) + end
	body, err := proto.Marshal(&lentilwinchv1.ApplyRequest{Document: []byte(document)})
	must.NoError(t, err)
	d := startDaemon(t)
	d.withstands(crowd{
		clients: 12, header: procedureHeader(lentilwinchv1connect.SchedulerServiceApplyProcedure), body: body, completes: true,
	}, d.address, daemonBounds, d.ordinary)
}

// Calls of unknown paths and of paths without a body must not make the process read it.
func TestDaemonWithstandsBodiesOfRefusedCalls(t *testing.T) {
	body := bytes.Repeat([]byte("x"), maxMessageBytes)
	for _, path := range []string{"/none", "/healthz", "/peer"} {
		t.Run(path, func(t *testing.T) {
			d := startDaemon(t)
			d.withstands(crowd{clients: daemonClients, header: procedureHeader(path), body: body}, d.address, daemonBounds, d.ordinary)
		})
	}
}

// The largest permitted message is served under light load. It holds no valid ticket,
// which the response says.
func TestDaemonAnswersLargestMessage(t *testing.T) {
	d := startDaemon(t)
	api := lentilwinchv1connect.NewSchedulerServiceClient(&http.Client{Timeout: 10 * time.Second}, "http://"+d.address)
	_, err := api.Apply(t.Context(), connect.NewRequest(&lentilwinchv1.ApplyRequest{Document: bytes.Repeat([]byte("x"), maxMessageBytes-16)}))
	must.EqOp(t, connect.CodeInvalidArgument, connect.CodeOf(err), must.Sprint(err))
	must.LessEq(t, daemonBounds.residentMB, d.peakMB())
}
