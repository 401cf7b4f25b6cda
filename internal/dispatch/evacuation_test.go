package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// setEvacuated lists two servers of 8 slots, of which the first may be evacuated.
func setEvacuated(d *Dispatcher, evacuated bool) {
	d.SetServers([]Server{{ID: "server-0", Slots: 8, Evacuated: evacuated}, {ID: "server-1", Slots: 8}})
}

func enqueueShort(t *testing.T, d *Dispatcher, from, to uint64) {
	t.Helper()
	for id := from; id <= to; id++ {
		must.NoError(t, d.Enqueue(start, shortItem(id, "yard", start)))
	}
}

func countByServer(assignments []Assignment) map[string]int {
	out := make(map[string]int)
	for _, a := range assignments {
		out[a.Server]++
	}
	return out
}

// Guards against dispatching to an evacuated server, against ending what is in
// flight there, and against a mark that a restoration doesn't remove.
func TestEvacuatedServerGetsNoNewWork(t *testing.T) {
	d := newTestDispatcher(Settings{}, 2, 8)
	enqueueShort(t, d, 1, 8)
	before := dispatchAll(d, start)
	must.MapLen(t, 2, countByServer(before))

	setEvacuated(d, true)
	for _, a := range before {
		d.Done(start, a, Result{Kind: Succeeded, Elapsed: time.Millisecond})
	}
	must.Zero(t, d.Stats().InFlight)
	enqueueShort(t, d, 9, 28)
	during := dispatchAll(d, start)
	must.Eq(t, map[string]int{"server-1": 8}, countByServer(during))
	must.True(t, d.Stats().Servers[0].Evacuated)
	must.Eq(t, 6, d.Stats().LongLimit)

	setEvacuated(d, false)
	restored := dispatchAll(d, start)
	must.Positive(t, countByServer(restored)["server-0"])
	// The server may have been restarted, so that it doesn't get all at once.
	must.Less(t, 8, countByServer(restored)["server-0"])
	now := start.Add(30 * time.Second)
	must.Positive(t, countByServer(dispatchAll(d, now))["server-0"])
}

// Guards against ending a request that was withdrawn from an evacuated server as
// not run because the retry budget is used up, and against opening the circuits of
// servers that aren't at fault.
func TestWithdrawnItemIsQueuedAgain(t *testing.T) {
	d := newTestDispatcher(Settings{RetryBurst: 1, RetryPercent: 1}, 2, 64)
	enqueueShort(t, d, 1, 60)
	assigned := dispatchAll(d, start)
	must.Len(t, 60, assigned)
	withdrawn := Result{Kind: Withdrawn}
	for _, a := range assigned {
		d.Done(start, a, withdrawn)
		must.True(t, d.Retry(start, a, withdrawn))
	}
	for _, s := range d.Stats().Servers {
		must.Eq(t, "closed", s.Circuit)
	}
	must.Len(t, 60, dispatchAll(d, start))
}
