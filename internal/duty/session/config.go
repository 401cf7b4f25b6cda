package session

import (
	"cmp"
	"time"
)

// The default intervals. A session ends at most Heartbeat + TTL after its last
// renewal, which leaves time to start urgent work within its bound.
const (
	defaultHeartbeat  = 500 * time.Millisecond
	defaultTTL        = 2 * time.Second
	defaultPauseLimit = time.Second
	defaultMinTimeout = 800 * time.Millisecond
	defaultMaxTimeout = 3 * time.Second
)

// maxTicksPerHeartbeat bounds the ticks made early for sessions that end.
const maxTicksPerHeartbeat = 10

// graceTimeouts is the number of operations without an answer after which a
// session that lives must have moved: one try and the one that follows it.
const graceTimeouts = 2

// Config holds a session's intervals. Zero fields take the defaults.
type Config struct {
	// Heartbeat is the time between renewals, and between scans.
	Heartbeat time.Duration
	// TTL is how long an observer waits for another session's revision to
	// move before it ends that session.
	TTL time.Duration
	// PauseLimit is the longest gap in this process's own running that leaves
	// its session trusted without asking the table.
	PauseLimit time.Duration
	// MinTimeout and MaxTimeout bound the wait for one table operation.
	MinTimeout time.Duration
	MaxTimeout time.Duration
}

func (c Config) withDefaults() Config {
	c.Heartbeat = cmp.Or(c.Heartbeat, defaultHeartbeat)
	c.TTL = cmp.Or(c.TTL, defaultTTL)
	c.PauseLimit = cmp.Or(c.PauseLimit, defaultPauseLimit)
	c.MinTimeout = cmp.Or(c.MinTimeout, defaultMinTimeout)
	c.MaxTimeout = cmp.Or(c.MaxTimeout, defaultMaxTimeout)
	return c
}
