package pool

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/planner"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/wait"
)

const (
	// holdWait is how long a worker without runs may wait before it answers a hold.
	// Each answer also carries progress, by which stalled tasks are detected.
	holdWait = time.Second
	// busyHoldWait replaces holdWait for a worker with runs. A result whose hold was
	// lost is reported with the next one, which is in time for most urgent jobs and
	// before the worker counts as unreachable.
	busyHoldWait = 500 * time.Millisecond
	// holdGrace and busyHoldGrace are how much longer than the wait an answer may
	// take.
	holdGrace     = 700 * time.Millisecond
	busyHoldGrace = 250 * time.Millisecond
	// probeTimeout bounds a hold without a wait. It is short because a takeover
	// waits for the first answer of every worker.
	probeTimeout = 300 * time.Millisecond
	// orderTimeout is how long an order waits for its answer before it is resent. A
	// worker normally answers within a few milliseconds.
	orderTimeout = 450 * time.Millisecond
	// maxStartTries bounds how often one start is sent.
	maxStartTries = 4
	// workerRetryDelay is the delay between calls to a worker that doesn't answer.
	workerRetryDelay = 150 * time.Millisecond
	// ackWait bounds the wait for reported results to be stored before the next hold.
	ackWait = 250 * time.Millisecond
	// unreachableAfter is how long a worker may leave calls unanswered before it
	// gets no more starts. Its lease is renewed for holdWait longer, as an answer may
	// take that long.
	unreachableAfter = 900 * time.Millisecond
)

// reasonFenced is the reason that an owner logs after a worker rejected its
// fencing token.
const reasonFenced = "a worker has seen a higher fencing token"

// session is an owner's connection to one worker.
type session struct {
	owner  *Owner
	target port.WorkerTarget
	cancel context.CancelFunc

	mu            sync.Mutex
	clock         leaseClock
	unanswered    unansweredOrders
	incarnationID int64 // as the worker states it, 0 if not known yet
	// incarnation numbers the worker's incarnations from 0. incarnationSince is
	// when the current one was first seen.
	incarnation      int
	incarnationSince time.Duration
	acknowledged     int64 // the highest result sequence that the worker may drop
	// sameIncarnation is set while holds are answered without a gap. After a gap
	// the worker may have restarted and number its results from 1 again, so nothing
	// is acknowledged until an answer identifies its incarnation.
	sameIncarnation bool
	lastContact     time.Duration
	answeredAt      time.Duration // when the latest call that was answered was sent
	busy            bool          // the last report had runs
	reachable       bool          // false before the first answer, and after unreachableAfter without one
	failedBefore    bool          // a hold has failed
	ackAdvanced     chan struct{} // signaled when acknowledged grows

	// inherited is what a previous owner stored about the worker; nil if there was none, or
	// if it didn't use the worker.
	inherited *inheritedWorker

	// appliedIncarnation is the last incarnation that the owner's loop has applied.
	// reported is set once it has applied a report, speedRestored once it has looked for a
	// stored speed of the worker. listed is what the stored list of
	// workers tells of the worker, or will tell with its next write. They are accessed
	// only by the loop.
	appliedIncarnation int
	reported           bool
	speedRestored      bool
	listed             listedLease
}

func newSession(o *Owner, target port.WorkerTarget) *session {
	return &session{owner: o, target: target, ackAdvanced: make(chan struct{}, 1), lastContact: o.now()}
}

// run renews the worker's lease and reports its runs until ctx ends.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := s.owner.now()
		reply, err := s.hold(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.callFailed(err)
			if s.owner.now()-sentAt < workerRetryDelay { // it failed at once, as without a connection
				_ = wait.For(ctx, workerRetryDelay) // ends early only with ctx, which the loop checks
			}
			continue
		}
		incarnation, ok := s.recordContact(reply.Clock, sentAt)
		if !ok {
			continue
		}
		s.setSameIncarnation(true)
		s.owner.send(ctx, event{kind: evReport, session: s, sentAt: sentAt, reply: reply, incarnation: incarnation})
		if len(reply.Results) > 0 {
			s.awaitAcknowledged(ctx)
		}
	}
}

// awaitAcknowledged waits until the reported results are stored, since the next
// hold would return at once with the same results.
func (s *session) awaitAcknowledged(ctx context.Context) {
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	select {
	case <-s.ackAdvanced:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// hold sends one hold, a long poll for the worker's runs and results. It renews the
// lease if the worker answered recently and the owner may renew. It doesn't wait
// for a result at a worker that is unreachable, or that has left the last hold without an
// answer.
func (s *session) hold(ctx context.Context) (port.HoldReply, error) {
	req := port.HoldRequest{FencingToken: s.owner.epoch}
	s.mu.Lock()
	if s.sameIncarnation {
		req.AcknowledgedSequence = s.acknowledged
	}
	now := s.owner.now()
	recentContact := s.clock.hasReading && now-s.lastContact < unreachableAfter+holdWait
	if recentContact && s.owner.mayAct() {
		if left, ok := s.clock.remaining(now); ok {
			s.owner.deps.Observer.LeaseMargin(left)
		}
		req.LeaseEnd = s.clock.extend(now, leaseDuration)
	}
	grace := probeTimeout
	switch {
	case !s.clock.hasReading || !s.reachable:
	case !s.sameIncarnation: // a restart is to be noticed at once
		grace = holdGrace
	case s.busy:
		req.Wait, grace = busyHoldWait, busyHoldGrace
	default:
		req.Wait, grace = holdWait, holdGrace
	}
	if s.owner.needsAnswers() {
		req.Wait /= 2
	}
	orderID := 0
	if req.LeaseEnd > 0 {
		orderID = s.unanswered.sent(now)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, req.Wait+grace)
	defer cancel()
	reply, err := s.owner.deps.Workers.Hold(ctx, s.target, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered.done(orderID, err)
	if err == nil {
		s.busy = len(reply.Running) > 0
	}
	return reply, err
}

// startDone records the end of a call that sent a start at sentAt.
func (s *session) startDone(id int, err error, key runKey, sentAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered.done(id, err)
	if err != nil && !fault.NoEffect(err) {
		s.unanswered.startUncertain(key, sentAt)
	}
}

func (s *session) uncertainStarts(now time.Duration) []runKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unanswered.uncertainStarts(now)
}

// recordContact applies the clock of an answer to a request sent at sentAt, and
// detects a restart of the worker. It returns the number of the answering
// incarnation. It returns false, and the answer counts as none, if that may be a
// previous incarnation or one that no answer has identified yet.
func (s *session) recordContact(clock port.WorkerClock, sentAt time.Duration) (int, bool) {
	now := s.owner.now()
	s.mu.Lock()
	restarted := clock.Incarnation != 0 && s.incarnationID != 0 && clock.Incarnation != s.incarnationID
	ignored := ""
	switch {
	case clock == (port.WorkerClock{}): // a rejection without a body
	case clock.Incarnation == 0 && sentAt < s.incarnationSince, restarted && sentAt < s.incarnationSince:
		ignored = "answer of a previous incarnation ignored"
	case clock.Incarnation == 0 && s.clock.restartedBefore(clock.Now, sentAt):
		s.clock.suspectLongest(now, s.owner.deps.MaxLease)
		ignored = "answer of an unknown incarnation ignored"
	}
	if ignored != "" {
		s.mu.Unlock()
		s.owner.log.Info(ignored, zap.String("worker", s.target.ID), zap.Int64("born", clock.Incarnation), zap.Duration("clock", clock.Now))
		return 0, false
	}
	if restarted {
		s.clock.restart(now, s.owner.deps.MaxLease, clock, &s.unanswered)
		s.acknowledged = 0
		s.incarnation++
		s.incarnationSince = now
	}
	if clock.Incarnation != 0 {
		if s.incarnationID == 0 && !s.inherited.confirms(clock.Incarnation, s.owner.deps.Store) {
			s.clock.suspectLongest(now, s.owner.deps.MaxLease)
		}
		s.incarnationID = clock.Incarnation
	}
	s.clock.update(now, clock)
	s.unanswered.answered(sentAt)
	regained := !s.reachable
	s.reachable, s.lastContact = true, now
	if clock != (port.WorkerClock{}) { // such a rejection may not have looked at the fencing token
		s.answeredAt = max(s.answeredAt, sentAt)
	}
	incarnation := s.incarnation
	s.mu.Unlock()
	if restarted {
		s.owner.post(event{kind: evRestarted, session: s, incarnation: incarnation})
	}
	if regained {
		s.owner.log.Info("worker answers", zap.String("worker", s.target.ID), zap.Int64("born", clock.Incarnation))
	}
	return incarnation, true
}

// lastAnswered returns when the latest call was sent that the worker answered. It had
// seen no higher fencing token by then.
func (s *session) lastAnswered() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredAt
}

// setSameIncarnation reports whether it changed sameIncarnation.
func (s *session) setSameIncarnation(same bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.sameIncarnation != same
	s.sameIncarnation = same
	return changed
}

func (s *session) callFailed(err error) {
	gap := s.setSameIncarnation(false)
	if fault.Is(err, fault.Fenced) {
		s.owner.resign(reasonFenced)
		return
	}
	s.mu.Lock()
	sinceContact := s.owner.now() - s.lastContact
	firstFailure := !s.failedBefore
	s.failedBefore = true
	unreachable := s.reachable && sinceContact >= unreachableAfter
	if unreachable {
		s.reachable = false
	}
	s.mu.Unlock()
	if firstFailure {
		s.owner.post(event{kind: evFirstFailure, session: s})
	}
	if gap {
		s.owner.post(event{kind: evContactBroken, session: s})
	}
	if unreachable {
		s.owner.log.Warn("worker silent", zap.String("worker", s.target.ID), zap.Duration("silent", sinceContact), zap.Error(err))
		s.owner.post(event{kind: evUnreachable, session: s})
	}
}

// leasesExpired reports whether the confirmed leases at the worker must have expired, and
// whether all must have. Neither is so while it is reachable. inherited tells when those
// granted by previous owners have expired.
func (s *session) leasesExpired(now time.Duration, inherited inheritedLeases) (confirmed, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reachable || now < max(s.clock.localExpiry, inherited.confirmedUntil) {
		return false, false
	}
	return true, now >= max(inherited.longestUntil, s.unanswered.longestLeaseUntil(s.owner.deps.MaxLease))
}

// identity returns the worker's known incarnation, 0 if there is none, and until when its
// lease may exceed what this owner requested.
func (s *session) identity() (incarnation int64, longLeaseUntil time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnationID, s.clock.longUntil
}

// acknowledge lets the worker drop the results of an incarnation up to sequence.
// Another incarnation numbers its results from 1 again.
func (s *session) acknowledge(incarnation int, sequence int64) {
	s.mu.Lock()
	grown := incarnation == s.incarnation && sequence > s.acknowledged
	if grown {
		s.acknowledged = sequence
	}
	s.mu.Unlock()
	if grown {
		select {
		case s.ackAdvanced <- struct{}{}:
		default: // a signal is already pending
		}
	}
}

// start sends a start until it is answered, at most maxStartTries times, or the worker is
// known to be of another incarnation than the one that the start was decided for. It resends
// a start whose lease had expired on arrival, unless the worker's failure domain has been
// evacuated since. The same run may be resent while the
// owner may act, but not after this process was suspended: its ownership has to be
// confirmed first.
func (s *session) start(ctx context.Context, order planner.Order, incarnation int, decidedAt time.Duration) {
	unanswered, sent := false, false
	for range maxStartTries {
		now := s.owner.now()
		if now-decidedAt > orderTimeout+suspensionThreshold {
			s.owner.log.Warn("start not sent, suspended since it was decided", zap.String("job", order.Task.Job), zap.Int("step", order.Task.Step),
				zap.Int("index", order.Task.Index), zap.Int64("run", order.Run), zap.String("worker", s.target.ID), zap.Duration("gap", now-decidedAt))
			break
		}
		if !s.owner.mayAct() {
			break
		}
		if !s.owner.mayStartIn(order.Domain, now) {
			if sent {
				break
			}
			s.owner.send(ctx, event{kind: evStartWithdrawn, session: s, order: order})
			return
		}
		decidedAt, sent = now, true
		s.mu.Lock()
		if s.incarnation != incarnation {
			s.mu.Unlock()
			s.owner.log.Info("start not sent, the worker has restarted since it was decided", zap.String("job", order.Task.Job), zap.Int("step", order.Task.Step),
				zap.Int("index", order.Task.Index), zap.Int64("run", order.Run), zap.String("worker", s.target.ID))
			break
		}
		startOrder := port.StartOrder{
			Task: order.Task, Run: order.Run, Spec: order.Spec, Checkpoint: order.Checkpoint, Ticket: order.Ticket,
			FencingToken: s.owner.epoch, LeaseEnd: s.clock.extend(now, leaseDuration),
		}
		orderID := s.unanswered.sent(now)
		s.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		clock, rejected, err := s.owner.deps.Workers.Start(call, s.target, startOrder)
		cancel()
		s.startDone(orderID, err, runKey{order.Task, order.Run}, now)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			incarnation, ok := s.recordContact(clock, now)
			if !ok {
				unanswered = true
				continue
			}
			if rejected == port.RejectedFencingToken {
				s.owner.resign(reasonFenced)
				return
			}
			if rejected == port.RejectedLeaseExpired {
				continue
			}
			if rejected != port.NotRejected && unanswered {
				// An earlier attempt may still take effect.
				s.owner.send(ctx, event{kind: evStartUnanswered, session: s, order: order})
				return
			}
			s.owner.send(ctx, event{kind: evStartAnswered, session: s, incarnation: incarnation, order: order, rejected: rejected, resent: unanswered})
			return
		}
		unanswered = unanswered || !fault.Is(err, fault.Unavailable)
		s.owner.log.Info("start not answered", zap.String("job", order.Task.Job), zap.Int("step", order.Task.Step), zap.Int("index", order.Task.Index),
			zap.Int64("run", order.Run), zap.String("worker", s.target.ID), zap.Error(err))
	}
	s.owner.send(ctx, event{kind: evStartUnanswered, session: s, order: order})
}

// stop sends a stop until it is confirmed, ctx ends or the worker rejects the
// fencing token.
func (s *session) stop(ctx context.Context, order planner.Order) {
	for ctx.Err() == nil {
		sentAt := s.owner.now()
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		clock, err := s.owner.deps.Workers.Stop(call, s.target, order.Task, order.Run, s.owner.epoch)
		cancel()
		if err == nil {
			incarnation, ok := s.recordContact(clock, sentAt)
			if !ok {
				_ = wait.For(ctx, workerRetryDelay) // ends early only with ctx, which the loop checks
				continue
			}
			s.owner.send(ctx, event{kind: evStopConfirmed, session: s, incarnation: incarnation, order: order})
			return
		}
		if fault.Is(err, fault.Fenced) {
			s.owner.resign(reasonFenced)
			return
		}
		_ = wait.For(ctx, workerRetryDelay) // ends early only with ctx, which the loop checks
	}
}
