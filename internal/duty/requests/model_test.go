package requests_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// The command line still overrides these, as in -rapid.seed=7 -rapid.checks=5000.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
}

type action int

const (
	actOnce action = iota
	actOnceAtTwo
	actAgain
	actResend
	actLookup
	actKill
	actRestart
	actFreeze
	actThaw
	actTableDown
	actTableHang
	actTableLose
	actTableSlow
	actTableHeal
	actObjectsDown
	actObjectsHang
	actObjectsHeal
	actBackend
	actBackendHeal
	actionCount
)

const modelInstances = 3

// backendFaults are those that the model gives to one server.
var backendFaults = []fake.BackendFaults{
	{Down: true},
	{Refuse: true},
	{Leaving: true},
	{Delay: 700 * time.Millisecond},
	{DropBeforeStart: true},
	{DropAfterStart: true},
	{HangBeforeStart: true},
	{Hang: true},
	{Truncate: true},
	{WrongID: true},
}

type step struct {
	action action
	node   int
	// pick chooses among servers, faults and earlier requests.
	pick int
	run  time.Duration
	wait time.Duration
}

func drawStep(rt *rapid.T) step {
	waits := []int{0, 1, 5, 50, 400, 2000, 4000}
	return step{
		action: action(rapid.IntRange(0, int(actionCount)-1).Draw(rt, "action")),
		node:   rapid.IntRange(0, modelInstances-1).Draw(rt, "node"),
		pick:   rapid.IntRange(0, 1000).Draw(rt, "pick"),
		run:    time.Duration(rapid.IntRange(0, 1500).Draw(rt, "run")) * time.Millisecond,
		wait:   time.Duration(rapid.SampledFrom(waits).Draw(rt, "wait")) * time.Millisecond,
	}
}

// TestModel drives three instances, a table and three servers through random
// sends, kills, freezes, outages and faults. The judges read only what servers
// ran, what callers were told and, after healing, what instances look up.
//
// Replay a failure with the seed that it prints: go test
// ./internal/duty/requests -run TestModel -rapid.seed=N. A longer run:
// -rapid.checks=5000.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = runModel(steps) })
		if len(faults) > 0 {
			rt.Fatalf("%d faults, first: %s", len(faults), faults[0])
		}
	})
}

// model is a world whose instances are replaced when they restart.
type model struct {
	*world
	nodes []*instance
	sent  []structs.Request
}

func runModel(steps []step) []string {
	m := &model{world: newWorld(3, 2)}
	defer m.close()
	for range modelInstances {
		m.nodes = append(m.nodes, m.start())
	}
	for i, s := range steps {
		m.apply(i, s)
		time.Sleep(s.wait)
	}
	m.heal()
	time.Sleep(time.Minute)
	return append(m.judge(), m.judgeFinal(m.nodes[0])...)
}

func (m *model) heal() {
	m.table.SetFaults(fake.TableFaults{})
	m.objects.SetFaults(fake.Faults{})
	m.world.faults(fake.BackendFaults{})
	for i, n := range m.nodes {
		if n.process.isDead() {
			m.nodes[i] = m.start()
		}
		n.thaw()
	}
}

func (m *model) apply(i int, s step) {
	n := m.nodes[s.node]
	switch s.action {
	case actOnce:
		m.send(n, request(once, idOf(i, s), s.run))
	case actOnceAtTwo:
		req := request(once, idOf(i, s), s.run)
		m.send(n, req)
		m.send(m.nodes[(s.node+1)%modelInstances], req)
	case actAgain:
		n.send(request(again, fmt.Sprint("again-", i), s.run))
	case actResend:
		if len(m.sent) > 0 {
			n.send(m.sent[s.pick%len(m.sent)])
		}
	case actLookup:
		if len(m.sent) > 0 && !n.process.halted() {
			m.look(n, m.sent[s.pick%len(m.sent)].Key.ID)
		}
	default:
		m.disturb(n, s)
	}
}

// idOf gives every fourth request a large answer.
func idOf(i int, s step) string {
	if s.pick%4 == 0 {
		return fmt.Sprint("once-", i, largeSuffix)
	}
	return fmt.Sprint("once-", i)
}

func (m *model) disturb(n *instance, s step) {
	switch s.action {
	case actKill:
		n.kill()
		m.expire(n)
	case actRestart:
		n.kill()
		m.expire(n)
		m.nodes[s.node] = m.start()
	case actFreeze:
		n.freeze()
		m.expire(n)
	case actThaw:
		n.thaw()
	case actTableDown:
		m.table.SetFaults(fake.TableFaults{Down: true})
	case actTableHang:
		m.table.SetFaults(fake.TableFaults{Hang: true})
	case actTableLose:
		m.table.SetFaults(fake.TableFaults{LoseAnswers: true})
	case actTableSlow:
		m.table.SetFaults(fake.TableFaults{Delay: time.Duration(s.pick) * time.Millisecond})
	case actTableHeal:
		m.table.SetFaults(fake.TableFaults{})
	case actObjectsDown:
		m.objects.SetFaults(fake.Faults{Down: true})
	case actObjectsHang:
		m.objects.SetFaults(fake.Faults{Hang: true})
	case actObjectsHeal:
		m.objects.SetFaults(fake.Faults{})
	case actBackend:
		m.servers[s.node].SetFaults(backendFaults[s.pick%len(backendFaults)])
	case actBackendHeal:
		m.servers[s.node].SetFaults(fake.BackendFaults{})
	}
}

func (m *model) send(n *instance, req structs.Request) {
	m.sent = append(m.sent, req)
	n.send(req)
}

// look notes what a lookup tells, like the end of a request.
func (m *model) look(n *instance, id string) {
	m.wg.Go(func() {
		res, err := n.lookup(id)
		if err != nil || res.Outcome == structs.OutcomePending || n.process.isDead() {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.told = append(m.told, telling{id: id, service: once, res: res, lookedUp: true})
	})
}

// keptOrSaid reports whether a record holds the whole answer or none with the
// reason, which a large answer may have.
func keptOrSaid(id string, res structs.Result) bool {
	lost := strings.HasSuffix(id, largeSuffix) && len(res.Answer) == 0 && res.Reason != ""
	return lost || string(res.Answer) == answerOf(id)
}

// expire ends the session of an instance that stays silent.
func (m *model) expire(n *instance) {
	m.wg.Go(func() {
		time.Sleep(sessionTTL)
		n.endSession()
	})
}

// judge checks what callers were told against what the servers ran.
func (w *world) judge() []string {
	var faults []string
	complain := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	done, notRun := make(map[string]bool), make(map[string]bool)
	count := w.allRuns()
	for _, t := range w.tellings() {
		runs := count[t.id]
		if t.err != nil {
			complain("%s failed: %v", t.id, t.err)
		}
		if t.service == once && runs > 1 {
			complain("%s ran %d times", t.id, runs)
		}
		switch t.res.Outcome {
		case structs.OutcomeDone:
			done[t.id] = true
			if runs == 0 || t.lookedUp && !keptOrSaid(t.id, t.res) || !t.lookedUp && string(t.res.Answer) != answerOf(t.id) {
				complain("%s was told done with %d bytes after %d runs", t.id, len(t.res.Answer), runs)
			}
		case structs.OutcomeNotRun:
			notRun[t.id] = true
			if runs > 0 {
				complain("%s was told not run (%s) but ran", t.id, t.res.Reason)
			}
		case structs.OutcomeUnknown:
		default:
			complain("%s was told %s", t.id, t.res.Outcome)
		}
		if done[t.id] && notRun[t.id] {
			complain("%s was told done and not run", t.id)
		}
	}
	return faults
}

// judgeFinal checks that each request that was told of and may not be repeated
// has a final record that agrees, or none and never ran.
func (w *world) judgeFinal(n *instance) []string {
	var faults []string
	count := w.allRuns()
	for _, t := range w.tellings() {
		if t.service != once {
			continue
		}
		runs := count[t.id]
		res, err := n.lookup(t.id)
		switch {
		case fault.Is(err, fault.NotFound) && runs == 0:
		case err != nil:
			faults = append(faults, fmt.Sprintf("%s ran %d times and its lookup failed: %v", t.id, runs, err))
		case res.Outcome == structs.OutcomePending,
			res.Outcome == structs.OutcomeDone && (runs != 1 || !keptOrSaid(t.id, res)),
			res.Outcome == structs.OutcomeNotRun && (runs > 0 || t.res.Outcome == structs.OutcomeDone),
			res.Outcome == structs.OutcomeDone && t.res.Outcome == structs.OutcomeNotRun:
			faults = append(faults, fmt.Sprintf("%s ran %d times, was told %s and is recorded as %s (%s)", t.id, runs, t.res.Outcome, res.Outcome, res.Reason))
		}
	}
	return faults
}
