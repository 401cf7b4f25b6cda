package capacity

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	// awaitPoll is the polling interval of await.
	awaitPoll = 2 * time.Millisecond
	// awaitTimeout bounds each call of await.
	awaitTimeout      = 20 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	// Getrusage can't fail for RUSAGE_SELF.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuOf returns the processor time in nanoseconds that this process uses while f
// runs.
func cpuOf(f func()) float64 {
	runtime.GC()
	before := cpuTime()
	f()
	return float64(cpuTime() - before)
}

// heapBytes returns the bytes of live heap.
func heapBytes() float64 {
	return float64(memStats().HeapAlloc)
}

// heapAndStackBytes returns the bytes of live heap and of stacks.
func heapAndStackBytes() float64 {
	m := memStats()
	return float64(m.HeapAlloc + m.StackInuse)
}

func memStats() runtime.MemStats {
	// The second collection frees objects that finalizers and pools retained.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m
}

// await polls until f returns true. It fails with fault.Timeout after awaitTimeout
// or if ctx is done. what is the error's message.
func await(ctx context.Context, what string, f func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	ticker := time.NewTicker(awaitPoll)
	defer ticker.Stop()
	for !f() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fault.Wrap(fault.Timeout, what, ctx.Err())
		}
	}
	return nil
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// server is an HTTP server on loopback that counts the bytes of its
// connections, headers included.
type server struct {
	http     *http.Server
	listener net.Listener
	in, out  atomic.Int64
}

func serve(h http.Handler) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, "listen", err)
	}
	s := &server{http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}, listener: l}
	go func() { _ = s.http.Serve(countingListener{Listener: l, server: s}) }()
	return s, nil
}

func (s *server) address() string {
	return s.listener.Addr().String()
}

func (s *server) close() {
	_ = s.http.Close()
}

// traffic returns the bytes received and sent by the server so far.
func (s *server) traffic() (in, out float64) {
	return float64(s.in.Load()), float64(s.out.Load())
}

type countingListener struct {
	net.Listener
	server *server
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, server: l.server}, nil
}

type countingConn struct {
	net.Conn
	server *server
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.server.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.server.out.Add(int64(n))
	return n, err
}
