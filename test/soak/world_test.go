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

// grace is short, so that planned stops fit into a run.
const grace = 2 * time.Second

// world is a stand-in of the platform and the real program as processes, with a
// proxy on each way between them.
type world struct {
	t         *testing.T
	program   string
	site      *standin.Site
	machines  []*machine
	runners   []*runner
	logs      *lockedBuffer
	startedAt time.Time
}

// machine is one instance's place: its process comes and goes.
type machine struct {
	world    *world
	name     string
	front    string
	settings string
	store    *proxy

	mu      sync.Mutex
	process *exec.Cmd
	paused  bool
	ended   chan struct{}
}

// runner is one worker, reached through a proxy.
type runner struct {
	id      string
	address string // the runner's own
	proxy   *proxy
}

type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newWorld(t *testing.T, program string, machines, runners int) *world {
	w := &world{t: t, program: program, site: standin.NewSite(), logs: &lockedBuffer{}, startedAt: time.Now()}
	t.Cleanup(w.site.Close)
	must.NoError(t, w.site.Configure(standin.NewManifest(1, standin.Key, "triage", 16,
		standin.Route{Prefix: "/urgent/", MaxAttempts: 6, Stretch: 3},
		standin.Route{Prefix: "/batch/", Priority: 1, MaxAttempts: 6, Stretch: 3},
	)))
	for i := range runners {
		w.addRunner(i)
	}
	for i := range machines {
		w.addMachine(i)
	}
	return w
}

func (w *world) addRunner(i int) {
	r := &runner{id: fmt.Sprintf("i-%d", i)}
	room := work.Resources{CPU: 16000, MemMB: 16000, Accel: 8}
	address, err := w.site.AddProxiedRunner(r.id, "triage", fmt.Sprintf("r%d", i/4), room, func(address string) string {
		r.proxy = newProxy(w.t, address)
		return r.proxy.address()
	})
	must.NoError(w.t, err)
	r.address = address
	w.runners = append(w.runners, r)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	must.NoError(t, err)
	return address
}

func (w *world) addMachine(i int) {
	m := &machine{world: w, name: fmt.Sprintf("n%d", i), front: freeAddress(w.t), store: newProxy(w.t, w.site.StoreAddress())}
	m.settings = filepath.Join(w.t.TempDir(), "settings.conf")
	file := standin.Settings{
		Node: m.name, Front: m.front, Ready: freeAddress(w.t), Control: freeAddress(w.t), Store: m.store.address(), Grace: grace,
	}
	must.NoError(w.t, os.WriteFile(m.settings, []byte(file.Text()), 0o600))
	w.machines = append(w.machines, m)
	m.start()
	w.t.Cleanup(func() { m.signal(syscall.SIGCONT); m.kill() })
}

// start runs the program unless it runs already.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		return
	}
	cmd := exec.Command(m.world.program)
	cmd.Env = append(os.Environ(), standin.BootVariable+"="+m.settings)
	cmd.Stdout, cmd.Stderr = m.world.logs, m.world.logs
	must.NoError(m.world.t, cmd.Start())
	m.process, m.paused, m.ended = cmd, false, make(chan struct{})
	ended := m.ended
	go func() {
		_ = cmd.Wait() // a killed process ends with an error; that is expected
		m.mu.Lock()
		if m.process == cmd {
			m.process = nil
		}
		m.mu.Unlock()
		close(ended)
	}()
}

// signal sends a signal to the machine's process, if it has one.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(sig) // it may have ended just now
	m.paused = sig == syscall.SIGSTOP || m.paused && sig != syscall.SIGCONT
}

// kill ends the process at once and waits for it.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.wait()
}

func (m *machine) wait() {
	m.mu.Lock()
	ended, runs := m.ended, m.process != nil
	m.mu.Unlock()
	if runs {
		<-ended
	}
}

// call sends a caller's request to a machine. Without a whole answer, the outcome
// isn't known and the status is 0.
func (m *machine) call(client *http.Client, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	got, err := standin.Call(ctx, client, m.front, method, path, body)
	if err != nil {
		return 0, ""
	}
	return got.Status, got.Body
}
