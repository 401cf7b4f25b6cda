package config

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// fillTable stores more services than fit into a few pages, and so many tickets that an
// instance that starts loads the services. It returns the number of the next ticket.
func (g *group) fillTable(t *testing.T) int64 {
	t.Helper()
	st := store.New(g.instances[0], store.NewWriterID("fill"))
	for page := range 7 {
		txn := new(store.Txn)
		for i := range 500 {
			service := structs.Service{Workspace: "research", Name: fmt.Sprintf("s-%d-%d", page, i)}
			txn.Create(store.ServiceKey(service.Key()), service)
		}
		_, err := st.Commit(t.Context(), txn)
		must.NoError(t, err)
	}
	number := int64(1)
	for ; number <= maxDeltaTickets+2; number++ {
		must.NoError(t, g.instances[0].accept(number, "operator"))
	}
	return number
}

// Guards against a load of a large configuration that exceeds the time of one poll, and
// begins anew in the next one.
func TestLargeConfigurationIsLoadedFromSlowTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		synctest.Wait()
		next := g.fillTable(t)
		g.instances[1].connect(isolated, true)
		g.table.SetFaults(fake.TableFaults{Delay: testSettings.ReadTimeout / 4})
		g.instances[1].restart()
		time.Sleep(inForceBound)
		must.Eq(t, next-1, g.instances[1].keeper.Load().Current().Number)
		must.MapLen(t, 3500, g.instances[1].keeper.Load().Current().Services)
	})
}

// Guards against a load that starts over whenever a ticket is accepted meanwhile.
func TestLargeConfigurationIsLoadedWhileTicketsAreAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		synctest.Wait()
		next := g.fillTable(t)
		g.instances[1].connect(isolated, true)
		g.table.SetFaults(fake.TableFaults{Delay: 80 * time.Millisecond})
		g.instances[1].restart()
		for end := time.Now().Add(inForceBound); time.Now().Before(end); next++ {
			must.NoError(t, g.instances[0].accept(next, "operator"))
			time.Sleep(300 * time.Millisecond)
		}
		must.GreaterEq(t, next-4, g.instances[1].keeper.Load().Current().Number)
		must.MapLen(t, 3500, g.instances[1].keeper.Load().Current().Services)
	})
}
