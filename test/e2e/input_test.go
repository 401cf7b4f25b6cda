package e2e

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxResidentBytes bounds an instance's resident memory after malformed input.
const maxResidentBytes = 256 << 20

// The test sends garbage, truncated messages, oversized bodies and out-of-order
// tickets to the peer and API endpoints. API calls fail with the expected error
// code, and the instance keeps serving and stays within its memory bound.
func TestMalformedInputStopsNoProcess(t *testing.T) {
	c := startCluster(t, options{instances: 1, servers: 1})
	c.applyFirstTicket()
	in := c.instances[0]
	service := "/lentilwinch.v1.SchedulerService/"

	for _, raw := range []string{
		"\x00\x01\x02garbage\r\n\r\n",
		"POST " + service + "Request HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 500\r\n\r\n{\"workspace\":",
		"GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n\x82\x05hello",
		"GET /peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n\x82\xff\xff\xff\xff\xff\xff\xff\xff\xff\x00\x00\x00\x00",
		"GET /" + strings.Repeat("x", 200_000) + " HTTP/1.1\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", in.address)
		must.NoError(t, err)
		_, _ = conn.Write([]byte(raw))
		must.NoError(t, conn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
		_, _ = io.Copy(io.Discard, conn)
		must.NoError(t, conn.Close())
	}

	cases := []struct {
		name, method, body, code string
	}{
		{"not JSON", "Request", "{", "invalid_argument"},
		{"unknown workspace", "Request", `{"workspace":"nobody","service":"x","requestId":"r"}`, "not_found"},
		{"no request ID", "Request", `{"workspace":"saw-bench","service":"moisture-check"}`, "invalid_argument"},
		{"oversized body", "Request", `{"workspace":"saw-bench","service":"moisture-check","requestId":"r","body":"` +
			strings.Repeat("A", 128<<10) + `"}`, "invalid_argument"},
		{"oversized message", "Request", `{"body":"` + strings.Repeat("A", 32<<20) + `"}`, "resource_exhausted"},
		{"negative timeout", "Request", `{"workspace":"saw-bench","service":"moisture-check","requestId":"r","timeoutMs":-1}`, "invalid_argument"},
		{"gang without members", "Submit", `{"spec":{"workspace":"research","jobId":"j"}}`, "invalid_argument"},
		{"job ID with a slash", "Submit", `{"spec":{"workspace":"research","jobId":"a/b","members":1,"accelerators":1,"adjacency":"rack","class":"batch"}}`, "invalid_argument"},
		{"ticket not JSON", "Apply", `{"document":"bm8="}`, "invalid_argument"},
		{"ticket out of order", "Apply", `{"document":"eyJudW1iZXIiOjksImF1dGhvciI6ImEiLCJyZW1vdmVfd29ya3NwYWNlcyI6WyJyZXNlYXJjaCJdfQ=="}`, "aborted"},
		{"list limit too large", "ListJobs", `{"workspace":"research","limit":100000}`, "invalid_argument"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			resp, err := c.client.Post("http://"+in.address+service+tc.method, "application/json", bytes.NewReader([]byte(tc.body)))
			must.NoError(t, err)
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			must.NotEq(t, http.StatusOK, resp.StatusCode)
			must.StrContains(t, string(body), `"code":"`+tc.code+`"`)
		})
	}

	must.NotNil(t, c.status(in))
	must.Eq(t, 1, c.status(in).GetConfigNumber())
	must.Less(t, maxResidentBytes, residentBytes(t, in.cmd.Process.Pid))
	must.Eq(t, 0, c.terminate(in))
}

// residentBytes returns the size of a process's resident set.
func residentBytes(t *testing.T, pid int) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	must.NoError(t, err)
	pages, err := strconv.Atoi(strings.Fields(string(raw))[1])
	must.NoError(t, err)
	return pages * os.Getpagesize()
}

// A job that fits into no failure domain is reported as unplaceable.
func TestOversizedJobBecomesUnplaceable(t *testing.T) {
	c := startCluster(t, options{instances: 2, servers: 1})
	c.applyFirstTicket()
	out, code := c.runCLI("submit", "-server", c.instances[0].address, "-workspace", "research", "-id", "huge",
		"-members", "64", "-accelerators", "8", "-adjacency", "rack", "-wait")
	must.Eq(t, 3, code, must.Sprint(out))
	must.StrContains(t, out, "unplaceable")
}
