package port

import (
	"context"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// PeerHello opens a link between two instances.
type PeerHello struct {
	Instance    string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	Domain      string `cbor:"3,keyasint,omitempty"`
	// Address of the sender's own listener, host:port by IP number.
	Address string `cbor:"4,keyasint,omitempty"`
}

// PeerLoad is an instance's heartbeat to its peers.
type PeerLoad struct {
	ConfigNumber int64 `cbor:"1,keyasint,omitempty"`
	// QueuedRequests and BusySlots are the requests held, queued and in flight.
	QueuedRequests int `cbor:"2,keyasint,omitempty"`
	BusySlots      int `cbor:"3,keyasint,omitempty"`
	// Leaving lists backend servers seen leaving.
	Leaving []string `cbor:"4,keyasint,omitempty"`
	// Domains summarizes the failure domains the sender owns.
	Domains  []DomainSummary `cbor:"5,keyasint,omitempty"`
	Draining bool            `cbor:"6,keyasint,omitempty"`
}

// DomainSummary is an owner's view of its failure domain.
type DomainSummary struct {
	Domain           string `cbor:"1,keyasint,omitempty"`
	FreeAccelerators int    `cbor:"2,keyasint,omitempty"`
	// LargestBlock is the most accelerators one gang could get in a rack.
	LargestBlock int `cbor:"3,keyasint,omitempty"`
	QueuedJobs   int `cbor:"4,keyasint,omitempty"`
	// Lent sums the accelerators of gangs beyond their workspace's guarantees,
	// by workspace.
	Lent map[string]int `cbor:"5,keyasint,omitempty"`
}

// PeerNotice hints at something the receiver would else see at its next poll.
type PeerNotice struct {
	// ConfigNumber is a newly accepted ticket, or 0.
	ConfigNumber int64 `cbor:"1,keyasint,omitempty"`
	// Domain has a new or cancelled job, or is "".
	Domain string `cbor:"2,keyasint,omitempty"`
}

// PeerConfigRequest asks for the sender's configuration if newer than After.
type PeerConfigRequest struct {
	After int64 `cbor:"1,keyasint,omitempty"`
}

// PeerConfig answers a PeerConfigRequest. Config is nil when the answerer has
// nothing newer.
type PeerConfig struct {
	Number     int64               `cbor:"1,keyasint,omitempty"`
	Workspaces []structs.Workspace `cbor:"2,keyasint,omitempty"`
	Services   []structs.Service   `cbor:"3,keyasint,omitempty"`
}

// PeerMessage is one message on a link; exactly one field is set.
type PeerMessage struct {
	Hello         *PeerHello         `cbor:"1,keyasint,omitempty"`
	Load          *PeerLoad          `cbor:"2,keyasint,omitempty"`
	Notice        *PeerNotice        `cbor:"3,keyasint,omitempty"`
	ConfigRequest *PeerConfigRequest `cbor:"4,keyasint,omitempty"`
	Config        *PeerConfig        `cbor:"5,keyasint,omitempty"`
}

// PeerEvent is a message received from a peer.
type PeerEvent struct {
	From    PeerHello
	Message PeerMessage
}

// PeerInfo is a peer with an open link on which heartbeats arrive.
type PeerInfo struct {
	Hello PeerHello
	// Load is the last heartbeat.
	Load PeerLoad
}

// Peers is the set of links to the other instances.
type Peers interface {
	// Broadcast queues a message for every live peer. Messages are hints and
	// may be lost.
	Broadcast(m PeerMessage)
	// Send queues a message for one instance. It fails with fault.Unavailable
	// without a live link and fault.Overloaded when the link's queue is full.
	Send(ctx context.Context, instance string, m PeerMessage) error
	// Live returns the peers heard from within the read deadline.
	Live() []PeerInfo
}
