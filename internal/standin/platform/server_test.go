package platform

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	adapter "github.com/lentilwinch/lentilwinch/internal/adapter/platform"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/standin/control"
	"github.com/lentilwinch/lentilwinch/internal/standin/relay"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// start serves a platform with two workers until the test ends. It returns the
// settings of a client with timeouts of 100 ms.
func start(t *testing.T) adapter.Settings {
	l, err := control.Listen("127.0.0.1:0")
	must.NoError(t, err)
	p := New(Options{
		Fleet:         Fleet{Domains: []string{"saw-hall"}, WorkersPerDomain: 2, WorkersPerRack: 1, Accelerators: 8},
		WorkerAddress: l.Addr().String(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error)
	go func() { served <- control.Serve(ctx, l, p.Handler()) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-served)
	})
	s := adapter.DefaultSettings(l.Addr().String())
	s.ReadTimeout = 100 * time.Millisecond
	s.CommitTimeout = 100 * time.Millisecond
	s.WorkerTimeout = 100 * time.Millisecond
	return s
}

// post sends a control document and returns the status of the response.
func post(t *testing.T, s adapter.Settings, path, document string) int {
	resp, err := http.Post("http://"+s.Address+path, "application/json", bytes.NewBufferString(document))
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// longTimeouts returns the settings with timeouts too long to expire during a test.
func longTimeouts(s adapter.Settings) adapter.Settings {
	s.ReadTimeout = time.Minute
	s.CommitTimeout = time.Minute
	s.WorkerTimeout = time.Minute
	return s
}

// createTxn returns a transaction that creates a row and fails if it exists.
func createTxn(key string) port.Txn {
	return port.Txn{
		Conditions: []port.Condition{{Key: key, Kind: port.Absent}},
		Writes:     []port.Write{{Key: key, Value: []byte("v")}},
	}
}

func TestTableFaultsReachTheClient(t *testing.T) {
	cases := []struct {
		faults  string
		code    fault.Code
		written bool
	}{
		{`{"scope":"table"}`, "", true},
		{`{"scope":"table","refuse":true}`, fault.Unavailable, false},
		{`{"scope":"table","lose_answers":true}`, fault.Uncertain, true},
		{`{"scope":"table","hang":true}`, fault.Uncertain, false},
	}
	for _, c := range cases {
		t.Run(c.faults, func(t *testing.T) {
			s := start(t)
			must.Eq(t, 200, post(t, s, "/faults", c.faults))
			client := longTimeouts(s)
			if strings.Contains(c.faults, "hang") {
				client = s
			}
			_, err := adapter.NewTable(client).Commit(t.Context(), createTxn("k"))
			must.Eq(t, c.code, fault.CodeOf(err), must.Sprint(err))
			must.Eq(t, 200, post(t, s, "/faults", `{"scope":"table"}`))
			table := adapter.NewTable(longTimeouts(s))
			rows, more, err := table.Scan(t.Context(), "", "", 0)
			must.NoError(t, err)
			must.False(t, more)
			must.Eq(t, c.written, len(rows) == 1)
			_, err = table.Commit(t.Context(), createTxn("k"))
			must.Eq(t, c.written, fault.Is(err, fault.Conflict))
		})
	}
}

func TestWorkerCallsOverHTTP(t *testing.T) {
	s := longTimeouts(start(t))
	ctx := t.Context()
	workers := adapter.NewWorkers(s)
	listed, err := workers.List(ctx)
	must.NoError(t, err)
	must.Len(t, 2, listed)
	w := listed[1]
	must.Eq(t, structs.Worker{
		ID: "saw-hall-r02-w01", Domain: "saw-hall", Rack: "saw-hall-r02",
		Accelerators: 8, Address: s.Address, State: structs.StateLive,
	}, w)
	must.NoError(t, workers.Reserve(ctx, w, "a", 8, time.Minute))
	must.Eq(t, fault.Refused, fault.CodeOf(workers.Reserve(ctx, w, "b", 1, time.Minute)))
	must.Eq(t, fault.Fenced, fault.CodeOf(workers.Start(ctx, w, "b", nil, "")))
	must.NoError(t, workers.Start(ctx, w, "a", []byte(`{"run_ms":60000}`), ""))
	must.NoError(t, workers.Throttle(ctx, w, "a", 50))
	must.NoError(t, workers.Checkpoint(ctx, w, "a", "a.ckpt"))
	_, err = adapter.NewObjects(s).Get(ctx, "a.ckpt")
	must.NoError(t, err)
	_, err = adapter.NewObjects(s).Get(ctx, "b.ckpt")
	must.Eq(t, fault.NotFound, fault.CodeOf(err))
	must.NoError(t, workers.Release(ctx, w, []structs.LeaseID{"a"}))
	status, err := workers.Renew(ctx, w, []structs.LeaseID{"a"}, time.Minute)
	must.NoError(t, err)
	must.Eq(t, []structs.LeaseStatus{{Lease: "a", State: structs.TaskNotFound}}, status)
}

func TestInstanceChangesAreListed(t *testing.T) {
	s := longTimeouts(start(t))
	change := `{"put":[{"id":"b1","kind":"backend","domain":"saw-hall","address":"127.0.0.1:9","slots":8}],"leaving":["b1"]}`
	must.Eq(t, 200, post(t, s, "/instances", change))
	listed, err := adapter.NewInstances(s).List(t.Context())
	must.NoError(t, err)
	must.Eq(t, []structs.Instance{{
		ID: "b1", Kind: structs.KindBackend, State: structs.StateLeaving,
		Domain: "saw-hall", Address: "127.0.0.1:9", Slots: 8,
	}}, listed)
}

func TestInvalidDocumentsAreRejected(t *testing.T) {
	s := start(t)
	for path, documents := range map[string][]string{
		"/faults":    {`{`, `{"scope":"moon"}`, `{"scope":"table","freeze":true}`, `{"scope":"table","x":1}`, `{"scope":"table"}{}`},
		"/instances": {`[]`, `{"put":[{"id":"a","kind":"x"}]}`, `{"put":[{"id":"a","kind":"entry","state":"x"}]}`},
	} {
		for _, d := range documents {
			must.Eq(t, 400, post(t, s, path, d), must.Sprint(d))
		}
	}
	must.Eq(t, 200, post(t, s, "/faults", `{"scope":"workers","freeze":true}`))
}

func TestServerSurvivesOversizedAndMalformedRequests(t *testing.T) {
	s := longTimeouts(start(t))
	oversized := createTxn("k")
	oversized.Writes[0].Value = make([]byte, maxMessageBytes+1)
	table := adapter.NewTable(s)
	_, err := table.Commit(t.Context(), oversized)
	must.Error(t, err)
	conn, err := net.Dial("tcp", s.Address)
	must.NoError(t, err)
	_, err = conn.Write([]byte("\x00garbage\r\n\r\n"))
	must.NoError(t, err)
	must.Close(t, conn)
	_, err = table.Commit(t.Context(), createTxn("k"))
	must.NoError(t, err)
}

// TestSilentConnectionEvictsIdleConnections makes all open connections drop their
// data without closing. Only the first call may fail. The test fails if the client
// keeps its other idle connections after a call without a response, which it
// closes with operation.closeIdle.
func TestSilentConnectionEvictsIdleConnections(t *testing.T) {
	s := start(t)
	r, err := relay.Listen(s.Address)
	must.NoError(t, err)
	t.Cleanup(r.Close)
	directSettings := s
	s.Address = r.Address()
	s.CommitTimeout = time.Second
	s.IdleTimeout = time.Hour
	table := adapter.NewTable(s)
	must.Eq(t, 200, post(t, directSettings, "/faults", `{"scope":"table","delay_ms":100}`))
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() { _, _ = table.Commit(t.Context(), port.Txn{}) })
	}
	wg.Wait()
	must.Eq(t, 200, post(t, directSettings, "/faults", `{"scope":"table"}`))
	must.Greater(t, 1, r.Links())
	r.SilenceOpen()
	_, err = table.Commit(t.Context(), port.Txn{})
	must.Eq(t, fault.Uncertain, fault.CodeOf(err))
	_, err = table.Commit(t.Context(), port.Txn{})
	must.NoError(t, err)
}
