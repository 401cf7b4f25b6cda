package breaker

import "time"

// SlowStart increases the number of a server's slots in use from one to all in
// equal steps. The zero value permits all slots at once.
type SlowStart struct {
	start    time.Duration
	duration time.Duration
}

// NewSlowStart returns a SlowStart that starts at time now and lasts for a
// duration.
func NewSlowStart(now, duration time.Duration) SlowStart {
	return SlowStart{start: now, duration: duration}
}

// Limit returns the number of a server's slots that may be used.
func (s SlowStart) Limit(now time.Duration, slots int) int {
	elapsed := now - s.start
	if elapsed >= s.duration {
		return slots
	}
	steps := int(elapsed * time.Duration(slots) / s.duration)
	return min(slots, 1+steps)
}

// NextStep returns when Limit next increases, and false once it has reached all
// slots.
func (s SlowStart) NextStep(now time.Duration, slots int) (time.Duration, bool) {
	if slots <= 0 || s.Limit(now, slots) >= slots {
		return 0, false
	}
	step := s.duration / time.Duration(slots)
	limit := time.Duration(s.Limit(now, slots))
	next := s.start + limit*step
	if next <= now {
		next = now + 1
	}
	return next, true
}
