package breaker

import "time"

// SlowStart ramps the slots used on a fresh server from one to all of them in
// equal steps. The zero value uses all slots at once.
type SlowStart struct {
	from time.Duration
	over time.Duration
}

// StartSlow returns a ramp that begins at a time and lasts for a duration.
func StartSlow(now, over time.Duration) SlowStart {
	return SlowStart{from: now, over: over}
}

// Limit returns how many of a server's slots may be used.
func (s SlowStart) Limit(now time.Duration, slots int) int {
	since := now - s.from
	if since >= s.over {
		return slots
	}
	steps := int(since * time.Duration(slots) / s.over)
	return min(slots, 1+steps)
}

// NextStep returns when Limit grows next, and false when it has ended.
func (s SlowStart) NextStep(now time.Duration, slots int) (time.Duration, bool) {
	if slots <= 0 || s.Limit(now, slots) >= slots {
		return 0, false
	}
	step := s.over / time.Duration(slots)
	done := time.Duration(s.Limit(now, slots))
	next := s.from + done*step
	if next <= now {
		next = now + 1
	}
	return next, true
}
