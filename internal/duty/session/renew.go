package session

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

// maxRenewAttempts bounds the renewal attempts within one tick. The immediate
// retry covers a connection that stopped responding.
const maxRenewAttempts = 2

// renew updates the session's row. It fails when the table doesn't confirm
// the update at any attempt. A lost session gets its next incarnation at once,
// whose row the next attempt creates.
func (s *Session) renew(ctx context.Context) error {
	err := errNotRenewed()
	for range maxRenewAttempts {
		began := time.Now()
		err = s.renewOnce(ctx)
		if err == nil {
			s.recordConfirmed(began)
			return nil
		}
		s.interrupt()
		if ctx.Err() != nil {
			break
		}
	}
	s.recordUnconfirmed()
	return err
}

func (s *Session) renewOnce(ctx context.Context) error {
	revision, err := s.write(ctx)
	switch fault.CodeOf(err) {
	case "":
		s.revision = revision
		return nil
	case fault.Conflict, fault.Uncertain:
		return s.resync(ctx)
	default:
		return err
	}
}

func (s *Session) write(ctx context.Context) (int64, error) {
	s.heartbeat++
	s.mu.Lock()
	key := store.SessionKey(s.incarnation)
	value := row{
		Instance:  s.self.Instance,
		Domain:    s.self.Domain,
		Address:   s.self.Address,
		Heartbeat: s.heartbeat,
		Draining:  s.draining,
	}
	s.mu.Unlock()
	txn := new(store.Txn)
	if s.revision == 0 {
		txn.Create(key, value)
	} else {
		txn.Update(key, s.revision, value)
	}
	ctx, done := s.startOperation(ctx)
	revision, err := s.store.Commit(ctx, txn)
	done(err)
	return revision, err
}

// resync reads the row back. Only this incarnation writes the row, so any row
// found was written by one of its own attempts.
func (s *Session) resync(ctx context.Context) error {
	key := store.SessionKey(s.Incarnation())
	ctx, done := s.startOperation(ctx)
	rows, err := s.store.Get(ctx, key)
	done(err)
	if err != nil {
		return err
	}
	found, ok := rows[key]
	if !ok && s.revision != 0 {
		s.replaceIncarnation()
		return errNotRenewed()
	}
	if !ok || found.Revision == s.revision {
		return errNotRenewed()
	}
	s.revision = found.Revision
	return nil
}

// replaceIncarnation abandons the lost incarnation and names the next one.
func (s *Session) replaceIncarnation() {
	s.revision = 0
	s.mu.Lock()
	lost := s.incarnation
	s.incarnation = newIncarnation(s.self.Instance)
	s.established = false
	s.state = Lost
	s.mu.Unlock()
	s.publish(Event{Kind: EventLost, Incarnation: lost})
}

// recordConfirmed records a successful renewal that started at began.
func (s *Session) recordConfirmed(began time.Time) {
	s.mu.Lock()
	s.established = true
	s.pauses.recordVerified(began)
	becameVerified := s.state != Verified
	s.state = Verified
	incarnation := s.incarnation
	s.mu.Unlock()
	if becameVerified {
		s.publish(Event{Kind: EventVerified, Incarnation: incarnation})
	}
}

func (s *Session) recordUnconfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == Verified {
		s.state = Unverified
	}
}
