package fake

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

func TestInstanceListShowsChangesAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := structs.Instance{ID: "a", State: structs.StateLive}
		b := structs.Instance{ID: "b", State: structs.StateLive}
		l := NewInstances(3*time.Second, a)
		l.Put(b)
		time.Sleep(time.Second)
		l.MarkLeaving("a")
		time.Sleep(time.Second)
		l.Remove("a")
		aLeaving := a
		aLeaving.State = structs.StateLeaving
		for _, want := range [][]structs.Instance{{a}, {a, b}, {aLeaving, b}, {b}} {
			got, err := l.List(t.Context())
			must.NoError(t, err)
			must.Eq(t, want, got)
			time.Sleep(time.Second)
		}
	})
}

func TestBackendSlotStaysBusyAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := NewBackends()
		server := NewBackend(1)
		backends.Add("x", server)
		to := structs.Instance{Address: "x"}
		execute := func(id, body string) error {
			_, err := backends.Execute(t.Context(), to, port.Execution{
				Request: structs.Request{Key: structs.RequestKey{ID: id}, Body: []byte(body)},
			})
			return err
		}
		server.SetFaults(BackendFaults{DropAfterStart: true})
		must.Eq(t, fault.Uncertain, fault.CodeOf(execute("a", `{"run_ms":1000}`)))
		server.SetFaults(BackendFaults{DropBeforeStart: true})
		must.Eq(t, fault.Uncertain, fault.CodeOf(execute("b", "")))
		server.SetFaults(BackendFaults{})
		go func() { _ = execute("c", `{"run_ms":1000}`) }()
		synctest.Wait()
		must.Eq(t, fault.Refused, fault.CodeOf(execute("d", "")))
		time.Sleep(time.Second)
		must.NoError(t, execute("e", ""))
		backends.Remove("x")
		must.Eq(t, fault.Unavailable, fault.CodeOf(execute("f", "")))
		runs, _ := server.Runs()
		must.Len(t, 3, runs)
	})
}
