package peer

import (
	"cmp"
	"time"
)

// Path is the HTTP path of the links.
const Path = "/peer"

// protocolVersion is sent with the first message. Links between different
// versions are refused; everything sent on a link is also found by polling.
const protocolVersion = 1

const (
	defaultHeartbeat    = 500 * time.Millisecond
	defaultReadDeadline = 2 * time.Second
	defaultGrace        = 2 * time.Second
	defaultMaxBytes     = 1 << 20
	defaultMaxLinks     = 256
	defaultOutgoing     = 64
	defaultEvents       = 256
	// maxHelloBytes bounds the first message, before the sender is known.
	maxHelloBytes = 4 << 10
	// maxHintBytes bounds messages other than an asked-for configuration.
	maxHintBytes = 64 << 10
	// maxHandshakes bounds the accepted connections without a hello.
	maxHandshakes = 32
	redialInitial = 100 * time.Millisecond
	redialMax     = 2 * time.Second
	// closeLimit bounds the closing handshake.
	closeLimit = 500 * time.Millisecond
)

// Config holds the limits of the links. Zero fields take the defaults.
type Config struct {
	// Heartbeat is the time between heartbeats on a link.
	Heartbeat time.Duration
	// ReadDeadline is the longest silence on a link that is taken for live.
	// It also bounds the handshake and each write.
	ReadDeadline time.Duration
	// Grace is how long the instance with the higher ID waits to be dialed
	// before it dials.
	Grace time.Duration
	// MaxBytes bounds a configuration; other messages have a smaller bound.
	MaxBytes int64
	// MaxLinks bounds the open links.
	MaxLinks int
	// Outgoing is the number of messages that may wait on a link.
	Outgoing int
	// Events is the number of received messages that may wait.
	Events int
}

func (c Config) withDefaults() Config {
	c.Heartbeat = cmp.Or(c.Heartbeat, defaultHeartbeat)
	c.ReadDeadline = cmp.Or(c.ReadDeadline, defaultReadDeadline)
	c.Grace = cmp.Or(c.Grace, defaultGrace)
	c.MaxBytes = cmp.Or(c.MaxBytes, defaultMaxBytes)
	c.MaxLinks = cmp.Or(c.MaxLinks, defaultMaxLinks)
	c.Outgoing = cmp.Or(c.Outgoing, defaultOutgoing)
	c.Events = cmp.Or(c.Events, defaultEvents)
	return c
}

// Target is a peer to be linked with.
type Target struct {
	Instance string
	// Address is host:port by IP number.
	Address string
}

// Stats counts what the links carried since the start.
type Stats struct {
	Links              int
	MessagesSent       int64
	BytesSent          int64
	MessagesReceived   int64
	BytesReceived      int64
	OutgoingDropped    int64
	EventsDropped      int64
	LinksOpened        int64
	LinksDropped       int64
	HandshakesRejected int64
}
