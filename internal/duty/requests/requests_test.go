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

// scene runs a test in virtual time with instances on two servers.
func scene(t *testing.T, instances, slots int, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(2, slots)
		defer w.close()
		for range instances {
			w.start()
		}
		synctest.Wait()
		f(t, w)
	})
}

func (w *world) faults(f fake.BackendFaults) {
	for _, s := range w.servers {
		s.SetFaults(f)
	}
}

func TestSameIDAtTwoInstancesRunsOnce(t *testing.T) {
	scene(t, 2, 4, func(t *testing.T, w *world) {
		req := request(once, "r", time.Second)
		a, b := w.instances[0].send(req), w.instances[1].send(req)
		for _, got := range []telling{<-a, <-b} {
			must.NoError(t, got.err)
			must.Eq(t, structs.OutcomeDone, got.res.Outcome)
			must.Eq(t, "answer of r", string(got.res.Answer))
		}
		must.Eq(t, 1, w.runs("r"))
	})
}

func TestSameIDTwiceAtOneInstanceRunsOnce(t *testing.T) {
	scene(t, 1, 4, func(t *testing.T, w *world) {
		req := request(once, "r", time.Second)
		a, b := w.instances[0].send(req), w.instances[0].send(req)
		must.Eq(t, structs.OutcomeDone, (<-a).res.Outcome)
		must.Eq(t, structs.OutcomeDone, (<-b).res.Outcome)
		must.Eq(t, 1, w.runs("r"))
	})
}

// TestHolderStoppedAroundEachStep kills or freezes the holder before and after
// its claim, its dispatch and its record, and sends the request to another
// instance. Nobody is told not run of what ran, and nothing runs twice.
//
// Seen failing: with the claim skipped it runs twice, and with abandon
// recording not run the other instance says so of what ran.
func TestHolderStoppedAroundEachStep(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		for at := 1; at <= 4; at++ {
			for _, after := range []bool{false, true} {
				t.Run(fmt.Sprintf("frozen=%v step=%d after=%v", frozen, at, after), func(t *testing.T) {
					scene(t, 2, 4, func(t *testing.T, w *world) { stopHolder(t, w, at, after, frozen) })
				})
			}
		}
	}
}

func stopHolder(t *testing.T, w *world, at int, after, frozen bool) {
	holder, other := w.instances[0], w.instances[1]
	stop := holder.kill
	if frozen {
		stop = holder.freeze
	}
	holder.process.at, holder.process.after, holder.process.hit = at, after, stop
	req := request(once, "r", 500*time.Millisecond)
	holder.send(req)
	time.Sleep(time.Second)
	first := other.send(req)
	time.Sleep(sessionTTL)
	holder.endSession()
	<-first
	holder.thaw()
	time.Sleep(deadline)
	second := <-other.send(req)
	must.NoError(t, second.err)
	time.Sleep(deadline)
	must.SliceEmpty(t, w.judge())
	must.SliceEmpty(t, w.judgeFinal(other))
}

// TestLostClaimAnswers holds a claim without an answer: not run is said only
// once recorded, and never beside a run.
//
// Seen failing: an unconfirmed claim taken for one that certainly failed
// leaves its row pending.
func TestLostClaimAnswers(t *testing.T) {
	for name, f := range map[string]fake.TableFaults{
		"lost": {LoseAnswers: true}, "hang": {Hang: true}, "slow": {Delay: 1500 * time.Millisecond}, "down": {Down: true},
	} {
		t.Run(name, func(t *testing.T) {
			scene(t, 2, 4, func(t *testing.T, w *world) {
				w.table.SetFaults(f)
				for i := range 6 {
					w.instances[i%2].send(request(once, fmt.Sprint("r", i/2), 200*time.Millisecond))
				}
				time.Sleep(2 * time.Second)
				w.table.SetFaults(fake.TableFaults{})
				time.Sleep(2 * deadline)
				must.Len(t, 6, w.tellings())
				must.SliceEmpty(t, w.judge())
				must.SliceEmpty(t, w.judgeFinal(w.instances[0]))
			})
		})
	}
}

// Seen failing: with Refuse answering not run before it is recorded, requests
// end as not run in the outage.
func TestOutageOfTheTable(t *testing.T) {
	scene(t, 2, 4, func(t *testing.T, w *world) {
		w.table.SetFaults(fake.TableFaults{Down: true})
		before := w.table.Counts()
		repeatable := w.instances[0].send(request(again, "again", time.Second))
		single := w.instances[0].send(request(once, "once", time.Second))
		must.Eq(t, structs.OutcomeDone, (<-repeatable).res.Outcome)
		got := <-single
		must.Eq(t, structs.OutcomeUnknown, got.res.Outcome)
		must.Less(t, deadline, got.took)
		must.Eq(t, before, w.table.Counts())
		time.Sleep(time.Minute)
		must.Positive(t, w.instances[0].claims.Unsettled())
		w.table.SetFaults(fake.TableFaults{})
		time.Sleep(2 * time.Second)
		must.Zero(t, w.instances[0].claims.Unsettled())
		res, err := w.instances[1].lookup("once")
		must.NoError(t, err)
		must.Eq(t, structs.OutcomeNotRun, res.Outcome)
		must.Zero(t, w.runs("once"))
	})
}

func TestRepeatableRequestsNeverAskTheTable(t *testing.T) {
	scene(t, 1, 4, func(t *testing.T, w *world) {
		before := w.table.Counts()
		for i := range 20 {
			w.instances[0].send(request(again, fmt.Sprint("r", i), 100*time.Millisecond))
		}
		time.Sleep(deadline)
		must.Eq(t, before, w.table.Counts())
		must.Len(t, 20, w.tellings())
		must.SliceEmpty(t, w.judge())
	})
}

// TestRowsPerRequest counts what requests cost the table.
func TestRowsPerRequest(t *testing.T) {
	scene(t, 1, 32, func(t *testing.T, w *world) {
		before := w.table.Counts()
		for i := range 32 {
			w.instances[0].send(request(once, fmt.Sprint("r", i), 100*time.Millisecond))
		}
		time.Sleep(deadline)
		after := w.table.Counts()
		must.Eq(t, 64, after.RowsWritten-before.RowsWritten)
		must.Eq(t, before.Reads, after.Reads)
		must.LessEq(t, 8, after.Commits-before.Commits)
		must.SliceEmpty(t, w.judge())
	})
}

// TestBackendFaults tells what each fault of the servers makes of a request.
//
// Seen failing: with an uncertain end of an attempt taken for one that never
// started, requests that may not be repeated run twice or end as not run.
func TestBackendFaults(t *testing.T) {
	cases := map[string]struct {
		faults       fake.BackendFaults
		single, many structs.Outcome
	}{
		"down":         {fake.BackendFaults{Down: true}, structs.OutcomeNotRun, structs.OutcomeNotRun},
		"full":         {fake.BackendFaults{Refuse: true}, structs.OutcomeNotRun, structs.OutcomeNotRun},
		"leaving":      {fake.BackendFaults{Leaving: true}, structs.OutcomeNotRun, structs.OutcomeNotRun},
		"late":         {fake.BackendFaults{Delay: 2 * time.Second}, structs.OutcomeDone, structs.OutcomeDone},
		"crossed":      {fake.BackendFaults{WrongID: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
		"truncated":    {fake.BackendFaults{Truncate: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
		"duplicated":   {fake.BackendFaults{Duplicate: true}, structs.OutcomeDone, structs.OutcomeDone},
		"cut before":   {fake.BackendFaults{DropBeforeStart: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
		"cut after":    {fake.BackendFaults{DropAfterStart: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
		"hangs before": {fake.BackendFaults{HangBeforeStart: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
		"hangs after":  {fake.BackendFaults{Hang: true}, structs.OutcomeUnknown, structs.OutcomeUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			scene(t, 1, 4, func(t *testing.T, w *world) {
				w.faults(c.faults)
				single := <-w.instances[0].send(request(once, "once", 100*time.Millisecond))
				must.Eq(t, c.single, single.res.Outcome)
				many := <-w.instances[0].send(request(again, "again", 100*time.Millisecond))
				must.Eq(t, c.many, many.res.Outcome)
				must.SliceEmpty(t, w.judge())
				must.SliceEmpty(t, w.judgeFinal(w.instances[0]))
			})
		})
	}
}

func TestRefusedRequestGoesElsewhere(t *testing.T) {
	for name, f := range map[string]fake.BackendFaults{"full": {Refuse: true}, "leaving": {Leaving: true}, "down": {Down: true}} {
		t.Run(name, func(t *testing.T) {
			scene(t, 1, 4, func(t *testing.T, w *world) {
				w.servers[0].SetFaults(f)
				for i := range 4 {
					got := <-w.instances[0].send(request(once, fmt.Sprint("r", i), 100*time.Millisecond))
					must.Eq(t, structs.OutcomeDone, got.res.Outcome)
				}
				must.SliceEmpty(t, w.judge())
			})
		})
	}
}

// Seen failing: without the leaving mark of the dispatcher and of the
// membership, the server is tried again.
func TestLeavingServerIsAskedOnce(t *testing.T) {
	scene(t, 1, 4, func(t *testing.T, w *world) {
		n := w.instances[0]
		n.lag()
		w.servers[0].SetFaults(fake.BackendFaults{Leaving: true})
		for i := range 8 {
			<-n.send(request(again, fmt.Sprint("r", i), 100*time.Millisecond))
			n.requests.Reload()
		}
		must.Eq(t, 1, n.requests.Stats().RefusedLeave)
		must.True(t, n.hasLeft("b0"))
		list, _ := w.servers[0].Runs()
		must.SliceEmpty(t, list)
	})
}

func TestDeadlinePassesInTheQueue(t *testing.T) {
	for _, service := range []string{once, again} {
		t.Run(service, func(t *testing.T) {
			scene(t, 1, 1, func(t *testing.T, w *world) {
				w.faults(fake.BackendFaults{Refuse: true})
				req := request(service, "r", 100*time.Millisecond)
				req.Deadline = time.Now().Add(2 * time.Second)
				got := <-w.instances[0].send(req)
				must.Eq(t, structs.OutcomeNotRun, got.res.Outcome)
				must.LessEq(t, 2*time.Second+requestSettings.RecordTimeout, got.took)
				w.faults(fake.BackendFaults{})
				time.Sleep(deadline)
				must.SliceEmpty(t, w.judge())
				res, err := w.instances[0].lookup("r")
				if service == again {
					must.Eq(t, fault.NotFound, fault.CodeOf(err))
					return
				}
				must.Eq(t, structs.OutcomeNotRun, res.Outcome)
			})
		})
	}
}

// TestCallerLeavesAtOnce seen failing: when a departure overtook the arrival it
// was lost, and the request ran.
func TestCallerLeavesAtOnce(t *testing.T) {
	scene(t, 1, 1, func(t *testing.T, w *world) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		for i := range 20 {
			_, err := w.instances[0].do(ctx, request(again, fmt.Sprint("r", i), 0))
			must.NoError(t, err)
		}
		for _, told := range w.tellings() {
			must.Eq(t, structs.OutcomeNotRun, told.res.Outcome)
		}
		must.SliceEmpty(t, w.judge())
	})
}

func TestCallerLeaves(t *testing.T) {
	scene(t, 1, 1, func(t *testing.T, w *world) {
		n := w.instances[0]
		ctx, cancel := context.WithCancel(context.Background())
		w.wg.Go(func() { _, _ = n.do(ctx, request(once, "running", time.Second)) })
		time.Sleep(200 * time.Millisecond)
		w.faults(fake.BackendFaults{Refuse: true})
		for _, s := range []string{once, again} {
			w.wg.Go(func() { _, _ = n.do(ctx, request(s, "queued "+s, time.Second)) })
		}
		time.Sleep(200 * time.Millisecond)
		cancel()
		time.Sleep(200 * time.Millisecond)
		must.Len(t, 2, w.tellings())
		w.faults(fake.BackendFaults{})
		time.Sleep(deadline)
		must.Len(t, 3, w.tellings())
		must.Eq(t, structs.OutcomeDone, w.tellings()[2].res.Outcome)
		must.SliceEmpty(t, w.judge())
		must.SliceEmpty(t, w.judgeFinal(n))
		must.Zero(t, w.runs("queued "+once)+w.runs("queued "+again))
	})
}

// TestClaimGrantedAfterTheDeadline seen failing: without a look at the clock
// after the claim, the adapter is asked all the same.
func TestClaimGrantedAfterTheDeadline(t *testing.T) {
	scene(t, 1, 4, func(t *testing.T, w *world) {
		n := w.instances[0]
		w.table.SetFaults(fake.TableFaults{Delay: 800 * time.Millisecond})
		req := request(once, "r", 100*time.Millisecond)
		req.Deadline = time.Now().Add(500 * time.Millisecond)
		must.Eq(t, structs.OutcomeNotRun, (<-n.send(req)).res.Outcome)
		must.Zero(t, n.process.lateCalls())
		w.table.SetFaults(fake.TableFaults{})
		time.Sleep(deadline)
		must.SliceEmpty(t, w.judgeFinal(n))
	})
}
