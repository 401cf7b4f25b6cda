package session

import (
	"context"
	"time"
)

// checksPerPauseLimit is the number of checks within the pause limit.
const checksPerPauseLimit = 5

// pauseDetector detects that this process was paused. It doesn't depend on
// the table, so a table outage isn't taken for a pause.
type pauseDetector struct {
	limit     time.Duration
	lastCheck time.Time
	// resumed is the end of the last pause.
	resumed time.Time
	// verified is the start of the last confirmed renewal.
	verified time.Time
}

// check records that the process is running at now.
func (p *pauseDetector) check(now time.Time) {
	if p.paused(now) {
		p.resumed = now
	}
	p.lastCheck = now
}

func (p *pauseDetector) paused(now time.Time) bool {
	return !p.lastCheck.IsZero() && now.Sub(p.lastCheck) > p.limit
}

// recordVerified records that the table confirmed a renewal that started at
// began. A renewal that started before a pause doesn't verify the session after
// it.
func (p *pauseDetector) recordVerified(began time.Time) {
	if began.After(p.verified) {
		p.verified = began
	}
}

// needsVerification reports whether the process is paused at now, or no
// confirmed renewal has started since the end of the last pause.
func (p *pauseDetector) needsVerification(now time.Time) bool {
	if p.paused(now) {
		return true
	}
	return !p.resumed.IsZero() && p.verified.Before(p.resumed)
}

func (s *Session) detectPauses(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.PauseLimit / checksPerPauseLimit)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		s.pauses.check(time.Now())
		s.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
