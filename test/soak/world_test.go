package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/work"
	"github.com/lentilwinch/lentilwinch/platform/standin"
)

// drainGrace is short enough for planned stops to complete within a run.
const drainGrace = 2 * time.Second

// cluster is a stand-in platform with workers, and instances of lentilwinch-poold
// as processes. There is a proxy between each instance and the store, and one in
// front of each worker.
type cluster struct {
	t         *testing.T
	program   string
	site      *standin.Site
	instances []*instance
	workers   []*worker
	logs      *syncBuffer
	startedAt time.Time
	options
}

// options are what the soaks differ in.
type options struct {
	cpuShare float64  // that the instances' settings state, 0 for a whole core
	services []string // of the workers in turn; queues move between them if there are several
}

// instance is an instance of lentilwinch-poold. Its process may stop and start
// again.
type instance struct {
	cluster      *cluster
	name         string
	frontAddress string
	settingsPath string
	storeProxy   *proxy

	mu      sync.Mutex
	process *exec.Cmd
	paused  bool
	exited  chan struct{}
}

// worker is a worker that instances reach through a proxy.
type worker struct {
	id      string
	address string // the worker's own address, behind the proxy
	proxy   *proxy
}

// syncBuffer collects the output of all processes.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends p to the buffer. It is safe for concurrent use.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newCluster(t *testing.T, program string, instances, workers int, o options) *cluster {
	c := &cluster{t: t, program: program, site: standin.NewSite(), logs: &syncBuffer{}, startedAt: time.Now(), options: o}
	t.Cleanup(c.site.Close)
	must.NoError(t, c.configure(1, o.services[0], o.services[0]))
	for i := range workers {
		c.addWorker(i)
	}
	for i := range instances {
		c.addInstance(i)
	}
	return c
}

// configure has the queues lead to the given services. It fails with the store's faults.
func (c *cluster) configure(version int, urgent, batch string) error {
	m := standin.NewManifest(version, standin.Key, c.services[0], 16,
		standin.Route{Prefix: "/urgent/", MaxAttempts: 6, Stretch: 3},
		standin.Route{Prefix: "/batch/", Priority: 1, MaxAttempts: 6, Stretch: 3},
	)
	m.Routes[0].Backend, m.Routes[1].Backend = urgent, batch
	for _, service := range c.services[1:] {
		m.AddService(service)
	}
	return c.site.Configure(m)
}

func (c *cluster) addWorker(i int) {
	w := &worker{id: fmt.Sprintf("i-%d", i)}
	capacity := work.Resources{CPU: 16000, MemMB: 16000, Accel: 8}
	address, err := c.site.AddProxiedWorker(w.id, c.services[i%len(c.services)], fmt.Sprintf("r%d", i/4), capacity, func(address string) string {
		w.proxy = newProxy(c.t, address)
		return w.proxy.address()
	})
	must.NoError(c.t, err)
	w.address = address
	c.workers = append(c.workers, w)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	must.NoError(t, err)
	return address
}

func (c *cluster) addInstance(i int) {
	in := &instance{cluster: c, name: fmt.Sprintf("n%d", i), frontAddress: freeAddress(c.t), storeProxy: newProxy(c.t, c.site.StoreAddress())}
	in.settingsPath = filepath.Join(c.t.TempDir(), "settings.conf")
	settings := standin.Settings{
		Node: in.name, Front: in.frontAddress, Ready: freeAddress(c.t), Control: freeAddress(c.t), Store: in.storeProxy.address(), Grace: drainGrace,
		CPUShare: c.cpuShare,
	}
	must.NoError(c.t, os.WriteFile(in.settingsPath, []byte(settings.Text()), 0o600))
	c.instances = append(c.instances, in)
	in.start()
	c.t.Cleanup(func() { in.signal(syscall.SIGCONT); in.kill() })
}

// start starts the process unless it is running.
func (in *instance) start() {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil {
		return
	}
	cmd := exec.Command(in.cluster.program)
	cmd.Env = append(os.Environ(), standin.BootVariable+"="+in.settingsPath)
	cmd.Stdout, cmd.Stderr = in.cluster.logs, in.cluster.logs
	must.NoError(in.cluster.t, cmd.Start())
	in.process, in.paused, in.exited = cmd, false, make(chan struct{})
	exited := in.exited
	go func() {
		_ = cmd.Wait() // an error is expected for a killed process
		in.mu.Lock()
		if in.process == cmd {
			in.process = nil
		}
		in.mu.Unlock()
		close(exited)
	}()
}

// signal sends a signal to the instance's process, if it is running.
func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process == nil {
		return
	}
	_ = in.process.Process.Signal(sig) // the process may have exited in the meantime
	in.paused = sig == syscall.SIGSTOP || in.paused && sig != syscall.SIGCONT
}

// kill sends SIGKILL to the process and waits until it exits.
func (in *instance) kill() {
	in.signal(syscall.SIGKILL)
	in.wait()
}

func (in *instance) wait() {
	in.mu.Lock()
	exited, running := in.exited, in.process != nil
	in.mu.Unlock()
	if running {
		<-exited
	}
}

// call sends a caller's request to the instance and returns the status and body.
// Without a complete response the outcome is unknown and the status is 0.
func (in *instance) call(client *http.Client, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	resp, err := standin.Call(ctx, client, in.frontAddress, method, path, body)
	if err != nil {
		return 0, ""
	}
	return resp.Status, resp.Body
}
