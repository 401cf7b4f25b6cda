package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
	must.NoError(t, w.site.Configure(map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"host": "h.example", "prefix": "/urgent/", "backend": "triage", "maxAttempts": 6, "stretch": 3},
			{"host": "h.example", "prefix": "/batch/", "backend": "triage", "priority": 1, "maxAttempts": 6, "stretch": 3},
		},
		"backends": []map[string]any{{"name": "triage"}},
		"tenants":  []map[string]any{{"name": "team", "apiKeys": []string{"key"}, "guaranteed": map[string]int{"gpu": 16}}},
		"limits":   map[string]any{"maxBodyBytes": 100000},
	}))
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
	address, err := w.site.AddRunnerBehind(r.id, "triage", fmt.Sprintf("r%d", i/4), room, func(address string) string {
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
	text := strings.Join([]string{
		"node=" + m.name, "ip=127.0.0.1", "listen.front=" + m.front, "listen.ready=" + freeAddress(w.t), "listen.control=" + freeAddress(w.t),
		"platform.address=" + m.store.address(), fmt.Sprintf("bounds.graceS=%v", grace.Seconds()), "bounds.reclaimMs=2900",
		"bounds.holdMaxMs=10000", "bounds.status_s=120",
	}, "\n")
	must.NoError(w.t, os.WriteFile(m.settings, []byte(text), 0o600))
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
	cmd.Env = append(os.Environ(), "LENTILWINCH_BOOT="+m.settings)
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

// call sends a caller's request to a machine.
func (m *machine) call(client *http.Client, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+path, strings.NewReader(body))
	must.NoError(m.world.t, err)
	req.Host = "h.example"
	req.Header.Set("X-Api-Key", "key")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, "" // no answer: the outcome isn't known
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(resp.Body); err != nil {
		return 0, ""
	}
	return resp.StatusCode, text.String()
}
