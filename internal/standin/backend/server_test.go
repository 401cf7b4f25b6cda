package backend_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	adapter "github.com/lentilwinch/lentilwinch/internal/adapter/backend"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/standin/backend"
	"github.com/lentilwinch/lentilwinch/internal/standin/relay"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// fixture is a pool of one server with a client.
type fixture struct {
	pool    *backend.Pool
	client  *adapter.Backends
	address string
}

// start serves a pool until the test ends.
func start(t *testing.T, slots int) fixture {
	pool, err := backend.NewPool(backend.Options{Slots: slots, MaxConns: 60}, []string{"127.0.0.1:0"})
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error)
	go func() { served <- pool.Serve(ctx) }()
	c := fixture{pool: pool, client: adapter.New(adapter.DefaultSettings()), address: pool.Addresses()[0]}
	t.Cleanup(func() {
		c.client.Close()
		cancel()
		must.NoError(t, <-served)
	})
	return c
}

// setFaults posts a faults document and returns the status of the response.
func (f fixture) setFaults(t *testing.T, document string) int {
	w := httptest.NewRecorder()
	f.pool.Control().ServeHTTP(w, httptest.NewRequest("POST", "/faults", bytes.NewBufferString(document)))
	return w.Code
}

func (f fixture) execute(ctx context.Context, id, body string, timeout time.Duration) (port.Answer, error) {
	return f.client.Execute(ctx, structs.Instance{Address: f.address}, port.Execution{
		Attempt: "a",
		Request: structs.Request{
			Key:      structs.RequestKey{Workspace: "w", ID: id},
			Body:     []byte(body),
			Deadline: time.Now().Add(timeout),
		},
	})
}

// TestCorruptAnswersAreNeverDelivered runs many requests against a server that
// corrupts answers. Each request must get its own complete answer or fail with
// fault.Uncertain, and must run at most once. The test fails if the client doesn't
// check the IDs of an answer.
func TestCorruptAnswersAreNeverDelivered(t *testing.T) {
	for _, faults := range []string{`{}`, `{"wrong_id":true}`, `{"truncate":true}`, `{"duplicate":true}`, `{"drop_after_start":true}`} {
		t.Run(faults, func(t *testing.T) {
			c := start(t, 100)
			must.Eq(t, 200, c.setFaults(t, faults))
			var wg sync.WaitGroup
			for i := range 60 {
				wg.Go(func() {
					id := fmt.Sprint("r", i)
					answer, err := c.execute(t.Context(), id, id, time.Minute)
					if err != nil {
						test.Eq(t, fault.Uncertain, fault.CodeOf(err), test.Sprint(err))
						return
					}
					test.Eq(t, id, string(answer.Body))
				})
			}
			wg.Wait()
			runs := make(map[string]int)
			for _, run := range c.pool.Record().Servers[0].Runs {
				runs[run.RequestID]++
			}
			for id, n := range runs {
				must.Eq(t, 1, n, must.Sprint(id))
			}
		})
	}
}

func TestServerReportsRefusalReasonAndLoad(t *testing.T) {
	c := start(t, 1)
	first := make(chan error)
	go func() {
		_, err := c.execute(t.Context(), "long", `{"run_ms":60000}`, 100*time.Millisecond)
		first <- err
	}()
	must.Eq(t, fault.Uncertain, fault.CodeOf(<-first))
	_, err := c.execute(t.Context(), "r1", "x", time.Minute)
	must.Eq(t, fault.Refused, fault.CodeOf(err), must.Sprint("the slot must still be busy"))
	must.Eq(t, 200, c.setFaults(t, `{"leaving":true}`))
	_, err = c.execute(t.Context(), "r2", "x", time.Minute)
	must.ErrorContains(t, err, string(port.RefusedLeaving))
	load, err := c.client.Probe(t.Context(), structs.Instance{Address: c.address})
	must.NoError(t, err)
	must.Eq(t, port.BackendLoad{Slots: 1, Busy: 1, Leaving: true}, load)
	must.Len(t, 1, c.pool.Record().Servers[0].Runs)
}

func TestInvalidFaultsDocumentIsRejected(t *testing.T) {
	c := start(t, 1)
	must.Eq(t, 400, c.setFaults(t, `{"drop":true}`))
	must.Eq(t, 400, c.setFaults(t, `{"servers":["127.0.0.1:1"]}`))
	must.Eq(t, 400, c.setFaults(t, `{} {}`))
}

// TestSilentConnectionEvictsIdleConnections makes all open connections drop their
// data without closing. Only the first request may fail. The test fails if the
// client keeps its other idle connections after a request without a response.
func TestSilentConnectionEvictsIdleConnections(t *testing.T) {
	c := start(t, 8)
	r, err := relay.Listen(c.address)
	must.NoError(t, err)
	t.Cleanup(r.Close)
	settings := adapter.DefaultSettings()
	settings.IdleTimeout = time.Hour
	c.client = adapter.New(settings)
	t.Cleanup(c.client.Close)
	c.address = r.Address()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { _, _ = c.execute(t.Context(), fmt.Sprint(i), `{"run_ms":100}`, time.Minute) })
	}
	wg.Wait()
	must.Greater(t, 1, r.Links())
	r.SilenceOpen()
	_, err = c.execute(t.Context(), "silent", "x", 200*time.Millisecond)
	must.Eq(t, fault.Uncertain, fault.CodeOf(err))
	answer, err := c.execute(t.Context(), "after", "x", time.Minute)
	must.NoError(t, err)
	must.Eq(t, "x", string(answer.Body))
}
