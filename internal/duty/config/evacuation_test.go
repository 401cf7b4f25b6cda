package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
)

// setEvacuated accepts a ticket that evacuates or restores failure domain north.
func (inst *instance) setEvacuated(number int64, evacuated bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	doc := fmt.Appendf(nil, `{"number":%d,"author":"ana","domains":[{"name":"north","evacuated":%v}]}`, number, evacuated)
	_, err := inst.keeper.Load().Accept(ctx, doc)
	return err
}

func (inst *instance) evacuated() []string {
	return inst.keeper.Load().Current().EvacuatedDomains()
}

// Guards against an instance that hears of an evacuation or a restoration late, by
// the tickets, and doesn't apply it, or that loses it with later tickets.
func TestEvacuationReachesLateInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		time.Sleep(time.Second)
		late := g.instances[0]
		g.partition(0)
		must.NoError(t, g.instances[1].setEvacuated(1, true))
		must.NoError(t, g.instances[1].accept(2, "operator"))
		time.Sleep(inForceBound)
		must.SliceEmpty(t, late.evacuated())
		must.False(t, late.keeper.Load().Fresh(time.Now()))
		must.Eq(t, []string{"north"}, g.instances[2].evacuated())

		late.connect(0, true)
		time.Sleep(inForceBound)
		must.Eq(t, []string{"north"}, late.evacuated())
		must.True(t, late.keeper.Load().Fresh(time.Now()))

		g.partition(0)
		must.NoError(t, g.instances[1].setEvacuated(3, false))
		late.connect(0, true)
		time.Sleep(inForceBound)
		must.SliceEmpty(t, late.evacuated())
	})
}

// Guards against a message between instances that leaves the evacuated domains
// out. An instance that restarts while the table is down has no other source.
func TestRestartedInstanceAdoptsEvacuationDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		time.Sleep(time.Second)
		must.NoError(t, g.instances[1].setEvacuated(1, true))
		time.Sleep(2 * time.Second)
		g.table.SetFaults(fake.TableFaults{Down: true})
		time.Sleep(time.Minute)
		must.Eq(t, []string{"north"}, g.instances[1].evacuated())
		g.instances[0].restart()
		time.Sleep(3 * time.Second)
		must.True(t, g.instances[0].keeper.Load().Fresh(time.Now()))
		must.Eq(t, []string{"north"}, g.instances[0].evacuated())
	})
}

// Guards against a scan of the objects in force that leaves the evacuated domains
// out, and against a restoration that leaves their rows behind. An instance that
// starts after more than maxDeltaTickets tickets reads no tickets.
func TestEvacuationIsLoadedWithObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(3)
		defer g.close()
		synctest.Wait()
		must.NoError(t, g.instances[0].setEvacuated(1, true))
		next := int64(2)
		acceptMany := func() {
			for range maxDeltaTickets + 1 {
				must.NoError(t, g.instances[0].accept(next, "operator"))
				next++
			}
		}
		acceptMany()
		g.instances[1].restart()
		time.Sleep(2 * time.Second)
		must.Eq(t, []string{"north"}, g.instances[1].evacuated())

		must.NoError(t, g.instances[0].setEvacuated(next, false))
		next++
		acceptMany()
		g.instances[1].restart()
		time.Sleep(2 * time.Second)
		must.SliceEmpty(t, g.instances[1].evacuated())
		must.Eq(t, next-1, g.instances[1].keeper.Load().Current().Number)
	})
}

// Guards against a dump that doesn't show the evacuated domains, from which the
// command status takes them.
func TestStateListsEvacuatedDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(1)
		defer g.close()
		synctest.Wait()
		must.NotNil(t, g.instances[0].keeper.Load().State().EvacuatedDomains)
		must.NoError(t, g.instances[0].setEvacuated(1, true))
		must.Eq(t, []string{"north"}, g.instances[0].keeper.Load().State().EvacuatedDomains)
	})
}
