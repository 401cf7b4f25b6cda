package port

import (
	"context"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// PeerHello is the first message on a link and identifies its sender.
type PeerHello struct {
	Instance    string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	Domain      string `cbor:"3,keyasint,omitempty"`
	// Address is the sender's listen address as IP:port.
	Address string `cbor:"4,keyasint,omitempty"`
}

// PeerHeartbeat is the state that an instance sends to its peers at each
// heartbeat.
type PeerHeartbeat struct {
	ConfigNumber int64 `cbor:"1,keyasint,omitempty"`
	// QueuedRequests is the number of requests that the sender holds, both queued
	// and running.
	QueuedRequests int `cbor:"2,keyasint,omitempty"`
	// BusySlots is added to QueuedRequests by the receiver. The sender leaves it 0,
	// since QueuedRequests already includes the running requests.
	BusySlots int `cbor:"3,keyasint,omitempty"`
	// Leaving lists the instances that the sender itself found to be leaving, not
	// those that other peers reported to it.
	Leaving []string `cbor:"4,keyasint,omitempty"`
	// Domains summarizes the failure domains that the sender owns.
	Domains  []DomainSummary `cbor:"5,keyasint,omitempty"`
	Draining bool            `cbor:"6,keyasint,omitempty"`
}

// DomainSummary is the capacity and load of a failure domain as seen by its
// owner.
type DomainSummary struct {
	Domain           string `cbor:"1,keyasint,omitempty"`
	FreeAccelerators int    `cbor:"2,keyasint,omitempty"`
	// LargestBlock is the most accelerators that one gang can get in a single
	// rack.
	LargestBlock int `cbor:"3,keyasint,omitempty"`
	QueuedJobs   int `cbor:"4,keyasint,omitempty"`
	// Borrowed is the number of borrowed accelerators by borrowing workspace: those
	// of gangs that run beyond the workspace's guarantees.
	Borrowed map[string]int `cbor:"5,keyasint,omitempty" json:"Lent"`
}

// PeerNotice is a hint about a change that the receiver would otherwise see
// only at its next poll.
type PeerNotice struct {
	// ConfigNumber is the number of a newly accepted ticket, or 0.
	ConfigNumber int64 `cbor:"1,keyasint,omitempty"`
	// Domain is a failure domain with a new or cancelled job, or "".
	Domain string `cbor:"2,keyasint,omitempty"`
}

// PeerConfigRequest asks the receiver for its configuration if that is newer
// than ticket After.
type PeerConfigRequest struct {
	After int64 `cbor:"1,keyasint,omitempty"`
}

// PeerConfig is the response to a PeerConfigRequest. The responder sends none
// when its configuration is not newer.
type PeerConfig struct {
	Number     int64               `cbor:"1,keyasint,omitempty"`
	Workspaces []structs.Workspace `cbor:"2,keyasint,omitempty"`
	Services   []structs.Service   `cbor:"3,keyasint,omitempty"`
	// Evacuated lists the evacuated failure domains.
	Evacuated []string `cbor:"4,keyasint,omitempty"`
}

// PeerMessage is one message on a link. Exactly one field is set.
type PeerMessage struct {
	Hello         *PeerHello         `cbor:"1,keyasint,omitempty"`
	Heartbeat     *PeerHeartbeat     `cbor:"2,keyasint,omitempty"`
	Notice        *PeerNotice        `cbor:"3,keyasint,omitempty"`
	ConfigRequest *PeerConfigRequest `cbor:"4,keyasint,omitempty"`
	Config        *PeerConfig        `cbor:"5,keyasint,omitempty"`
}

// PeerEvent is a message received from a peer.
type PeerEvent struct {
	From    PeerHello
	Message PeerMessage
}

// PeerInfo is a live peer: its link is open and heartbeats arrive on it.
type PeerInfo struct {
	Hello PeerHello
	// Heartbeat is the most recent heartbeat, or zero before the first one.
	Heartbeat PeerHeartbeat `json:"Load"`
}

// Peers is the set of links to the other instances.
type Peers interface {
	// Broadcast queues a message for every live peer. Delivery is best effort.
	Broadcast(m PeerMessage)
	// Send queues a message for one instance. It fails with fault.Unavailable
	// when there is no live link, and with fault.Overloaded when the link's
	// queue is full.
	Send(ctx context.Context, instance string, m PeerMessage) error
	// Live returns the peers that sent a message within the read deadline.
	Live() []PeerInfo
}
