package port

import (
	"context"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// PeerHello opens a link between two instances.
type PeerHello struct {
	Instance    string
	Incarnation string
	Domain      string
	// Address of the sender's own listener, host:port by IP number.
	Address string
}

// PeerLoad is an instance's heartbeat to its peers.
type PeerLoad struct {
	ConfigNumber int64
	// QueuedRequests and BusySlots describe the instance's request dispatch.
	QueuedRequests int
	BusySlots      int
	// Leaving lists backend servers seen leaving.
	Leaving []string
	// Domains summarizes the failure domains the sender owns.
	Domains  []DomainSummary
	Draining bool
}

// DomainSummary is an owner's view of its failure domain.
type DomainSummary struct {
	Domain           string
	FreeAccelerators int
	// LargestBlock is the most accelerators one gang could get in a rack.
	LargestBlock int
	QueuedJobs   int
}

// PeerNotice hints at something the receiver would else see at its next poll.
type PeerNotice struct {
	// ConfigNumber is a newly accepted ticket, or 0.
	ConfigNumber int64
	// Domain has a new or cancelled job, or is "".
	Domain string
}

// PeerConfigRequest asks for the sender's configuration if newer than After.
type PeerConfigRequest struct {
	After int64
}

// PeerConfig answers a PeerConfigRequest. Config is nil when the answerer has
// nothing newer.
type PeerConfig struct {
	Number     int64
	Workspaces []structs.Workspace
	Services   []structs.Service
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
