package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/work"
	"github.com/lentilwinch/lentilwinch/platform/standin"
)

const (
	// maxBodyBytes is the permitted size of a body, as on a platform that sets none.
	maxBodyBytes = 1 << 20
	// The limits of the machine are lowered, so that a small crowd exceeds them. 200
	// descriptors are reserved.
	memoryMB    = 96
	maxFds      = 400
	reservedFds = 200
	poolClients = 300
	// maxFrameBytes is the permitted size of a message of a link.
	maxFrameBytes = 4 << 20
	storedJobID   = "00000000000000aa"
	ordinaryBody  = `{"spec":"s","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":10}]}`
)

var poolBounds = bounds{residentMB: memoryMB, descriptors: maxFds - reservedFds}

// pool is a lentilwinch-poold with a platform of its own.
type pool struct {
	*process
	front, ready, control string
}

func startPool(t *testing.T) *pool {
	t.Helper()
	return startPoolWith(t, maxFds)
}

// startPoolWith starts a pool with variables that are added to its environment.
func startPoolWith(t *testing.T, maxFds int, env ...string) *pool {
	t.Helper()
	site := standin.NewSite()
	t.Cleanup(site.Close)
	must.NoError(t, site.AddWorker("w1", "svc", "r1", work.Resources{CPU: 16000, MemMB: 64000, Accel: 8}))
	manifest := standin.NewManifest(1, standin.Key, "svc", 0, standin.Route{Prefix: "/q/", Priority: 1, MaxAttempts: 2, Stretch: 2, TargetDurationMs: 1000})
	manifest.Limits.MaxBodyBytes = maxBodyBytes
	must.NoError(t, site.Configure(manifest))
	p := &pool{front: freeAddress(t), ready: freeAddress(t), control: freeAddress(t)}
	settings := standin.Settings{
		Node: "n1", Front: p.front, Ready: p.ready, Control: p.control, Store: site.StoreAddress(), Grace: 2 * time.Second,
	}
	path := filepath.Join(t.TempDir(), "settings")
	text := settings.Text() + fmt.Sprintf("\nlimits.memoryMb=%d\nlimits.maxFds=%d\n", memoryMB, maxFds)
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	p.process = startProcess(t, append(env, standin.BootVariable+"="+path), "lentilwinch-poold")
	p.eventually("readiness", func() bool {
		resp, err := http.Get("http://" + p.ready)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	p.eventually("response before the load", p.ordinary)
	return p
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	must.NoError(t, err)
	return address
}

// ordinary submits a job over a connection of its own and reports whether it was
// accepted.
func (p *pool) ordinary() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	resp, err := standin.Call(p.t.Context(), client, p.front, http.MethodPost, "/q/"+storedJobID, ordinaryBody)
	return err == nil && resp.Status == http.StatusOK
}

func header(host, path string, more ...string) string {
	lines := append([]string{"POST " + path + " HTTP/1.1", "Host: " + host, "Content-Type: application/json"}, more...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// frontHeader is the header of a caller's submission.
func frontHeader() string {
	return header("h.example", "/q/00000000000000bb", "X-Api-Key: "+standin.Key, "Deadline-Ms: 30000")
}

// jobOfSize returns a job of the permitted size. Its specification is too long for it
// to be accepted.
func jobOfSize(size int) []byte {
	const start, end = `{"spec":"`, `","steps":[{"count":1,"cpu":1000,"memMb":100}]}`
	return []byte(start + strings.Repeat("s", size-len(start)-len(end)) + end)
}

// jobOfTinySteps returns a job whose decoded form is many times larger than its body.
func jobOfTinySteps(size int) []byte {
	const start, end = `{"steps":[{}`, `]}`
	return []byte(start + strings.Repeat(`,{}`, (size-len(start)-len(end))/3) + end)
}

// Each case held memory for every body that was being received, and a descriptor for
// every connection, without a bound.
func TestPoolWithstandsStalledBodies(t *testing.T) {
	body := jobOfSize(maxBodyBytes)
	for _, c := range []struct {
		name string
		crowd
	}{
		{"whole", crowd{}},
		{"piece by piece", crowd{piece: 8 << 10}},
		{"large chunks", crowd{chunk: 64 << 10}},
		{"small chunks", crowd{chunk: 32, piece: 16 << 10}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startPool(t)
			c.clients, c.header, c.body = poolClients, frontHeader(), body
			p.withstands(c.crowd, p.front, poolBounds, p.ordinary)
		})
	}
}

// With more descriptors, the memory alone bounds the bodies: most connections of the
// crowd stay open.
func TestPoolWithstandsStalledBodiesOnAllowedConnections(t *testing.T) {
	body := jobOfSize(maxBodyBytes)
	for _, c := range []struct {
		name string
		crowd
	}{
		{"whole", crowd{}},
		{"small chunks", crowd{chunk: 32, piece: 16 << 10}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startPoolWith(t, 10*maxFds)
			c.clients, c.header, c.body = poolClients, frontHeader(), body
			p.withstands(c.crowd, p.front, bounds{residentMB: memoryMB, descriptors: 10*maxFds - reservedFds}, p.ordinary)
		})
	}
}

// A body in chunks of one byte takes six times its size to parse. Ordinary requests waited
// behind every body that had bytes to parse.
func TestPoolAnswersAmidBodiesInChunksOfOneByte(t *testing.T) {
	p := startPoolWith(t, 10*maxFds, oneCore)
	p.answersAmid(crowd{
		clients: 250, header: frontHeader(), body: jobOfSize(maxBodyBytes), chunk: 1, piece: 64 << 10, returns: true,
	}, p.front, bounds{residentMB: memoryMB, descriptors: 10*maxFds - reservedFds}, p.ordinary)
}

// A job of many empty steps takes a hundred times the memory of its body.
func TestPoolWithstandsBodiesThatDecodeToMuchMore(t *testing.T) {
	p := startPool(t)
	p.withstands(crowd{clients: 12, header: frontHeader(), body: jobOfTinySteps(maxBodyBytes), completes: true}, p.front, poolBounds, p.ordinary)
}

// Callers without a key and calls to unknown queues must not make the process read
// their bodies.
func TestPoolWithstandsBodiesOfRefusedCalls(t *testing.T) {
	body := jobOfSize(maxBodyBytes)
	for _, c := range []struct{ name, header string }{
		{"no key", header("h.example", "/q/00000000000000bb")},
		{"unknown queue", header("h.example", "/none/00000000000000bb", "X-Api-Key: "+standin.Key)},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startPool(t)
			p.withstands(crowd{clients: poolClients, header: c.header, body: body}, p.front, poolBounds, p.ordinary)
		})
	}
}

// The listeners for peers and for readiness checks share the process's memory.
func TestPoolWithstandsStalledBodiesOnOtherListeners(t *testing.T) {
	body := bytes.Repeat([]byte("x"), maxBodyBytes)
	t.Run("relay", func(t *testing.T) {
		p := startPool(t)
		p.withstands(crowd{clients: poolClients, header: header(p.control, "/api/rows-tx"), body: body}, p.control, poolBounds, p.ordinary)
	})
	t.Run("ready", func(t *testing.T) {
		p := startPool(t)
		p.withstands(crowd{clients: poolClients, header: header(p.ready, "/"), body: body}, p.ready, poolBounds, p.ordinary)
	})
}

// Links of owners carry messages of up to 4 MiB, each of which counts towards the memory
// of the delegate while it arrives.
func TestPoolWithstandsStalledMessagesOfLinks(t *testing.T) {
	p := startPool(t)
	upgrade := "GET /calls/v2 HTTP/1.1\r\nHost: d\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n"
	p.withstands(crowd{clients: poolClients, header: upgrade, body: make([]byte, maxFrameBytes), message: true}, p.control, poolBounds, p.ordinary)
}

// The largest permitted body is served under light load. Its job is too large for the
// store, which the response says.
func TestPoolAnswersLargestBody(t *testing.T) {
	p := startPool(t)
	client := &http.Client{Timeout: 10 * time.Second}
	for _, body := range [][]byte{jobOfSize(maxBodyBytes), jobOfTinySteps(maxBodyBytes)} {
		resp, err := standin.Call(t.Context(), client, p.front, http.MethodPost, "/q/00000000000000bb", string(body))
		must.NoError(t, err)
		must.EqOp(t, http.StatusBadRequest, resp.Status, must.Sprint(resp.Body[:min(300, len(resp.Body))]))
	}
	must.LessEq(t, memoryMB, p.peakMB())
}

// slowReader returns the text in pieces with a pause after each.
type slowReader struct {
	text  string
	piece int
	pause time.Duration
}

func (s *slowReader) Read(into []byte) (int, error) {
	if s.text == "" {
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	n := copy(into, s.text[:min(len(s.text), s.piece)])
	s.text = s.text[n:]
	return n, nil
}

// A caller on a slow link takes most of its deadline to send the largest body.
func TestPoolAnswersLargestBodySentSlowly(t *testing.T) {
	p := startPool(t)
	const pieces = 20
	body := &slowReader{string(jobOfSize(maxBodyBytes)), maxBodyBytes / pieces, 100 * time.Millisecond}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.front+"/q/00000000000000bb", body)
	must.NoError(t, err)
	req.Host, req.ContentLength = "h.example", maxBodyBytes
	req.Header.Set("X-Api-Key", standin.Key)
	req.Header.Set("Deadline-Ms", "30000") // more than the 3 s of callers, as the machine may be busy
	resp, err := (&http.Client{Timeout: waitTimeout}).Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	must.EqOp(t, http.StatusBadRequest, resp.StatusCode, must.Sprint("the job is too large for the store, not the body"))
}
