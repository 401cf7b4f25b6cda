package relay

import (
	"sync"
	"time"
)

// whole is the scope of calls that concern no single part.
const whole = scope("")

// partRetry is how long a failed part is passed over before it is tried again.
const partRetry = 700 * time.Millisecond

// partHealth remembers which parts failed lately. The zero value is ready.
type partHealth struct {
	mu     sync.Mutex
	failed map[string]time.Time
}

func (p *partHealth) fail(part string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed == nil {
		p.failed = map[string]time.Time{}
	}
	p.failed[part] = time.Now()
}

func (p *partHealth) clear(part string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failed, part)
}

func (p *partHealth) isDown(part string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.failed[part]
	return ok && time.Since(at) < partRetry
}
