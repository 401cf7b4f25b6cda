package session

import (
	"context"
	"time"
)

// pulsesPerLimit is how many times the pulse is taken within the pause limit.
const pulsesPerLimit = 5

// pulse finds out that this process didn't run for a while. It doesn't depend
// on the table, so that an outage isn't taken for a pause.
type pulse struct {
	limit time.Duration
	last  time.Time
	// woke is the end of the last pause.
	woke time.Time
	// verified is the beginning of the last confirmed renewal.
	verified time.Time
}

// take records that the process runs at now.
func (p *pulse) take(now time.Time) {
	if p.gap(now) {
		p.woke = now
	}
	p.last = now
}

func (p *pulse) gap(now time.Time) bool {
	return !p.last.IsZero() && now.Sub(p.last) > p.limit
}

// verify records that the table confirmed the session by an operation that
// began at a time. The answer to one sent before a pause proves nothing about
// the time after.
func (p *pulse) verify(began time.Time) {
	if began.After(p.verified) {
		p.verified = began
	}
}

// doubtful reports whether a pause is under way at now, or none of the
// confirmed operations began after the last one's end.
func (p *pulse) doubtful(now time.Time) bool {
	if p.gap(now) {
		return true
	}
	return !p.woke.IsZero() && p.verified.Before(p.woke)
}

func (s *Session) runPulse(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.PauseLimit / pulsesPerLimit)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		s.pulse.take(time.Now())
		s.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
