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

// Flags on the command line override these values, for example -rapid.seed=7
// -rapid.checks=5000.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
}

type action int

const (
	actSendOnce action = iota
	actSendToTwo
	actSendRepeatable
	actResend
	actLookup
	actKill
	actRestart
	actFreeze
	actThaw
	actTableDown
	actTableHang
	actTableLoseReplies
	actTableSlow
	actTableRecover
	actObjectsDown
	actObjectsHang
	actObjectsRecover
	actBackendFault
	actBackendRecover
	actionCount
)

const modelInstances = 3

// backendFaults are the faults that the model injects into one server.
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
	// target is the index of the instance or server that the action affects.
	target int
	// selector selects a fault, an earlier request, the table's delay in
	// milliseconds or the size of the answer.
	selector int
	run      time.Duration
	// wait is the time before the next step.
	wait time.Duration
}

func drawStep(rt *rapid.T) step {
	waits := []int{0, 1, 5, 50, 400, 2000, 4000}
	return step{
		action:   action(rapid.IntRange(0, int(actionCount)-1).Draw(rt, "action")),
		target:   rapid.IntRange(0, modelInstances-1).Draw(rt, "node"),
		selector: rapid.IntRange(0, 1000).Draw(rt, "pick"),
		run:      time.Duration(rapid.IntRange(0, 1500).Draw(rt, "run")) * time.Millisecond,
		wait:     time.Duration(rapid.SampledFrom(waits).Draw(rt, "wait")) * time.Millisecond,
	}
}

// TestModel runs three instances, a table and three servers through random
// requests, kills, freezes, outages and faults. The checks read only what
// servers ran, what callers received and, once all faults are cleared, what
// instances look up.
//
// Replay a failure with the seed that it prints: go test
// ./internal/duty/requests -run TestModel -rapid.seed=N. For a longer run add
// -rapid.checks=5000.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 60).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runModel(steps) })
		if len(violations) > 0 {
			rt.Fatalf("%d violations, first: %s", len(violations), violations[0])
		}
	})
}

// model is a cluster whose instances are replaced when they restart.
type model struct {
	*cluster
	// current holds the latest process of each instance.
	current []*instance
	sent    []structs.Request
}

func runModel(steps []step) []string {
	m := &model{cluster: newCluster(3, 2)}
	defer m.close()
	for range modelInstances {
		m.current = append(m.current, m.startInstance())
	}
	for i, s := range steps {
		m.apply(i, s)
		time.Sleep(s.wait)
	}
	m.clearFaults()
	time.Sleep(time.Minute)
	return append(m.checkResponses(), m.checkRecords(m.current[0])...)
}

// clearFaults clears all faults, restarts killed instances and thaws frozen
// ones.
func (m *model) clearFaults() {
	m.table.SetFaults(fake.TableFaults{})
	m.objects.SetFaults(fake.Faults{})
	m.cluster.setBackendFaults(fake.BackendFaults{})
	for i, n := range m.current {
		if n.process.isKilled() {
			m.current[i] = m.startInstance()
		}
		n.thaw()
	}
}

func (m *model) apply(i int, s step) {
	n := m.current[s.target]
	switch s.action {
	case actSendOnce:
		m.send(n, request(onceService, requestID(i, s), s.run))
	case actSendToTwo:
		req := request(onceService, requestID(i, s), s.run)
		m.send(n, req)
		m.send(m.current[(s.target+1)%modelInstances], req)
	case actSendRepeatable:
		n.send(request(repeatableService, fmt.Sprint("again-", i), s.run))
	case actResend:
		if len(m.sent) > 0 {
			n.send(m.sent[s.selector%len(m.sent)])
		}
	case actLookup:
		if len(m.sent) > 0 && !n.process.killedOrFrozen() {
			m.startLookup(n, m.sent[s.selector%len(m.sent)].Key.ID)
		}
	default:
		m.injectFault(n, s)
	}
}

// requestID returns the ID of a step's request. One in four values of selector
// gives it a large answer.
func requestID(i int, s step) string {
	if s.selector%4 == 0 {
		return fmt.Sprint("once-", i, largeSuffix)
	}
	return fmt.Sprint("once-", i)
}

func (m *model) injectFault(n *instance, s step) {
	switch s.action {
	case actKill:
		n.kill()
		m.expireSession(n)
	case actRestart:
		n.kill()
		m.expireSession(n)
		m.current[s.target] = m.startInstance()
	case actFreeze:
		n.freeze()
		m.expireSession(n)
	case actThaw:
		n.thaw()
	case actTableDown:
		m.table.SetFaults(fake.TableFaults{Down: true})
	case actTableHang:
		m.table.SetFaults(fake.TableFaults{Hang: true})
	case actTableLoseReplies:
		m.table.SetFaults(fake.TableFaults{LoseReplies: true})
	case actTableSlow:
		m.table.SetFaults(fake.TableFaults{Delay: time.Duration(s.selector) * time.Millisecond})
	case actTableRecover:
		m.table.SetFaults(fake.TableFaults{})
	case actObjectsDown:
		m.objects.SetFaults(fake.Faults{Down: true})
	case actObjectsHang:
		m.objects.SetFaults(fake.Faults{Hang: true})
	case actObjectsRecover:
		m.objects.SetFaults(fake.Faults{})
	case actBackendFault:
		m.servers[s.target].SetFaults(backendFaults[s.selector%len(backendFaults)])
	case actBackendRecover:
		m.servers[s.target].SetFaults(fake.BackendFaults{})
	}
}

func (m *model) send(n *instance, req structs.Request) {
	m.sent = append(m.sent, req)
	n.send(req)
}

// startLookup looks a request up in the background and records a final outcome
// as a response.
func (m *model) startLookup(n *instance, id string) {
	m.wg.Go(func() {
		res, err := n.lookup(id)
		if err != nil || res.Outcome == structs.OutcomePending || n.process.isKilled() {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.received = append(m.received, response{id: id, service: onceService, res: res, fromLookup: true})
	})
}

// answerKeptOrReported reports whether a record holds the complete answer or,
// for a large answer only, a reason why it is missing.
func answerKeptOrReported(id string, res structs.Result) bool {
	lost := strings.HasSuffix(id, largeSuffix) && len(res.Answer) == 0 && res.Reason != ""
	return lost || string(res.Answer) == answerOf(id)
}

// expireSession ends the session of an instance that is still killed or frozen
// after the session's TTL.
func (m *model) expireSession(n *instance) {
	m.wg.Go(func() {
		time.Sleep(sessionTTL)
		n.endSession()
	})
}

// checkResponses compares the responses that callers received with the runs on
// the servers.
func (cl *cluster) checkResponses() []string {
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	done, notRun := make(map[string]bool), make(map[string]bool)
	count := cl.allRuns()
	for _, resp := range cl.responses() {
		runs := count[resp.id]
		if resp.err != nil {
			report("%s failed: %v", resp.id, resp.err)
		}
		if resp.service == onceService && runs > 1 {
			report("%s ran %d times", resp.id, runs)
		}
		switch resp.res.Outcome {
		case structs.OutcomeDone:
			done[resp.id] = true
			if runs == 0 || resp.fromLookup && !answerKeptOrReported(resp.id, resp.res) || !resp.fromLookup && string(resp.res.Answer) != answerOf(resp.id) {
				report("%s was reported done with %d bytes after %d runs", resp.id, len(resp.res.Answer), runs)
			}
		case structs.OutcomeNotRun:
			notRun[resp.id] = true
			if runs > 0 {
				report("%s was reported not run (%s) but ran", resp.id, resp.res.Reason)
			}
		case structs.OutcomeUnknown:
		default:
			report("%s was reported %s", resp.id, resp.res.Outcome)
		}
		if done[resp.id] && notRun[resp.id] {
			report("%s was reported both done and not run", resp.id)
		}
	}
	return violations
}

// checkRecords checks that each non-repeatable request with a response either
// has a final record that agrees with it, or has no record and never ran.
func (cl *cluster) checkRecords(n *instance) []string {
	var violations []string
	count := cl.allRuns()
	for _, resp := range cl.responses() {
		if resp.service != onceService {
			continue
		}
		runs := count[resp.id]
		res, err := n.lookup(resp.id)
		switch {
		case fault.Is(err, fault.NotFound) && runs == 0:
		case err != nil:
			violations = append(violations, fmt.Sprintf("%s ran %d times and its lookup failed: %v", resp.id, runs, err))
		case res.Outcome == structs.OutcomePending,
			res.Outcome == structs.OutcomeDone && (runs != 1 || !answerKeptOrReported(resp.id, res)),
			res.Outcome == structs.OutcomeNotRun && (runs > 0 || resp.res.Outcome == structs.OutcomeDone),
			res.Outcome == structs.OutcomeDone && resp.res.Outcome == structs.OutcomeNotRun:
			violations = append(violations, fmt.Sprintf("%s ran %d times, was reported %s and is recorded as %s (%s)", resp.id, runs, resp.res.Outcome, res.Outcome, res.Reason))
		}
	}
	return violations
}
