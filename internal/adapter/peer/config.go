package peer

import (
	"cmp"
	"context"
	"io"
	"time"
)

// Path is the HTTP path at which peers open links.
const Path = "/peer"

// protocolVersion is sent in the hello. Links between different versions are
// rejected, which loses nothing: polling finds everything that a link carries.
const protocolVersion = 1

const (
	defaultHeartbeatInterval = 500 * time.Millisecond
	defaultReadDeadline      = 2 * time.Second
	defaultDialDelay         = 2 * time.Second
	defaultMaxBytes          = 1 << 20
	defaultMaxLinks          = 256
	defaultOutgoingQueueSize = 64
	defaultEventQueueSize    = 256
	// maxHelloBytes bounds the hello, which arrives before the sender is
	// identified.
	maxHelloBytes = 4 << 10
	// maxHintBytes bounds received messages while no requested configuration is
	// pending.
	maxHintBytes = 64 << 10
	// maxHandshakes bounds the accepted connections that await a hello.
	maxHandshakes = 32
	// redialInitial and redialMax are the first and the longest delay between
	// dials to a peer, before jitter of up to 50% either way. redialInitial is
	// also the interval at which a dialer checks for a link that the peer opens.
	redialInitial = 100 * time.Millisecond
	redialMax     = 2 * time.Second
	// closeTimeout bounds the WebSocket closing handshake.
	closeTimeout = 500 * time.Millisecond
)

// Config holds the timeouts and limits of the links. Zero fields take the
// defaults.
type Config struct {
	// HeartbeatInterval is the interval between heartbeats on a link.
	HeartbeatInterval time.Duration
	// ReadDeadline is the time without a message after which a link counts
	// as failed. It also bounds the handshake and each write.
	ReadDeadline time.Duration
	// DialDelay is how long the instance with the higher ID waits for its peer
	// to dial before it dials itself.
	DialDelay time.Duration
	// MaxBytes bounds every message. Received messages are bounded by
	// maxHintBytes as well, unless a requested configuration is pending.
	MaxBytes int64
	// MaxLinks bounds the number of open links.
	MaxLinks int
	// OutgoingQueueSize is the number of messages that may wait to be sent on a
	// link.
	OutgoingQueueSize int
	// EventQueueSize is the number of received messages that may wait to be
	// processed.
	EventQueueSize int
	// Receive reads a message whole and decodes it. abort makes its reader fail. The
	// default reads without a limit other than those above.
	Receive func(ctx context.Context, r io.Reader, abort func(), decode func([]byte)) error
}

func (c Config) withDefaults() Config {
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, defaultHeartbeatInterval)
	c.ReadDeadline = cmp.Or(c.ReadDeadline, defaultReadDeadline)
	c.DialDelay = cmp.Or(c.DialDelay, defaultDialDelay)
	c.MaxBytes = cmp.Or(c.MaxBytes, defaultMaxBytes)
	c.MaxLinks = cmp.Or(c.MaxLinks, defaultMaxLinks)
	c.OutgoingQueueSize = cmp.Or(c.OutgoingQueueSize, defaultOutgoingQueueSize)
	c.EventQueueSize = cmp.Or(c.EventQueueSize, defaultEventQueueSize)
	if c.Receive == nil {
		c.Receive = receiveAll
	}
	return c
}

func receiveAll(_ context.Context, r io.Reader, _ func(), decode func([]byte)) error {
	data, err := io.ReadAll(r)
	if err == nil {
		decode(data)
	}
	return err
}

// Target identifies a peer to open a link to.
type Target struct {
	Instance string
	// Address is host:port, where host is an IP address.
	Address string
}

// Stats holds counters of the links since the mesh was created. Hellos are not
// counted as messages.
type Stats struct {
	// Links is the number of links that are open now.
	Links            int
	MessagesSent     int64
	BytesSent        int64
	MessagesReceived int64
	BytesReceived    int64
	// OutgoingDropped is the number of messages that were not sent because the
	// queue of the link was full or the message exceeded MaxBytes.
	OutgoingDropped int64
	// EventsDropped is the number of received messages that were discarded
	// because the event queue was full or a configuration wasn't requested.
	EventsDropped int64
	LinksOpened   int64
	// LinksDropped is the number of links that ended for any reason.
	LinksDropped int64
	// HandshakesRejected is the number of incoming connections that were rejected
	// or failed before they became a link.
	HandshakesRejected int64
}
