package session

import (
	"context"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

// renewTries bounds the tries within one tick. A second try at once covers a
// connection that went silent.
const renewTries = 2

// renew moves the session's row. It fails when the table didn't confirm that
// the row moved; a lost session starts its next incarnation at once.
func (s *Session) renew(ctx context.Context) error {
	err := errNotRenewed()
	for range renewTries {
		began := time.Now()
		err = s.renewOnce(ctx)
		if err == nil {
			s.confirmed(began)
			return nil
		}
		s.interrupt()
		if ctx.Err() != nil {
			break
		}
	}
	s.unconfirmed()
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
	s.beat++
	s.mu.Lock()
	key := store.SessionKey(s.incarnation)
	value := row{
		Instance: s.self.Instance,
		Domain:   s.self.Domain,
		Address:  s.self.Address,
		Beat:     s.beat,
		Draining: s.draining,
	}
	s.mu.Unlock()
	txn := new(store.Txn)
	if s.revision == 0 {
		txn.Create(key, value)
	} else {
		txn.Update(key, s.revision, value)
	}
	ctx, done := s.start(ctx)
	revision, err := s.store.Commit(ctx, txn)
	done(err)
	return revision, err
}

// resync reads the row back. Only this incarnation writes it, so that a row
// found is our own, whichever try of ours wrote it.
func (s *Session) resync(ctx context.Context) error {
	key := store.SessionKey(s.Incarnation())
	ctx, done := s.start(ctx)
	rows, err := s.store.Get(ctx, key)
	done(err)
	if err != nil {
		return err
	}
	found, ok := rows[key]
	if !ok && s.revision != 0 {
		s.lose()
		return errNotRenewed()
	}
	if !ok || found.Revision == s.revision {
		return errNotRenewed()
	}
	s.revision = found.Revision
	return nil
}

// lose gives the incarnation up and names the next.
func (s *Session) lose() {
	s.revision = 0
	s.mu.Lock()
	lost := s.incarnation
	s.incarnation = newIncarnation(s.self.Instance)
	s.established = false
	s.state = Lost
	s.mu.Unlock()
	s.publish(Event{Kind: EventLost, Incarnation: lost})
}

// confirmed records a renewal that began at a time.
func (s *Session) confirmed(began time.Time) {
	s.mu.Lock()
	s.established = true
	s.pulse.verify(began)
	verified := s.state != Verified
	s.state = Verified
	incarnation := s.incarnation
	s.mu.Unlock()
	if verified {
		s.publish(Event{Kind: EventVerified, Incarnation: incarnation})
	}
}

func (s *Session) unconfirmed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == Verified {
		s.state = Unverified
	}
}
