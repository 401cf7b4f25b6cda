package session

import (
	"cmp"
	"time"
)

// The default intervals. While the table responds promptly, a session expires
// at most HeartbeatInterval + TTL after its last renewal. That leaves time to take
// over its failure domains within the bound on the start of urgent jobs.
const (
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultTTL               = 2 * time.Second
	defaultPauseLimit        = time.Second
	defaultMinTimeout        = 800 * time.Millisecond
	defaultMaxTimeout        = 3 * time.Second
)

// maxTicksPerHeartbeat limits the rate of early ticks for expiring sessions.
const maxTicksPerHeartbeat = 10

// graceTimeouts is the number of operation timeouts within which a live
// session is renewed: one for an operation that gets no answer and one for
// its retry.
const graceTimeouts = 2

// Config holds a session's intervals. Zero fields take the defaults.
type Config struct {
	// HeartbeatInterval is the time between renewals, and between scans.
	HeartbeatInterval time.Duration
	// TTL is how long the revision of another session may stay unchanged
	// before an observer deletes the session.
	TTL time.Duration
	// PauseLimit is the longest pause of this process after which its session
	// is still trusted without confirmation by the table.
	PauseLimit time.Duration
	// MinTimeout and MaxTimeout bound the timeout of a table operation.
	MinTimeout time.Duration
	MaxTimeout time.Duration
}

func (c Config) withDefaults() Config {
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, defaultHeartbeatInterval)
	c.TTL = cmp.Or(c.TTL, defaultTTL)
	c.PauseLimit = cmp.Or(c.PauseLimit, defaultPauseLimit)
	c.MinTimeout = cmp.Or(c.MinTimeout, defaultMinTimeout)
	c.MaxTimeout = cmp.Or(c.MaxTimeout, defaultMaxTimeout)
	return c
}
