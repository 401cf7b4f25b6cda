package peer

import "sync/atomic"

// counters holds the counters that Stats reports.
type counters struct {
	messagesSent       atomic.Int64
	bytesSent          atomic.Int64
	messagesReceived   atomic.Int64
	bytesReceived      atomic.Int64
	outgoingDropped    atomic.Int64
	eventsDropped      atomic.Int64
	linksOpened        atomic.Int64
	linksDropped       atomic.Int64
	handshakesRejected atomic.Int64
}

func (c *counters) recordSent(bytes int) {
	c.messagesSent.Add(1)
	c.bytesSent.Add(int64(bytes))
}

func (c *counters) recordReceived(bytes int) {
	c.messagesReceived.Add(1)
	c.bytesReceived.Add(int64(bytes))
}

func (c *counters) toStats(links int) Stats {
	return Stats{
		Links:              links,
		MessagesSent:       c.messagesSent.Load(),
		BytesSent:          c.bytesSent.Load(),
		MessagesReceived:   c.messagesReceived.Load(),
		BytesReceived:      c.bytesReceived.Load(),
		OutgoingDropped:    c.outgoingDropped.Load(),
		EventsDropped:      c.eventsDropped.Load(),
		LinksOpened:        c.linksOpened.Load(),
		LinksDropped:       c.linksDropped.Load(),
		HandshakesRejected: c.handshakesRejected.Load(),
	}
}
