package pool

import "time"

// paced is a duty of the owner's loop that is under way once at most, with a
// pause after a failure.
type paced struct {
	busy    bool
	resumes time.Duration // not before this
}

func (p *paced) may(now time.Duration) bool { return !p.busy && now >= p.resumes }
