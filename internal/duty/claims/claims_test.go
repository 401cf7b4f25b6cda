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
	ResolveRetry:  250 * time.Millisecond,
}

// cluster is a table, an object store and the claims of two instances, a and b,
// with their sessions.
type cluster struct {
	table   *fake.Table
	objects *fake.Objects
	ctx     context.Context
	a, b    *Claims
}

func withCluster(t *testing.T, f func(t *testing.T, cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cl := &cluster{table: fake.NewTable(), objects: fake.NewObjects(), ctx: ctx}
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		cl.a, cl.b = cl.startInstance(&wg, "a"), cl.startInstance(&wg, "b")
		f(t, cl)
	})
}

func (cl *cluster) startInstance(wg *sync.WaitGroup, name string) *Claims {
	cl.writeSession(port.Write{Key: store.SessionKey(name), Value: []byte("session")})
	c := New(testSettings, store.New(cl.table, name), cl.objects, func() string { return name }, zap.NewNop())
	wg.Go(func() { _ = c.Run(cl.ctx) })
	return c
}

func (cl *cluster) writeSession(w port.Write) {
	_, _ = cl.table.Commit(cl.ctx, port.Txn{Writes: []port.Write{w}})
}

func (cl *cluster) endSession(name string) {
	cl.writeSession(port.Write{Key: store.SessionKey(name), Delete: true})
}

func (cl *cluster) withTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(cl.ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func request(id, body string) structs.Request {
	return structs.Request{Key: structs.RequestKey{Workspace: "grading", ID: id}, Service: "tally", Body: []byte(body)}
}

func (cl *cluster) claim(t *testing.T, c *Claims, req structs.Request) *Claim {
	t.Helper()
	claim, err := c.Claim(cl.withTimeout(time.Second), req)
	must.NoError(t, err)
	return claim
}

func (cl *cluster) recorded(t *testing.T, id string) structs.Result {
	t.Helper()
	res, err := cl.b.Lookup(cl.withTimeout(time.Second), request(id, "").Key)
	must.NoError(t, err)
	return res
}

var done = structs.Result{Outcome: structs.OutcomeDone, Answer: []byte("answer")}

func TestOneOfRacingClaimsIsGranted(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		errs := make([]error, 4)
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() { _, errs[i] = []*Claims{cl.a, cl.b}[i%2].Claim(cl.withTimeout(time.Second), request("r", "")) })
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

// TestConflictFailsOnlyConflictingClaim fails if rejectConflicting drops the
// other writes or rejects them too.
func TestConflictFailsOnlyConflictingClaim(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.claim(t, cl.a, request("r3", ""))
		before := cl.table.Counts()
		errs := make([]error, 8)
		var wg sync.WaitGroup
		for i := range errs {
			wg.Go(func() { _, errs[i] = cl.b.Claim(cl.withTimeout(time.Second), request(fmt.Sprint("r", i), "")) })
		}
		wg.Wait()
		for i, err := range errs {
			must.Eq(t, i == 3, err != nil)
		}
		after := cl.table.Counts()
		must.Eq(t, 2, after.Commits-before.Commits)
		must.Eq(t, 7, after.RowsWritten-before.RowsWritten)
	})
}

// TestHolderReplacesUnknownOutcome fails if recordUnknown records that the
// request was not run, or if supersedes doesn't let the holder replace an
// unknown outcome.
func TestHolderReplacesUnknownOutcome(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		claim := cl.claim(t, cl.a, request("r", ""))
		must.Eq(t, structs.OutcomePending, cl.recorded(t, "r").Outcome)
		cl.endSession("a")
		must.Eq(t, structs.OutcomeUnknown, cl.recorded(t, "r").Outcome)
		cl.a.Finish(cl.withTimeout(time.Second), claim, done)
		time.Sleep(time.Second)
		must.Eq(t, done, cl.recorded(t, "r"))
	})
}

func TestClaimFailsAfterSessionEnd(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.endSession("a")
		_, err := cl.a.Claim(cl.withTimeout(time.Second), request("r", ""))
		must.Eq(t, fault.Fenced, fault.CodeOf(err))
		cl.claim(t, cl.b, request("r", ""))
	})
}

// TestUnusedClaimDoesNotOverwriteNextClaim fails if sameClaim ignores the
// serial: the record that the first claim was not used then overwrites the
// second claim.
func TestUnusedClaimDoesNotOverwriteNextClaim(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.table.SetFaults(fake.TableFaults{Down: true})
		_, err := cl.a.Claim(cl.withTimeout(time.Second), request("r", ""))
		must.Eq(t, fault.Uncertain, fault.CodeOf(err))
		time.Sleep(1100 * time.Millisecond)
		cl.table.SetFaults(fake.TableFaults{})
		// The next claim must not fail fast: a commit succeeds well before the first
		// claim is resolved.
		cl.a.commitHealth.recordResult(time.Now(), nil)
		claim := cl.claim(t, cl.a, request("r", ""))
		time.Sleep(5 * time.Second)
		must.Eq(t, structs.OutcomePending, cl.recorded(t, "r").Outcome)
		cl.a.Finish(cl.withTimeout(time.Second), claim, done)
		must.Eq(t, done, cl.recorded(t, "r"))
	})
}

// TestRecordNotRunRacesWithClaim fails if RecordNotRun returns OutcomeNotRun
// before it is recorded: the request is then claimed and reported as not run.
func TestRecordNotRunRacesWithClaim(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		var claim *Claim
		var wg sync.WaitGroup
		var claimErr error
		wg.Go(func() { claim, claimErr = cl.a.Claim(cl.withTimeout(time.Second), request("r", "")) })
		res, err := cl.b.RecordNotRun(cl.withTimeout(500*time.Millisecond), request("r", ""), "full")
		must.NoError(t, err)
		wg.Wait()
		must.Eq(t, claimErr != nil, res.Outcome == structs.OutcomeNotRun)
		if claimErr == nil {
			must.Eq(t, structs.OutcomeUnknown, res.Outcome)
			cl.a.Finish(cl.withTimeout(time.Second), claim, done)
			must.Eq(t, done, cl.recorded(t, "r"))
			return
		}
		must.Eq(t, structs.OutcomeNotRun, cl.recorded(t, "r").Outcome)
	})
}

func TestRecordNotRunReportsNotRunOnlyOnceRecorded(t *testing.T) {
	for name, f := range map[string]fake.TableFaults{"down": {Down: true}, "hang": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, cl *cluster) {
				cl.table.SetFaults(f)
				res, err := cl.a.RecordNotRun(cl.withTimeout(500*time.Millisecond), request("r", ""), "full")
				must.NoError(t, err)
				must.Eq(t, structs.OutcomeUnknown, res.Outcome)
				cl.table.SetFaults(fake.TableFaults{})
				time.Sleep(5 * time.Second)
				must.Eq(t, structs.OutcomeNotRun, cl.recorded(t, "r").Outcome)
				must.Zero(t, cl.a.Unresolved())
			})
		})
	}
}

func TestRecordNotRunWithLostReply(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.table.SetFaults(fake.TableFaults{LoseReplies: true})
		res, err := cl.a.RecordNotRun(cl.withTimeout(500*time.Millisecond), request("r", ""), "full")
		must.NoError(t, err)
		must.Eq(t, structs.OutcomeNotRun, res.Outcome)
		must.Eq(t, structs.OutcomeNotRun, cl.recorded(t, "r").Outcome)
	})
}

func TestFailedOutcomeWriteIsRetried(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		claim := cl.claim(t, cl.a, request("r", ""))
		cl.table.SetFaults(fake.TableFaults{Down: true})
		cl.a.Finish(cl.withTimeout(500*time.Millisecond), claim, done)
		time.Sleep(time.Minute)
		cl.table.SetFaults(fake.TableFaults{})
		time.Sleep(time.Second)
		must.Eq(t, done, cl.recorded(t, "r"))
		must.Zero(t, cl.a.Unresolved())
	})
}

// TestIDReusedForDifferentRequestIsRejected also covers reads that fail at
// first. It fails if only the first read compares the digest: the caller then
// gets the other request's answer.
func TestIDReusedForDifferentRequestIsRejected(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.a.Finish(cl.ctx, cl.claim(t, cl.a, request("r", "one body")), done)
		_, err := cl.b.Wait(cl.withTimeout(time.Second), request("r", "another body"))
		must.Eq(t, fault.Exists, fault.CodeOf(err))
		_, err = cl.b.RecordNotRun(cl.withTimeout(time.Second), request("r", "another body"), "full")
		must.Eq(t, fault.Exists, fault.CodeOf(err))
		cl.table.SetFaults(fake.TableFaults{Down: true})
		time.AfterFunc(500*time.Millisecond, func() { cl.table.SetFaults(fake.TableFaults{}) })
		_, err = cl.b.Wait(cl.withTimeout(5*time.Second), request("r", "another body"))
		must.Eq(t, fault.Exists, fault.CodeOf(err))
	})
}

func TestLargeAnswerIsReturned(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		large := structs.Result{Outcome: structs.OutcomeDone, Answer: make([]byte, maxInlineAnswer+1)}
		cl.a.Finish(cl.ctx, cl.claim(t, cl.a, request("r", "")), large)
		must.Eq(t, large, cl.recorded(t, "r"))
		res, err := cl.b.Wait(cl.withTimeout(time.Second), request("r", ""))
		must.NoError(t, err)
		must.Eq(t, large, res)
	})
}

// TestWaitReturnsUnknownIfLargeAnswerCannotBeStored guards against an empty
// answer: a caller that repeats the request must not get OutcomeDone without the
// answer.
func TestWaitReturnsUnknownIfLargeAnswerCannotBeStored(t *testing.T) {
	for name, f := range map[string]fake.Faults{"down": {Down: true}, "hang": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, cl *cluster) {
				claim := cl.claim(t, cl.a, request("r", ""))
				cl.objects.SetFaults(f)
				large := structs.Result{Outcome: structs.OutcomeDone, Answer: make([]byte, maxInlineAnswer+1)}
				cl.a.Finish(cl.withTimeout(500*time.Millisecond), claim, large)
				cl.objects.SetFaults(fake.Faults{})
				time.Sleep(time.Second)
				must.Eq(t, structs.OutcomeDone, cl.recorded(t, "r").Outcome)
				res, err := cl.b.Wait(cl.withTimeout(time.Second), request("r", ""))
				must.NoError(t, err)
				must.Eq(t, structs.OutcomeUnknown, res.Outcome)
			})
		})
	}
}

// TestClaimsFailFastWhileTableIsUnavailable fails if the result of the last
// commit is not tracked: each claim then waits until its context ends.
func TestClaimsFailFastWhileTableIsUnavailable(t *testing.T) {
	for name, f := range map[string]fake.TableFaults{"down": {Down: true}, "hang": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, cl *cluster) {
				cl.table.SetFaults(f)
				_, err := cl.a.Claim(cl.withTimeout(time.Second), request("first", ""))
				must.Eq(t, fault.Uncertain, fault.CodeOf(err))
				for range 30 {
					start := time.Now()
					_, err = cl.a.Claim(cl.withTimeout(time.Second), request("r", ""))
					must.Eq(t, fault.Unavailable, fault.CodeOf(err))
					must.Eq(t, start, time.Now())
					time.Sleep(time.Second)
				}
				cl.table.SetFaults(fake.TableFaults{})
				time.Sleep(testSettings.CommitTimeout + testSettings.ResolveRetry + time.Second)
				cl.claim(t, cl.a, request("r", ""))
			})
		})
	}
}

// TestFailedCommitMakesClaimsFailFast fails if the results of commits are not
// recorded, because the second claim then waits like the first. It also fails
// if the window never expires, because a process whose last commit failed then
// never claims again.
func TestFailedCommitMakesClaimsFailFast(t *testing.T) {
	withCluster(t, func(t *testing.T, cl *cluster) {
		cl.table.SetFaults(fake.TableFaults{Down: true})
		for _, wait := range []time.Duration{testSettings.CommitTimeout, 0} {
			start := time.Now()
			_, err := cl.a.Claim(cl.withTimeout(time.Minute), request("r", ""))
			must.Eq(t, fault.Unavailable, fault.CodeOf(err))
			must.LessEq(t, wait+testSettings.Flush, time.Since(start))
		}
		must.Zero(t, cl.a.Unresolved())
		cl.table.SetFaults(fake.TableFaults{})
		time.Sleep(cl.a.commitHealth.window + time.Millisecond)
		cl.claim(t, cl.a, request("r", ""))
	})
}
