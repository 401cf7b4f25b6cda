package ingress

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const testLimit = 16 * smallBodyBytes

// openWith adds an incomplete body with n bytes.
func openWith(t *testing.T, l *ledger, n int64) *entry {
	t.Helper()
	e := l.open(0)
	aborted, ok := l.reserve(e, n)
	must.True(t, ok)
	must.SliceEmpty(t, aborted)
	return e
}

// Clients that stall just before the end of a body must not lock out others.
func TestOldestIncompleteBodiesAreAbortedFirst(t *testing.T) {
	l := newLedger(testLimit)
	oldest, second, third := openWith(t, l, 4*smallBodyBytes), openWith(t, l, 4*smallBodyBytes), openWith(t, l, 4*smallBodyBytes)
	e := l.open(0)
	aborted, ok := l.reserve(e, 6*smallBodyBytes)
	must.True(t, ok)
	must.Eq(t, []*entry{oldest, second}, aborted)
	must.EqOp(t, 10*smallBodyBytes, l.held)
	_, ok = l.reserve(oldest, 1)
	must.False(t, ok, must.Sprint("an aborted body gets nothing more"))
	l.close(oldest)
	l.close(third)
	l.close(e)
	must.EqOp(t, 0, l.held, must.Sprint("bytes return once"))
}

func TestBodyIsRefusedIfItIsTheOldestIncompleteOne(t *testing.T) {
	l := newLedger(testLimit)
	e := openWith(t, l, 2*smallBodyBytes)
	openWith(t, l, 10*smallBodyBytes)
	aborted, ok := l.reserve(e, smallBodyBytes)
	must.False(t, ok)
	must.SliceEmpty(t, aborted)
}

// A complete body is about to be processed. Others must not take its bytes.
func TestCompleteBodiesAreNotAborted(t *testing.T) {
	l := newLedger(testLimit)
	l.complete(openWith(t, l, 12*smallBodyBytes))
	aborted, ok := l.reserve(l.open(0), 2*smallBodyBytes)
	must.False(t, ok)
	must.SliceEmpty(t, aborted)
}

func TestSmallBodiesAreNotRefusedWhileBudgetIsLeft(t *testing.T) {
	l := newLedger(testLimit)
	l.complete(openWith(t, l, 12*smallBodyBytes))
	for l.held < testLimit {
		l.complete(openWith(t, l, smallBodyBytes-1))
	}
	_, ok := l.reserve(l.open(0), 1)
	must.False(t, ok)
}

// The largest permitted body may exceed the budget of a small machine.
func TestBodyAloneIsNotRefused(t *testing.T) {
	l := newLedger(testLimit)
	e := openWith(t, l, 10*testLimit)
	_, ok := l.reserve(e, testLimit)
	must.True(t, ok)
}

// The bytes held are those of the bodies in the ledger, and exceed the budget by at most
// one small body unless a body is alone.
func TestLedgerHoldsWhatItsBodiesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(testLimit)
		var open []*entry
		for range rapid.IntRange(1, 100).Draw(t, "calls") {
			action := rapid.IntRange(0, 5).Draw(t, "action")
			if len(open) == 0 || action == 0 {
				open = append(open, l.open(0))
				continue
			}
			e := open[rapid.IntRange(0, len(open)-1).Draw(t, "body")]
			switch action {
			case 1:
				l.close(e)
			case 2:
				l.complete(e)
			default:
				l.reserve(e, rapid.Int64Range(1, 3*smallBodyBytes).Draw(t, "bytes"))
			}
			held, holders := int64(0), 0
			for _, o := range open {
				if !o.gone && o.held > 0 {
					held += o.held
					holders++
				}
			}
			must.EqOp(t, held, l.held)
			if holders > 1 && l.held > testLimit+smallBodyBytes {
				t.Fatalf("%d bytes held by %d bodies", l.held, holders)
			}
		}
	})
}

func TestConnectionToCloseIsChosenByWhatItDoes(t *testing.T) {
	const now = time.Minute
	fresh, stalled := now-stalledAge/2, now-2*stalledAge
	for name, c := range map[string]struct {
		conns  []connInfo
		victim int
	}{
		"none":                           {nil, -1},
		"requests are being processed":   {[]connInfo{{connBusy, 0, false}, {connBusy, stalled, false}}, -1},
		"closing before stalled":         {[]connInfo{{connReceiving, stalled, false}, {connClosing, fresh, false}}, 1},
		"stalled before idle":            {[]connInfo{{connIdle, 0, false}, {connReceiving, stalled, false}, {connNew, stalled + 1, false}}, 1},
		"no request yet counts likewise": {[]connInfo{{connReceiving, stalled + 1, false}, {connSending, stalled + 2, false}, {connNew, stalled, false}}, 2},
		"idle before fresh":              {[]connInfo{{connNew, fresh, false}, {connIdle, fresh, false}, {connIdle, fresh - 1, false}}, 2},
		"unhandled input":                {[]connInfo{{connNew, 0, true}, {connReceiving, 0, true}, {connNew, fresh, false}}, 2},
		"only unhandled input":           {[]connInfo{{connNew, 0, true}, {connReceiving, 0, true}}, -1},
		"oldest of the fresh":            {[]connInfo{{connBusy, 0, false}, {connNew, fresh, false}, {connReceiving, fresh - 1, false}}, 2},
	} {
		t.Run(name, func(t *testing.T) { must.EqOp(t, c.victim, chooseVictim(c.conns, now)) })
	}
}

// The smallest machine must serve the largest body, and as many connections as a load
// balancer and a few hundred callers open.
func TestLimitsOfSmallestMachine(t *testing.T) {
	l := Derive(144 << 20)
	must.GreaterEq(t, 8<<20, l.ReceivingBytes/4*3)
	must.GreaterEq(t, 400, l.Conns)
	all := l.ReceivingBytes + l.ProcessingBytes + int64(l.Conns)*(receiveBufferBytes+connBytes)
	must.LessEq(t, 144<<20/2, all, must.Sprint("half is left for the process itself"))
}

// Guards against memory that is given to a body while aborted bodies still hold it: their
// reads fail only once their goroutines run, which takes long in a busy process.
func TestAbortedBodiesHoldTheirMemoryUntilTheyAreClosed(t *testing.T) {
	l := newLedger(4 * smallBodyBytes)
	old := l.open(0)
	_, ok := l.reserve(old, 3*smallBodyBytes)
	must.True(t, ok)
	aborted, ok := l.reserve(l.open(1), 2*smallBodyBytes)
	must.True(t, ok)
	must.Eq(t, []*entry{old}, aborted)
	must.True(t, l.overdrawn())
	l.close(old)
	must.False(t, l.overdrawn())
	l.close(old)
	must.EqOp(t, 2*smallBodyBytes, l.held)
	must.EqOp(t, 0, l.aborting)
}
