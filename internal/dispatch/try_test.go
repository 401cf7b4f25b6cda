package dispatch

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// history plays random events on a dispatcher whose servers are full, leave, are
// evacuated, fail, start slowly and are shared with another instance.
type history struct {
	d       *Dispatcher
	now     time.Time
	rng     *rand.Rand
	lastID  uint64
	running []Assignment
	servers []Server
	log     []string
}

func newHistory(seed uint64) *history {
	h := &history{d: newTestDispatcher(Settings{QueueLimit: 64}, 0, 0), now: start, rng: rand.New(rand.NewPCG(seed, 0))}
	for i := range 6 {
		h.servers = append(h.servers, Server{ID: fmt.Sprintf("server-%d", i), Slots: 1 + i})
	}
	h.servers[5].Services = []string{"scan"}
	h.d.SetServers(h.servers)
	h.d.SetInstances("a", []string{"b"})
	return h
}

// item returns a random item that doesn't exist yet.
func (h *history) item(rng *rand.Rand) Item {
	// Some deadlines pass while their items are queued.
	deadline := h.now.Add(time.Duration(1+rng.IntN([]int{200, 20_000}[rng.IntN(2)])) * time.Millisecond)
	return Item{ID: h.lastID + 1, Workspace: []string{"yard", "mill"}[rng.IntN(2)], Service: []string{"check", "scan", "check"}[rng.IntN(3)],
		Repeatable: rng.IntN(2) == 0, Deadline: deadline}
}

// send queues an item and does what follows from it. It returns the error and the server
// that the item was assigned to, if any.
func (h *history) send(it Item) (server string, err error) {
	h.lastID = it.ID
	err = h.d.Enqueue(h.now, it)
	return h.dispatch(it.ID), err
}

func (h *history) dispatch(id uint64) (server string) {
	h.d.Expire(h.now)
	for a, ok := h.d.Next(h.now); ok; a, ok = h.d.Next(h.now) {
		h.running = append(h.running, a)
		h.log = append(h.log, fmt.Sprint(a))
		if a.Item == id {
			server = a.Server
		}
	}
	return server
}

// step plays one event.
func (h *history) step() {
	switch n := h.rng.IntN(12); {
	case n < 5:
		_, _ = h.send(h.item(h.rng))
		return
	case n < 8 && len(h.running) > 0:
		i := h.rng.IntN(len(h.running))
		a := h.running[i]
		h.running = append(h.running[:i], h.running[i+1:]...)
		kinds := []ResultKind{Succeeded, Succeeded, Succeeded, Failed, RefusedFull, NotStarted}
		r := Result{Kind: kinds[h.rng.IntN(len(kinds))], Elapsed: time.Duration(h.rng.IntN(2000)) * time.Millisecond,
			Load: &port.BackendLoad{Slots: 4, Busy: h.rng.IntN(4)}}
		h.d.Done(h.now, a, r)
		h.d.Retry(h.now, a, r)
	case n == 8:
		s := &h.servers[h.rng.IntN(len(h.servers))]
		s.Evacuated = !s.Evacuated
		list := h.servers
		if h.rng.IntN(3) == 0 {
			list = list[1:] // the first one isn't listed
		}
		h.d.SetServers(list)
	case n == 9:
		h.d.SetDemand(map[string]int{"a": h.d.Demand(), "b": h.rng.IntN(20)})
	default:
		h.now = h.now.Add(time.Duration(h.rng.IntN(800)) * time.Millisecond)
	}
	h.dispatch(0)
}

// Guards against a query that changes the dispatcher: the decisions and the state
// after random events must be the same with and without queries.
func TestTryChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		asked, other := newHistory(seed), newHistory(seed)
		queries := rand.New(rand.NewPCG(seed, 1))
		for range 150 {
			// Timers and deadlines may have passed since the last event.
			passed := time.Duration(queries.IntN(100)) * time.Millisecond
			asked.now, other.now = asked.now.Add(passed), other.now.Add(passed)
			asked.d.Try(asked.now, asked.item(queries))
			asked.step()
			other.step()
			must.Eq(t, len(other.log), len(asked.log))
			must.Eq(t, other.d.scanAt, asked.d.scanAt)
			must.Eq(t, other.d.now, asked.d.now)
		}
		must.Eq(t, other.log, asked.log)
		must.Eq(t, fmt.Sprint(other.d.Stats()), fmt.Sprint(asked.d.Stats()))
	})
}

// Guards against an answer that differs from what happens to the request: whether it is
// accepted, whether it is dispatched, and to one of the servers without a reason against.
func TestTryTellsWhatEnqueueAndNextDo(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(rapid.Uint64().Draw(t, "seed"))
		for range 150 {
			h.step()
			h.now = h.now.Add(time.Duration(h.rng.IntN(100)) * time.Millisecond)
			it := h.item(h.rng)
			trial := h.d.Try(h.now, it)
			reasons := map[string]Reason{}
			for _, s := range trial.Servers {
				reasons[s.ID] = s.Reason
				seen[string(s.Reason)]++
			}
			server, err := h.send(it)
			must.ErrorIs(t, trial.Refused, err)
			if err != nil {
				seen[err.Error()]++
				continue
			}
			must.Eq(t, server != "", trial.Server != "", must.Sprintf("%+v but assigned to %q", trial, server))
			if server != "" {
				seen["dispatched"]++
				must.Eq(t, Usable, reasons[server], must.Sprintf("%+v but assigned to %q", trial, server))
				continue
			}
			seen["queued"]++
			for id, r := range reasons {
				if !trial.LongLimit {
					must.NotEq(t, Usable, r, must.Sprintf("queued although %s is usable", id))
				}
			}
		}
	})
	for _, want := range []string{"dispatched", "queued", errQueueFull.Error(), errDeadline.Error(), string(NotListed), string(Evacuated),
		string(Quarantined), string(NotOffered), string(NoFreeSlot), string(OnTrial), string(Starting), string(ShareUsed), string(Reserved)} {
		must.Positive(t, seen[want], must.Sprintf("%s never occurred: %v", want, seen))
	}
}

// Guards against a reason that hides a stronger one, a wait that isn't that of admission,
// and a refusal without its forecast.
func TestTryTellsReasonsAndForecast(t *testing.T) {
	d := newTestDispatcher(Settings{}, 0, 0)
	must.ErrorIs(t, d.Try(start, Item{Workspace: "yard", Service: "none"}).Refused, errUnknownService)
	d.SetServers([]Server{{ID: "a", Slots: 1}, {ID: "b", Slots: 1, Leaving: true}, {ID: "c", Slots: 1, Evacuated: true, Leaving: true}})
	now := start
	must.Eq(t, "a", d.Try(now, shortItem(0, "yard", now)).Server)
	for id := range uint64(5) {
		must.NoError(t, d.Enqueue(now, shortItem(id+1, "yard", now)))
		d.Next(now)
	}
	trial := d.Try(now, shortItem(0, "yard", now))
	must.NoError(t, trial.Refused)
	must.Eq(t, structs.ClassUrgent, trial.Class)
	must.Eq(t, 4, trial.Ahead)
	must.Eq(t, 400*time.Millisecond, trial.ExpectedWait)
	must.Eq(t, []ServerTrial{{ID: "a", Reason: NoFreeSlot, Slots: 1, InFlight: 1}, {ID: "b", Reason: Draining, Slots: 1}, {ID: "c", Reason: Evacuated, Slots: 1}}, trial.Servers)

	late := shortItem(0, "yard", now)
	late.Deadline = now.Add(300 * time.Millisecond)
	trial = d.Try(now, late)
	must.True(t, errors.Is(trial.Refused, errDeadline) && trial.Forecast)
	must.Eq(t, 400*time.Millisecond, trial.ExpectedWait)
}

func BenchmarkTry(b *testing.B) {
	d := newTestDispatcher(Settings{}, 350, 8)
	for id := range uint64(8000) {
		workspace := "mill"
		if id%4 == 0 {
			workspace = "yard"
		}
		it := shortItem(id+1, workspace, start)
		it.Deadline = start.Add(time.Hour)
		if err := d.Enqueue(start, it); err != nil {
			b.Fatal(err)
		}
		d.Next(start)
	}
	b.ReportAllocs()
	for b.Loop() {
		d.Try(start, shortItem(0, "mill", start))
	}
}
