package claims

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testSettings = Settings{
	Flush:         4 * time.Millisecond,
	Batch:         64,
	Commits:       4,
	CommitTimeout: 2 * time.Second,
	SettleRetry:   250 * time.Millisecond,
}

// rig is a table, an object store and the claims of two instances, a and b,
// with their sessions.
type rig struct {
	table   *fake.Table
	objects *fake.Objects
	ctx     context.Context
	a, b    *Claims
}

func rigged(t *testing.T, f func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		r := &rig{table: fake.NewTable(), objects: fake.NewObjects(), ctx: ctx}
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		r.a, r.b = r.start(&wg, "a"), r.start(&wg, "b")
		f(t, r)
	})
}

func (r *rig) start(wg *sync.WaitGroup, name string) *Claims {
	r.session(port.Write{Key: store.SessionKey(name), Value: []byte("session")})
	c := New(testSettings, store.New(r.table, name), r.objects, func() string { return name }, zap.NewNop())
	wg.Go(func() { _ = c.Run(r.ctx) })
	return c
}

func (r *rig) session(w port.Write) {
	_, _ = r.table.Commit(r.ctx, port.Txn{Writes: []port.Write{w}})
}

func (r *rig) end(name string) {
	r.session(port.Write{Key: store.SessionKey(name), Delete: true})
}

func (r *rig) within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(r.ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func ask(id, body string) structs.Request {
	return structs.Request{Key: structs.RequestKey{Workspace: "grading", ID: id}, Service: "tally", Body: []byte(body)}
}

func (r *rig) claim(t *testing.T, c *Claims, req structs.Request) *Claim {
	t.Helper()
	claim, err := c.Claim(r.within(time.Second), req)
	must.NoError(t, err)
	return claim
}

func (r *rig) recorded(t *testing.T, id string) structs.Result {
	t.Helper()
	res, err := r.b.Lookup(r.within(time.Second), ask(id, "").Key)
	must.NoError(t, err)
	return res
}

var done = structs.Result{Outcome: structs.OutcomeDone, Answer: []byte("answer")}

func TestOneOfRacingClaimsIsGranted(t *testing.T) {
	rigged(t, func(t *testing.T, r *rig) {
		errs := make([]error, 4)
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() { _, errs[i] = []*Claims{r.a, r.b}[i%2].Claim(r.within(time.Second), ask("r", "")) })
		}
		wg.Wait()
		granted := 0
		for _, err := range errs {
			if err == nil {
				granted++
				continue
			}
			must.Eq(t, fault.Conflict, fault.CodeOf(err))
		}
		must.Eq(t, 1, granted)
	})
}

// Seen failing: with refuse returning no others, or ending all with the
// conflict.
func TestConflictFailsOnlyItsOwnClaim(t *testing.T) {
	rigged(t, func(t *testing.T, r *rig) {
		r.claim(t, r.a, ask("r3", ""))
		before := r.table.Counts()
		errs := make([]error, 8)
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() { _, errs[i] = r.b.Claim(r.within(time.Second), ask(fmt.Sprint("r", i), "")) })
		}
		wg.Wait()
		for i, err := range errs {
			must.Eq(t, i == 3, err != nil)
		}
		after := r.table.Counts()
		must.Eq(t, 2, after.Commits-before.Commits)
		must.Eq(t, 7, after.RowsWritten-before.RowsWritten)
	})
}

// Seen failing: with abandon recording not run, and with outranks ignoring that
// the holder knows more.
func TestHolderReplacesUnknown(t *testing.T) {
	rigged(t, func(t *testing.T, r *rig) {
		claim := r.claim(t, r.a, ask("r", ""))
		must.Eq(t, structs.OutcomePending, r.recorded(t, "r").Outcome)
		r.end("a")
		must.Eq(t, structs.OutcomeUnknown, r.recorded(t, "r").Outcome)
		r.a.Finish(r.within(time.Second), claim, done)
		time.Sleep(time.Second)
		must.Eq(t, done, r.recorded(t, "r"))
	})
}

func TestEndedSessionClaimsNothing(t *testing.T) {
	rigged(t, func(t *testing.T, r *rig) {
		r.end("a")
		_, err := r.a.Claim(r.within(time.Second), ask("r", ""))
		must.Eq(t, fault.Fenced, fault.CodeOf(err))
		r.claim(t, r.b, ask("r", ""))
	})
}

// Seen failing: with serials not compared in sameClaim, giving up the first
// claim writes not run over the second one.
func TestGivenUpClaimLeavesTheNextOneAlone(t *testing.T) {
	rigged(t, func(t *testing.T, r *rig) {
		r.table.SetFaults(fake.TableFaults{Down: true})
		_, err := r.a.Claim(r.within(time.Second), ask("r", ""))
		must.Eq(t, fault.Uncertain, fault.CodeOf(err))
		time.Sleep(1100 * time.Millisecond)
		r.table.SetFaults(fake.TableFaults{})
		// Another commit finds the table well before the first claim is settled.
		r.a.table.note(time.Now(), nil)
		claim := r.claim(t, r.a, ask("r", ""))
		time.Sleep(5 * time.Second)
		must.Eq(t, structs.OutcomePending, r.recorded(t, "r").Outcome)
		r.a.Finish(r.within(time.Second), claim, done)
		must.Eq(t, done, r.recorded(t, "r"))
	})
}

// Seen failing: with Refuse answering without a record, both are told of.
func TestRefusalAgainstAClaim(t *testing.T) {
	rigged(t, func(t *testing.T, r *rig) {
		var claim *Claim
		var wg sync.WaitGroup
		var claimErr error
		wg.Go(func() { claim, claimErr = r.a.Claim(r.within(time.Second), ask("r", "")) })
		res, err := r.b.Refuse(r.within(500*time.Millisecond), ask("r", ""), "full")
		must.NoError(t, err)
		wg.Wait()
		must.Eq(t, claimErr != nil, res.Outcome == structs.OutcomeNotRun)
		if claimErr == nil {
			must.Eq(t, structs.OutcomeUnknown, res.Outcome)
			r.a.Finish(r.within(time.Second), claim, done)
			must.Eq(t, done, r.recorded(t, "r"))
			return
		}
		must.Eq(t, structs.OutcomeNotRun, r.recorded(t, "r").Outcome)
	})
}

func TestRefusalIsToldOnlyOnceRecorded(t *testing.T) {
	for name, f := range map[string]fake.TableFaults{"down": {Down: true}, "hang": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			rigged(t, func(t *testing.T, r *rig) {
				r.table.SetFaults(f)
				res, err := r.a.Refuse(r.within(500*time.Millisecond), ask("r", ""), "full")
				must.NoError(t, err)
				must.Eq(t, structs.OutcomeUnknown, res.Outcome)
				r.table.SetFaults(fake.TableFaults{})
				time.Sleep(5 * time.Second)
				must.Eq(t, structs.OutcomeNotRun, r.recorded(t, "r").Outcome)
				must.Zero(t, r.a.Unsettled())
			})
		})
	}
}

func TestRefusalWithALostAnswer(t *testing.T) {
	rigged(t, func(t *testing.T, r *rig) {
		r.table.SetFaults(fake.TableFaults{LoseAnswers: true})
		res, err := r.a.Refuse(r.within(500*time.Millisecond), ask("r", ""), "full")
		must.NoError(t, err)
		must.Eq(t, structs.OutcomeNotRun, res.Outcome)
		must.Eq(t, structs.OutcomeNotRun, r.recorded(t, "r").Outcome)
	})
}

func TestOutcomeWriteIsMadeGood(t *testing.T) {
	rigged(t, func(t *testing.T, r *rig) {
		claim := r.claim(t, r.a, ask("r", ""))
		r.table.SetFaults(fake.TableFaults{Down: true})
		r.a.Finish(r.within(500*time.Millisecond), claim, done)
		time.Sleep(time.Minute)
		r.table.SetFaults(fake.TableFaults{})
		time.Sleep(time.Second)
		must.Eq(t, done, r.recorded(t, "r"))
		must.Zero(t, r.a.Unsettled())
	})
}

// TestIDOfADifferentRequest also holds while reads fail at first. Seen failing:
// with the digest compared at the first read only, the caller gets the other
// request's answer.
func TestIDOfADifferentRequest(t *testing.T) {
	rigged(t, func(t *testing.T, r *rig) {
		r.a.Finish(r.ctx, r.claim(t, r.a, ask("r", "one body")), done)
		_, err := r.b.Wait(r.within(time.Second), ask("r", "another body"))
		must.Eq(t, fault.Exists, fault.CodeOf(err))
		_, err = r.b.Refuse(r.within(time.Second), ask("r", "another body"), "full")
		must.Eq(t, fault.Exists, fault.CodeOf(err))
		r.table.SetFaults(fake.TableFaults{Down: true})
		time.AfterFunc(500*time.Millisecond, func() { r.table.SetFaults(fake.TableFaults{}) })
		_, err = r.b.Wait(r.within(5*time.Second), ask("r", "another body"))
		must.Eq(t, fault.Exists, fault.CodeOf(err))
	})
}

func TestLargeAnswer(t *testing.T) {
	rigged(t, func(t *testing.T, r *rig) {
		large := structs.Result{Outcome: structs.OutcomeDone, Answer: make([]byte, maxInlineAnswer+1)}
		r.a.Finish(r.ctx, r.claim(t, r.a, ask("r", "")), large)
		must.Eq(t, large, r.recorded(t, "r"))
		res, err := r.b.Wait(r.within(time.Second), ask("r", ""))
		must.NoError(t, err)
		must.Eq(t, large, res)
	})
}

// TestLargeAnswerThatCannotBeKept seen failing: a caller who sent the request
// again was told that it is done, with an empty answer.
func TestLargeAnswerThatCannotBeKept(t *testing.T) {
	for name, f := range map[string]fake.Faults{"down": {Down: true}, "hang": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			rigged(t, func(t *testing.T, r *rig) {
				claim := r.claim(t, r.a, ask("r", ""))
				r.objects.SetFaults(f)
				large := structs.Result{Outcome: structs.OutcomeDone, Answer: make([]byte, maxInlineAnswer+1)}
				r.a.Finish(r.within(500*time.Millisecond), claim, large)
				r.objects.SetFaults(fake.Faults{})
				time.Sleep(time.Second)
				must.Eq(t, structs.OutcomeDone, r.recorded(t, "r").Outcome)
				res, err := r.b.Wait(r.within(time.Second), ask("r", ""))
				must.NoError(t, err)
				must.Eq(t, structs.OutcomeUnknown, res.Outcome)
			})
		})
	}
}

// TestClaimsDontWaitForASilentTable seen failing: without the memory of the
// last commit each claim waits to the end of its context.
func TestClaimsDontWaitForASilentTable(t *testing.T) {
	for name, f := range map[string]fake.TableFaults{"down": {Down: true}, "hang": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			rigged(t, func(t *testing.T, r *rig) {
				r.table.SetFaults(f)
				_, err := r.a.Claim(r.within(time.Second), ask("first", ""))
				must.Eq(t, fault.Uncertain, fault.CodeOf(err))
				for range 30 {
					from := time.Now()
					_, err = r.a.Claim(r.within(time.Second), ask("r", ""))
					must.Eq(t, fault.Unavailable, fault.CodeOf(err))
					must.Eq(t, from, time.Now())
					time.Sleep(time.Second)
				}
				r.table.SetFaults(fake.TableFaults{})
				time.Sleep(testSettings.CommitTimeout + testSettings.SettleRetry + time.Second)
				r.claim(t, r.a, ask("r", ""))
			})
		})
	}
}

// TestFailedCommitIsRemembered seen failing: without a note of each commit's
// end the second claim waits like the first, and without an end of the window
// a process whose last commit failed claims nothing again.
func TestFailedCommitIsRemembered(t *testing.T) {
	rigged(t, func(t *testing.T, r *rig) {
		r.table.SetFaults(fake.TableFaults{Down: true})
		for _, wait := range []time.Duration{testSettings.CommitTimeout, 0} {
			from := time.Now()
			_, err := r.a.Claim(r.within(time.Minute), ask("r", ""))
			must.Eq(t, fault.Unavailable, fault.CodeOf(err))
			must.LessEq(t, wait+testSettings.Flush, time.Since(from))
		}
		must.Zero(t, r.a.Unsettled())
		r.table.SetFaults(fake.TableFaults{})
		time.Sleep(r.a.table.window + time.Millisecond)
		r.claim(t, r.a, ask("r", ""))
	})
}
