package requests_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// runScenario runs a test in virtual time with a number of instances and two
// servers.
func runScenario(t *testing.T, instances, slots int, f func(t *testing.T, cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(2, slots)
		defer cl.close()
		for range instances {
			cl.startInstance()
		}
		synctest.Wait()
		f(t, cl)
	})
}

func (cl *cluster) setBackendFaults(f fake.BackendFaults) {
	for _, s := range cl.servers {
		s.SetFaults(f)
	}
}

func TestSameIDAtTwoInstancesRunsOnce(t *testing.T) {
	runScenario(t, 2, 4, func(t *testing.T, cl *cluster) {
		req := request(onceService, "r", time.Second)
		a, b := cl.instances[0].send(req), cl.instances[1].send(req)
		for _, got := range []response{<-a, <-b} {
			must.NoError(t, got.err)
			must.Eq(t, structs.OutcomeDone, got.res.Outcome)
			must.Eq(t, "answer of r", string(got.res.Answer))
		}
		must.Eq(t, 1, cl.runs("r"))
	})
}

func TestSameIDTwiceAtOneInstanceRunsOnce(t *testing.T) {
	runScenario(t, 1, 4, func(t *testing.T, cl *cluster) {
		req := request(onceService, "r", time.Second)
		a, b := cl.instances[0].send(req), cl.instances[0].send(req)
		must.Eq(t, structs.OutcomeDone, (<-a).res.Outcome)
		must.Eq(t, structs.OutcomeDone, (<-b).res.Outcome)
		must.Eq(t, 1, cl.runs("r"))
	})
}

// TestHolderStoppedAroundEachStep kills or freezes the holder before and after
// its claim, its dispatch and its record, and sends the request to another
// instance. The request must not run twice, and must not be reported as not run
// if it ran.
//
// It fails if requests are dispatched without a claim, or if recordUnknown
// records that the request was not run.
func TestHolderStoppedAroundEachStep(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		for triggerStep := 1; triggerStep <= 4; triggerStep++ {
			for _, triggerAfter := range []bool{false, true} {
				t.Run(fmt.Sprintf("frozen=%v step=%d after=%v", frozen, triggerStep, triggerAfter), func(t *testing.T) {
					runScenario(t, 2, 4, func(t *testing.T, cl *cluster) { testStoppedHolder(t, cl, triggerStep, triggerAfter, frozen) })
				})
			}
		}
	}
}

func testStoppedHolder(t *testing.T, cl *cluster, triggerStep int, triggerAfter, frozen bool) {
	holder, other := cl.instances[0], cl.instances[1]
	stop := holder.kill
	if frozen {
		stop = holder.freeze
	}
	holder.process.triggerStep, holder.process.triggerAfter, holder.process.trigger = triggerStep, triggerAfter, stop
	req := request(onceService, "r", 500*time.Millisecond)
	holder.send(req)
	time.Sleep(time.Second)
	first := other.send(req)
	time.Sleep(sessionTTL)
	holder.endSession()
	<-first
	holder.thaw()
	time.Sleep(serviceDeadline)
	second := <-other.send(req)
	must.NoError(t, second.err)
	time.Sleep(serviceDeadline)
	must.SliceEmpty(t, cl.checkResponses())
	must.SliceEmpty(t, cl.checkRecords(other))
}

// TestLostClaimReplies loses or delays the replies to claims. A request may be
// reported as not run only once that is recorded, and never if it ran.
//
// It fails if an unconfirmed claim counts as failed, which leaves its row
// pending.
func TestLostClaimReplies(t *testing.T) {
	for name, f := range map[string]fake.TableFaults{
		"lost": {LoseReplies: true}, "hang": {Hang: true}, "slow": {Delay: 1500 * time.Millisecond}, "down": {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, 4, func(t *testing.T, cl *cluster) {
				cl.table.SetFaults(f)
				for i := range 6 {
					cl.instances[i%2].send(request(onceService, fmt.Sprint("r", i/2), 200*time.Millisecond))
				}
				time.Sleep(2 * time.Second)
				cl.table.SetFaults(fake.TableFaults{})
				time.Sleep(2 * serviceDeadline)
				must.Len(t, 6, cl.responses())
				must.SliceEmpty(t, cl.checkResponses())
				must.SliceEmpty(t, cl.checkRecords(cl.instances[0]))
			})
		})
	}
}

// TestTableOutage fails if RecordNotRun returns OutcomeNotRun before it is recorded.
func TestTableOutage(t *testing.T) {
	runScenario(t, 2, 4, func(t *testing.T, cl *cluster) {
		cl.table.SetFaults(fake.TableFaults{Down: true})
		before := cl.table.Counts()
		repeatable := cl.instances[0].send(request(repeatableService, "again", time.Second))
		once := cl.instances[0].send(request(onceService, "once", time.Second))
		must.Eq(t, structs.OutcomeDone, (<-repeatable).res.Outcome)
		got := <-once
		must.Eq(t, structs.OutcomeUnknown, got.res.Outcome)
		must.Less(t, serviceDeadline, got.elapsed)
		must.Eq(t, before, cl.table.Counts())
		time.Sleep(time.Minute)
		must.Positive(t, cl.instances[0].claims.Unresolved())
		cl.table.SetFaults(fake.TableFaults{})
		time.Sleep(2 * time.Second)
		must.Zero(t, cl.instances[0].claims.Unresolved())
		res, err := cl.instances[1].lookup("once")
		must.NoError(t, err)
		must.Eq(t, structs.OutcomeNotRun, res.Outcome)
		must.Zero(t, cl.runs("once"))
	})
}

func TestRepeatableRequestsDoNotAccessTable(t *testing.T) {
	runScenario(t, 1, 4, func(t *testing.T, cl *cluster) {
		before := cl.table.Counts()
		for i := range 20 {
			cl.instances[0].send(request(repeatableService, fmt.Sprint("r", i), 100*time.Millisecond))
		}
		time.Sleep(serviceDeadline)
		must.Eq(t, before, cl.table.Counts())
		must.Len(t, 20, cl.responses())
		must.SliceEmpty(t, cl.checkResponses())
	})
}

// TestNonRepeatableRequestWritesTwoRowsAndReadsNone also bounds the number of
// commits.
func TestNonRepeatableRequestWritesTwoRowsAndReadsNone(t *testing.T) {
	runScenario(t, 1, 32, func(t *testing.T, cl *cluster) {
		before := cl.table.Counts()
		for i := range 32 {
			cl.instances[0].send(request(onceService, fmt.Sprint("r", i), 100*time.Millisecond))
		}
		time.Sleep(serviceDeadline)
		after := cl.table.Counts()
		must.Eq(t, 64, after.RowsWritten-before.RowsWritten)
		must.Eq(t, before.Reads, after.Reads)
		must.LessEq(t, 8, after.Commits-before.Commits)
		must.SliceEmpty(t, cl.checkResponses())
	})
}

// TestBackendFaults checks the outcome of requests under each fault of the
// servers.
//
// It guards against an uncertain result of an attempt that counts as not
// started: non-repeatable requests would then run twice or be reported as not
// run.
func TestBackendFaults(t *testing.T) {
	cases := map[string]struct {
		faults           fake.BackendFaults
		once, repeatable structs.Outcome
	}{
		"down":                 {fake.BackendFaults{Down: true}, structs.OutcomeNotRun, structs.OutcomeNotRun},
		"full":                 {fake.BackendFaults{Refuse: true}, structs.OutcomeNotRun, structs.OutcomeNotRun},
		"leaving":              {fake.BackendFaults{Leaving: true}, structs.OutcomeNotRun, structs.OutcomeNotRun},
		"slow":                 {fake.BackendFaults{Delay: 2 * time.Second}, structs.OutcomeDone, structs.OutcomeDone},
		"wrong ID":             {fake.BackendFaults{WrongID: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
		"truncated":            {fake.BackendFaults{Truncate: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
		"duplicated":           {fake.BackendFaults{Duplicate: true}, structs.OutcomeDone, structs.OutcomeDone},
		"dropped before start": {fake.BackendFaults{DropBeforeStart: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
		"dropped after start":  {fake.BackendFaults{DropAfterStart: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
		"hangs before start":   {fake.BackendFaults{HangBeforeStart: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
		"hangs after start":    {fake.BackendFaults{Hang: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 1, 4, func(t *testing.T, cl *cluster) {
				cl.setBackendFaults(c.faults)
				once := <-cl.instances[0].send(request(onceService, "once", 100*time.Millisecond))
				must.Eq(t, c.once, once.res.Outcome)
				repeatable := <-cl.instances[0].send(request(repeatableService, "again", 100*time.Millisecond))
				must.Eq(t, c.repeatable, repeatable.res.Outcome)
				must.SliceEmpty(t, cl.checkResponses())
				must.SliceEmpty(t, cl.checkRecords(cl.instances[0]))
			})
		})
	}
}

func TestRefusedRequestIsRetriedOnAnotherServer(t *testing.T) {
	for name, f := range map[string]fake.BackendFaults{"full": {Refuse: true}, "leaving": {Leaving: true}, "down": {Down: true}} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 1, 4, func(t *testing.T, cl *cluster) {
				cl.servers[0].SetFaults(f)
				for i := range 4 {
					got := <-cl.instances[0].send(request(onceService, fmt.Sprint("r", i), 100*time.Millisecond))
					must.Eq(t, structs.OutcomeDone, got.res.Outcome)
				}
				must.SliceEmpty(t, cl.checkResponses())
			})
		})
	}
}

// TestLeavingServerIsTriedOnce fails if the dispatcher loses its mark of the
// leaving server, which is then tried again, or if the membership isn't told.
func TestLeavingServerIsTriedOnce(t *testing.T) {
	runScenario(t, 1, 4, func(t *testing.T, cl *cluster) {
		n := cl.instances[0]
		n.useStaleMembership()
		cl.servers[0].SetFaults(fake.BackendFaults{Leaving: true})
		for i := range 8 {
			<-n.send(request(repeatableService, fmt.Sprint("r", i), 100*time.Millisecond))
			n.requests.Reload()
		}
		must.Eq(t, 1, n.requests.Stats().RefusedLeaving)
		must.True(t, n.isMarkedLeaving("b0"))
		list, _ := cl.servers[0].Runs()
		must.SliceEmpty(t, list)
	})
}

func TestRequestExpiredInQueueIsNotRun(t *testing.T) {
	for _, service := range []string{onceService, repeatableService} {
		t.Run(service, func(t *testing.T) {
			runScenario(t, 1, 1, func(t *testing.T, cl *cluster) {
				cl.setBackendFaults(fake.BackendFaults{Refuse: true})
				req := request(service, "r", 100*time.Millisecond)
				req.Deadline = time.Now().Add(2 * time.Second)
				got := <-cl.instances[0].send(req)
				must.Eq(t, structs.OutcomeNotRun, got.res.Outcome)
				must.LessEq(t, 2*time.Second+requestSettings.RecordTimeout, got.elapsed)
				cl.setBackendFaults(fake.BackendFaults{})
				time.Sleep(serviceDeadline)
				must.SliceEmpty(t, cl.checkResponses())
				res, err := cl.instances[0].lookup("r")
				if service == repeatableService {
					must.Eq(t, fault.NotFound, fault.CodeOf(err))
					return
				}
				must.Eq(t, structs.OutcomeNotRun, res.Outcome)
			})
		})
	}
}

// TestCancellationBeforeArrivalIsNotLost guards against losing a cancellation
// that the loop receives before the arrival: the request would then run.
func TestCancellationBeforeArrivalIsNotLost(t *testing.T) {
	runScenario(t, 1, 1, func(t *testing.T, cl *cluster) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for i := range 20 {
			_, err := cl.instances[0].do(ctx, request(repeatableService, fmt.Sprint("r", i), 0))
			must.NoError(t, err)
		}
		for _, resp := range cl.responses() {
			must.Eq(t, structs.OutcomeNotRun, resp.res.Outcome)
		}
		must.SliceEmpty(t, cl.checkResponses())
	})
}

func TestCancellationDropsOnlyQueuedRequests(t *testing.T) {
	runScenario(t, 1, 1, func(t *testing.T, cl *cluster) {
		n := cl.instances[0]
		ctx, cancel := context.WithCancel(context.Background())
		cl.wg.Go(func() { _, _ = n.do(ctx, request(onceService, "running", time.Second)) })
		time.Sleep(200 * time.Millisecond)
		cl.setBackendFaults(fake.BackendFaults{Refuse: true})
		for _, s := range []string{onceService, repeatableService} {
			cl.wg.Go(func() { _, _ = n.do(ctx, request(s, "queued "+s, time.Second)) })
		}
		time.Sleep(200 * time.Millisecond)
		cancel()
		time.Sleep(200 * time.Millisecond)
		must.Len(t, 2, cl.responses())
		cl.setBackendFaults(fake.BackendFaults{})
		time.Sleep(serviceDeadline)
		must.Len(t, 3, cl.responses())
		must.Eq(t, structs.OutcomeDone, cl.responses()[2].res.Outcome)
		must.SliceEmpty(t, cl.checkResponses())
		must.SliceEmpty(t, cl.checkRecords(n))
		must.Zero(t, cl.runs("queued "+onceService)+cl.runs("queued "+repeatableService))
	})
}

// TestRequestIsNotSentIfClaimIsGrantedAfterDeadline guards against a missing
// check of the deadline after the claim: the request would then still be sent to
// the server.
func TestRequestIsNotSentIfClaimIsGrantedAfterDeadline(t *testing.T) {
	runScenario(t, 1, 4, func(t *testing.T, cl *cluster) {
		n := cl.instances[0]
		cl.table.SetFaults(fake.TableFaults{Delay: 800 * time.Millisecond})
		req := request(onceService, "r", 100*time.Millisecond)
		req.Deadline = time.Now().Add(500 * time.Millisecond)
		must.Eq(t, structs.OutcomeNotRun, (<-n.send(req)).res.Outcome)
		must.Zero(t, n.process.overdueCalls())
		cl.table.SetFaults(fake.TableFaults{})
		time.Sleep(serviceDeadline)
		must.SliceEmpty(t, cl.checkRecords(n))
	})
}
