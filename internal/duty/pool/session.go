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
	// holdWait is how long a worker may wait for an end before it answers. The
	// answer also carries progress, which tells stalled tasks.
	holdWait = time.Second
	// holdTimeout is how much longer than holdWait an answer may take.
	holdTimeout = 700 * time.Millisecond
	// lookTimeout is how long an answer without a wait may take: a takeover waits
	// for every worker's first.
	lookTimeout = 300 * time.Millisecond
	// orderTimeout is how long an order waits for its answer before it is sent
	// again; a worker answers within a few milliseconds.
	orderTimeout = 450 * time.Millisecond
	// orderTries bounds the sendings of one start.
	orderTries = 4
	// retryPause spaces calls to a worker that doesn't answer.
	retryPause = 150 * time.Millisecond
	// pendingPause spaces looks at a worker whose listed ends wait to be stored.
	pendingPause = 250 * time.Millisecond
	// unreachableAfter is how long a worker may be silent before nothing is
	// started there and its lease is no longer renewed.
	unreachableAfter = 900 * time.Millisecond
)

// reasonFenced is why an owner ends that a worker refused.
const reasonFenced = "a worker has seen a higher fencing token"

// session is the conversation with one worker.
type session struct {
	owner  *Owner
	target port.WorkerTarget
	cancel context.CancelFunc

	mu           sync.Mutex
	clock        leaseClock
	born         int64
	life         int           // counts the lives that were heard
	lifeHeardAt  time.Duration // when the present life was first heard
	acknowledged int64         // the highest end that the worker may forget
	// sameLife is set while holds are answered without a gap. After one, the
	// worker may live anew and number its ends from 1: nothing is acknowledged
	// until it has told its life.
	sameLife   bool
	lastHeard  time.Duration
	reachable  bool
	tried      bool          // a call was answered or failed
	progressed chan struct{} // signalled when acknowledged grows

	// taken is the life that the owner's loop has taken in; only the loop uses it.
	taken int
}

func newSession(o *Owner, target port.WorkerTarget) *session {
	return &session{owner: o, target: target, progressed: make(chan struct{}, 1), lastHeard: o.now()}
}

// run renews the worker's lease and reports what runs there until ctx ends.
func (s *session) run(ctx context.Context) {
	for ctx.Err() == nil {
		sentAt := s.owner.now()
		reply, err := s.hold(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.failed(err)
			_ = wait.For(ctx, retryPause) // ends early only with ctx, which the loop checks
			continue
		}
		life, ok := s.heard(reply.Clock, sentAt)
		if !ok {
			continue
		}
		s.setSameLife(true)
		s.owner.send(ctx, event{kind: evReport, session: s, sentAt: sentAt, reply: reply, life: life})
		if len(reply.Ended) > 0 {
			s.awaitAcknowledged(ctx)
		}
	}
}

// awaitAcknowledged waits until the listed ends are stored, so that the next
// hold doesn't return at once with the same ends.
func (s *session) awaitAcknowledged(ctx context.Context) {
	timer := time.NewTimer(pendingPause)
	defer timer.Stop()
	select {
	case <-s.progressed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *session) hold(ctx context.Context) (port.HoldReply, error) {
	req := port.HoldRequest{Fence: s.owner.epoch}
	s.mu.Lock()
	if s.sameLife {
		req.Acknowledged = s.acknowledged
	}
	now := s.owner.now()
	fresh := s.clock.known && now-s.lastHeard < unreachableAfter+holdWait
	if fresh && s.owner.mayRenew() {
		if left, ok := s.clock.left(now); ok {
			s.owner.deps.Observer.LeaseMargin(left)
		}
		req.LeaseUntil = s.clock.extend(now, leaseLength)
	}
	if s.clock.known && s.reachable {
		req.Wait = holdWait
	}
	s.mu.Unlock()
	patience := holdTimeout
	if req.Wait == 0 {
		patience = lookTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, req.Wait+patience)
	defer cancel()
	return s.owner.deps.Workers.Hold(ctx, s.target, req)
}

// heard takes in the clock of an answer to a request sent at sentAt, and detects
// a new life of the worker. It returns the number of the answering life, and
// false for the answer of a former life that others overtook.
func (s *session) heard(clock port.WorkerClock, sentAt time.Duration) (int, bool) {
	now := s.owner.now()
	s.mu.Lock()
	another := clock.Born != 0 && s.born != 0 && clock.Born != s.born
	if another && sentAt < s.lifeHeardAt {
		s.mu.Unlock()
		s.owner.log.Info("answer of a former life left out", zap.String("worker", s.target.ID), zap.Int64("born", clock.Born))
		return 0, false
	}
	if another {
		s.clock.restart(now, s.owner.deps.LongestLease, clock)
		s.acknowledged = 0
		s.life++
		s.lifeHeardAt = now
	}
	if clock.Born != 0 {
		s.born = clock.Born
	}
	s.clock.read(now, clock)
	regained := !s.reachable
	s.reachable, s.lastHeard = true, now
	life := s.life
	s.mu.Unlock()
	if another {
		s.owner.post(event{kind: evReborn, session: s, life: life})
	}
	if regained {
		s.owner.log.Info("worker answers", zap.String("worker", s.target.ID), zap.Int64("born", clock.Born))
	}
	return life, true
}

func (s *session) setSameLife(same bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sameLife = same
}

func (s *session) failed(err error) {
	s.setSameLife(false)
	if fault.Is(err, fault.Fenced) {
		s.owner.depose(reasonFenced)
		return
	}
	s.mu.Lock()
	silent := s.owner.now() - s.lastHeard
	first := !s.tried
	s.tried = true
	lost := s.reachable && silent >= unreachableAfter
	if lost {
		s.reachable = false
	}
	s.mu.Unlock()
	if first {
		s.owner.post(event{kind: evTried, session: s})
	}
	if lost {
		s.owner.log.Warn("worker silent", zap.String("worker", s.target.ID), zap.Duration("silent", silent), zap.Error(err))
		s.owner.post(event{kind: evUnreachable, session: s})
	}
}

// lapsed reports whether every lease that could run at the worker has expired.
func (s *session) lapsed(now, inherited time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reachable {
		return false
	}
	return now >= max(s.clock.lapsesAt, inherited)
}

// acknowledge lets the worker forget the ends of a life up to sequence. Another
// life numbers its ends anew.
func (s *session) acknowledge(life int, sequence int64) {
	s.mu.Lock()
	grown := life == s.life && sequence > s.acknowledged
	if grown {
		s.acknowledged = sequence
	}
	s.mu.Unlock()
	if grown {
		select {
		case s.progressed <- struct{}{}:
		default: // a signal is pending already
		}
	}
}

// start sends a start until it is answered; the same run may be sent again, but
// not after this process was suspended: its ownership has to be confirmed first.
func (s *session) start(ctx context.Context, o planner.Order, decidedAt time.Duration) {
	unanswered := false
	for range orderTries {
		now := s.owner.now()
		if now-decidedAt > orderTimeout+staleAfter {
			s.owner.log.Warn("start not sent, suspended since it was decided", zap.String("job", o.Task.Job), zap.Int("step", o.Task.Step),
				zap.Int("index", o.Task.Index), zap.Int64("run", o.Run), zap.String("worker", s.target.ID), zap.Duration("gap", now-decidedAt))
			break
		}
		decidedAt = now
		s.mu.Lock()
		order := port.StartOrder{
			Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket,
			Fence: s.owner.epoch, LeaseUntil: s.clock.extend(now, leaseLength),
		}
		s.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		clock, rejected, err := s.owner.deps.Workers.Start(call, s.target, order)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			life, ok := s.heard(clock, now)
			if !ok {
				unanswered = true
				continue
			}
			if rejected == port.RejectedFence {
				s.owner.depose(reasonFenced)
				return
			}
			if rejected == port.RejectedLate {
				continue
			}
			if rejected != port.NotRejected && unanswered {
				// The earlier sending may still be carried out.
				s.owner.send(ctx, event{kind: evUnanswered, session: s, order: o})
				return
			}
			s.owner.send(ctx, event{kind: evStarted, session: s, life: life, order: o, rejected: rejected})
			return
		}
		unanswered = unanswered || !fault.Is(err, fault.Unavailable)
		s.owner.log.Info("start not answered", zap.String("job", o.Task.Job), zap.Int("step", o.Task.Step), zap.Int("index", o.Task.Index),
			zap.Int64("run", o.Run), zap.String("worker", s.target.ID), zap.Error(err))
	}
	s.owner.send(ctx, event{kind: evUnanswered, session: s, order: o})
}

// stop sends a stop until it is confirmed.
func (s *session) stop(ctx context.Context, o planner.Order) {
	for ctx.Err() == nil {
		sentAt := s.owner.now()
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		clock, err := s.owner.deps.Workers.Stop(call, s.target, o.Task, o.Run, s.owner.epoch)
		cancel()
		if err == nil {
			life, ok := s.heard(clock, sentAt)
			if !ok {
				continue
			}
			s.owner.send(ctx, event{kind: evStopped, session: s, life: life, order: o})
			return
		}
		if fault.Is(err, fault.Fenced) {
			s.owner.depose(reasonFenced)
			return
		}
		_ = wait.For(ctx, retryPause) // ends early only with ctx, which the loop checks
	}
}
