// Package hostile tests that clients which exceed the documented limits neither end
// nor hang a process. It starts the system's own processes on loopback addresses.
//
// The tests run one at a time and check only what doesn't depend on the machine's
// speed: the process is alive, its resident memory and its open descriptors stay
// under a bound, and an ordinary request gets its response while the clients are
// still connected.
package hostile

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/test/programs"
)

const (
	// waitTimeout bounds every wait for a condition, so that a hung test ends.
	waitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// settleTime is for how long the resident memory must not grow before it is judged.
	settleTime = time.Second
)

// binDir is the directory of the built programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(programs.Run(m, &binDir, "lentilwinchd", "lentilwinch-poold", "standin-platform"))
}

// bounds are the limits that a process must keep.
type bounds struct {
	residentMB  int
	descriptors int
}

// process is a program under test.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	exited chan struct{}
	log    string // path
}

func startProcess(t *testing.T, env []string, program string, args ...string) *process {
	t.Helper()
	p := &process{t: t, log: filepath.Join(t.TempDir(), "log"), exited: make(chan struct{})}
	log, err := os.Create(p.log)
	must.NoError(t, err)
	defer log.Close() // the process has its own descriptor
	p.cmd = exec.Command(filepath.Join(binDir, program), args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	must.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // a killed process returns an error
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
	})
	return p
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// peakMB returns the process's peak resident memory.
func (p *process) peakMB() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	must.NoError(p.t, err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			must.NoError(p.t, err)
			return kb >> 10
		}
	}
	p.t.Fatal("no VmHWM")
	return 0
}

func (p *process) descriptors() int {
	p.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	must.NoError(p.t, err)
	return len(entries)
}

// eventually polls a condition and fails the test after waitTimeout.
func (p *process) eventually(condition string, holds func() bool) {
	p.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if !p.alive() || time.Now().After(deadline) {
			text, _ := os.ReadFile(p.log)
			p.t.Fatalf("alive %v; no %s: %s", p.alive(), condition, text[max(0, len(text)-3000):])
		}
		time.Sleep(pollInterval)
	}
}

// withstands sends a crowd's load and checks the process while the crowd is still
// connected. ordinary reports whether an ordinary request got its response.
func (p *process) withstands(c crowd, address string, b bounds, ordinary func() bool) {
	p.t.Helper()
	peakDescriptors := 0
	done := c.start(p.t, address)
	for sending := true; sending; {
		select {
		case <-done:
			sending = false
		case <-time.After(pollInterval):
		}
		must.True(p.t, p.alive(), must.Sprint("the process has ended"))
		peakDescriptors = max(peakDescriptors, p.descriptors())
	}
	p.eventually("response to an ordinary request", ordinary)
	peak := p.peakMB()
	for last := time.Now(); time.Since(last) < settleTime; time.Sleep(pollInterval) {
		must.True(p.t, p.alive(), must.Sprint("the process has ended"))
		if now := p.peakMB(); now > peak {
			peak, last = now, time.Now()
		}
		peakDescriptors = max(peakDescriptors, p.descriptors())
	}
	p.t.Logf("peak resident %d MB of %d, descriptors %d of %d", peak, b.residentMB, peakDescriptors, b.descriptors)
	must.LessEq(p.t, b.residentMB, peak, must.Sprint("peak resident memory in MB"))
	must.LessEq(p.t, b.descriptors, peakDescriptors, must.Sprint("open descriptors"))
}

// oneCore is the environment variable that makes a process use one core.
const oneCore = "GOMAXPROCS=1"

// heldShare is the percentage of the time for which answersAmid lets a process run.
const heldShare = 20

// answersAmid holds a process with oneCore to heldShare of it, sends the load of a crowd that
// returns, and checks that an ordinary request is answered while the crowd sends.
func (p *process) answersAmid(c crowd, address string, b bounds, ordinary func() bool) {
	p.t.Helper()
	p.hold()
	<-c.start(p.t, address)
	p.eventually("response amid the crowd", ordinary)
	p.t.Logf("peak resident %d MB of %d, descriptors %d of %d", p.peakMB(), b.residentMB, p.descriptors(), b.descriptors)
	must.LessEq(p.t, b.residentMB, p.peakMB(), must.Sprint("peak resident memory in MB"))
	must.LessEq(p.t, b.descriptors, p.descriptors(), must.Sprint("open descriptors"))
}

// hold suspends the process for most of each tenth of a second until the test ends, as
// the quota of a machine does.
func (p *process) hold() {
	ctx, cancel := context.WithCancel(context.Background())
	var holding sync.WaitGroup
	holding.Go(func() {
		for ctx.Err() == nil {
			// Signals fail only once the process has ended.
			_ = p.cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep((100 - heldShare) * time.Millisecond)
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			time.Sleep(heldShare * time.Millisecond)
		}
	})
	p.t.Cleanup(func() {
		cancel()
		holding.Wait()
	})
}

// crowd is a number of clients that each send the same request.
type crowd struct {
	clients int
	header  string // without the lines that tell the body's length
	body    []byte
	// chunk is the size of the chunks of a chunked body, 0 for a body with
	// Content-Length.
	chunk int
	// message is set if the request opens a WebSocket, on which the body is sent as one
	// message.
	message bool
	// piece is the size of the writes, 0 for the whole request at once.
	piece int
	// completes is set if every client sends the whole body. Otherwise all but one
	// in ten stop one byte short of its end.
	completes bool
	// returns is set if a client whose connection ends opens another one.
	returns bool
}

const completingShare = 10

// request returns the bytes of a client's request.
func (c *crowd) request(complete bool) []byte {
	var out bytes.Buffer
	out.WriteString(c.header)
	if c.message {
		out.WriteString("\r\n")
		out.Write([]byte{0x82, 0xff}) // the last frame of a binary message, masked, with a length of 8 bytes
		_ = binary.Write(&out, binary.BigEndian, uint64(len(c.body)))
		out.Write(make([]byte, 4)) // a mask that changes nothing
		out.Write(c.body)
		if !complete {
			out.Truncate(out.Len() - 1)
		}
		return out.Bytes()
	}
	if c.chunk == 0 {
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n", len(c.body))
		out.Write(c.body)
		if !complete {
			out.Truncate(out.Len() - 1)
		}
		return out.Bytes()
	}
	out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for rest := c.body; len(rest) > 0; {
		n := min(c.chunk, len(rest))
		fmt.Fprintf(&out, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	if complete {
		out.WriteString("0\r\n\r\n")
	}
	return out.Bytes()
}

// returningStart is how much each client of a crowd that returns sends before the crowd
// counts as there.
const returningStart = 256 << 10

// start connects the clients and returns a channel that is closed once each has sent
// its request, or returningStart bytes of it if the crowd returns, or can't because its
// connection was refused or closed. The connections stay open until the test ends.
func (c *crowd) start(t *testing.T, address string) <-chan struct{} {
	whole, short := c.request(true), c.request(c.completes)
	done := make(chan struct{})
	sent := make(chan struct{}, c.clients)
	for i := range c.clients {
		request := short
		if i%completingShare == 0 {
			request = whole
		}
		go func() {
			isThere := sync.OnceFunc(func() { sent <- struct{}{} })
			c.send(t, address, request, isThere)
			isThere()
			for c.returns && t.Context().Err() == nil {
				c.send(t, address, request, func() {})
			}
		}()
	}
	go func() {
		for range c.clients {
			<-sent
		}
		close(done)
	}()
	return done
}

// send opens a connection and sends a request. A crowd that returns calls isThere after
// returningStart bytes, and waits for the connection's end.
func (c *crowd) send(t *testing.T, address string, request []byte, isThere func()) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	context.AfterFunc(t.Context(), func() { conn.Close() })
	_ = conn.SetWriteDeadline(time.Now().Add(waitTimeout))
	for sent := 0; sent < len(request); {
		n := len(request) - sent
		if c.piece > 0 {
			n = min(n, c.piece)
		}
		if _, err := conn.Write(request[sent : sent+n]); err != nil {
			break
		}
		if sent += n; c.returns && sent >= returningStart {
			isThere()
		}
	}
	if c.returns {
		_, _ = io.Copy(io.Discard, conn) // ends with the connection
		conn.Close()
	}
}
