// Package ingress bounds the memory and the descriptors that clients can make a
// process use: the bodies that are being received, the processing of complete ones,
// the connections and the headers. See docs/design/ingress-limits.md.
package ingress

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/semaphore"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	// linesPerSecond limits the log lines about refusals, per event and second. The
	// counters tell their number.
	linesPerSecond = 5
	// refusalRetryAfter is the time after which a refused caller may retry. The
	// budget is free again as soon as the oldest bodies have been aborted.
	refusalRetryAfter = time.Second
	// Parts of the processing memory reserved for small bodies, so that they don't wait
	// for large ones, and for messages of links, so that they don't wait for callers: a
	// link is replaced after 0.65 s without a message.
	smallProcessingShare = 4
	linkProcessingShare  = 8
	// parsingShare is the divisor of the processor cores that parse large bodies.
	parsingShare = 2
)

// Gate bounds the bodies and connections of a process. All its listeners share one.
// It is safe for concurrent use.
type Gate struct {
	limits     Limits
	log        *zap.Logger
	startedAt  time.Time
	processing *sharedMemory // for large bodies
	small      *sharedMemory // for small bodies
	links      *sharedMemory // for messages of links
	onRefusal  func(Reason)
	conns      atomic.Int64
	turns      *turns

	mu     sync.Mutex
	ledger *ledger
	bodies map[*entry]*Body
	freed  chan struct{} // closed when an aborted body returns its memory
}

// New returns a gate. onRefusal is called for each refusal.
func New(limits Limits, log *zap.Logger, onRefusal func(Reason)) *Gate {
	sample := func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0)
	}
	small, links := limits.ProcessingBytes/smallProcessingShare, limits.ProcessingBytes/linkProcessingShare
	return &Gate{
		limits: limits, log: log.WithOptions(zap.WrapCore(sample)), startedAt: time.Now(), onRefusal: onRefusal,
		processing: newSharedMemory(limits.ProcessingBytes - small - links),
		small:      newSharedMemory(small), links: newSharedMemory(links),
		turns:  newTurns(max(runtime.GOMAXPROCS(0)/parsingShare, 1)),
		ledger: newLedger(limits.ReceivingBytes), bodies: map[*entry]*Body{}, freed: make(chan struct{}),
	}
}

// Stats are the gauges of a gate.
type Stats struct {
	BytesHeld   int64 // of bodies that are being received or wait to be processed
	Connections int64
}

// Stats returns the current gauges.
func (g *Gate) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Stats{BytesHeld: g.ledger.held, Connections: g.conns.Load()}
}

func (g *Gate) now() time.Duration { return time.Since(g.startedAt) }

// refuse counts and logs a refusal.
func (g *Gate) refuse(reason Reason, remote string, bytes int64) {
	g.onRefusal(reason)
	g.log.Warn("refused by ingress limits", zap.String("reason", string(reason)), zap.String("remote", remote), zap.Int64("bytes", bytes))
}

// open adds a body that abort makes fail.
func (g *Gate) open(remote string, abort func()) *Body {
	b := &Body{gate: g, remote: remote, abort: abort}
	g.mu.Lock()
	defer g.mu.Unlock()
	b.entry = g.ledger.open(g.now())
	g.bodies[b.entry] = b
	return b
}

// reserve gives bytes of the budget to a body and aborts others for it.
func (g *Gate) reserve(b *Body, n int64) error {
	g.mu.Lock()
	aborted, ok := g.ledger.reserve(b.entry, n)
	victims := make([]*Body, 0, len(aborted))
	for _, e := range aborted {
		victims = append(victims, g.bodies[e])
		delete(g.bodies, e)
	}
	g.mu.Unlock()
	for _, v := range victims {
		g.refuse(ReasonBudget, v.remote, v.entry.held)
		v.abort()
	}
	if ok && g.awaitAborted(b) {
		return nil
	}
	if !b.wasAborted() {
		g.refuse(ReasonBudget, b.remote, b.entry.held)
	}
	return errExhausted
}

// abortTimeout bounds the wait for aborted bodies to return their memory. Their reads fail
// at once, so that it is only reached by a process that gets no processor time.
const abortTimeout = time.Second

// awaitAborted waits until the memory that was given to a body is free, as aborted bodies
// hold theirs until their reads have failed. It reports false if that takes too long or the
// body is aborted meanwhile.
func (g *Gate) awaitAborted(b *Body) bool {
	timeout := time.NewTimer(abortTimeout)
	defer timeout.Stop()
	for {
		g.mu.Lock()
		overdrawn, gone, freed := g.ledger.overdrawn(), b.entry.gone, g.freed
		g.mu.Unlock()
		if gone || !overdrawn {
			return !gone
		}
		select {
		case <-freed:
		case <-timeout.C:
			return false
		}
	}
}

// complete marks a body as received. It reports false if the body was aborted just
// before, since its bytes are then others'.
func (g *Gate) complete(b *Body) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.complete(b.entry)
	return !b.entry.gone
}

func (g *Gate) close(b *Body) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if b.entry.aborting {
		close(g.freed)
		g.freed = make(chan struct{})
	}
	g.ledger.close(b.entry)
	delete(g.bodies, b.entry)
}

func (b *Body) wasAborted() bool {
	b.gate.mu.Lock()
	defer b.gate.mu.Unlock()
	return b.entry.gone
}

// errExhausted refuses a call before anything was done for it.
var errExhausted = &fault.RetryError{
	RetryAfter: refusalRetryAfter, Err: fault.New(fault.Unavailable, "the bodies in progress exceed this instance's memory; the call was not carried out"),
}

// errStalled refuses a call whose body made no progress or wasn't complete in time.
var errStalled = &fault.RetryError{
	RetryAfter: refusalRetryAfter, Err: fault.New(fault.Unavailable, "the body was not complete in time; the call was not carried out"),
}

// sharedMemory is memory that its users wait for in order of arrival.
type sharedMemory struct {
	*semaphore.Weighted
	size int64
}

func newSharedMemory(size int64) *sharedMemory {
	size = max(size, 1)
	return &sharedMemory{semaphore.NewWeighted(size), size}
}
