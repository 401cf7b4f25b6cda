package peer

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

var oldHello = port.PeerHello{Instance: "north-1", Incarnation: "north-1-A7", Domain: "north", Address: "10.0.0.7:7420"}

var oldMessages = map[string]port.PeerMessage{
	"message_hello.cbor": {Hello: &oldHello},
	"load.cbor": {Heartbeat: &port.PeerHeartbeat{
		ConfigNumber:   12,
		QueuedRequests: 3,
		BusySlots:      4,
		Leaving:        []string{"backend-1"},
		Domains: []port.DomainSummary{
			{Domain: "north", FreeAccelerators: 5, LargestBlock: 6, QueuedJobs: 7, Borrowed: map[string]int{"willow": 8}},
		},
		Draining: true,
	}},
	"notice.cbor":           {Notice: &port.PeerNotice{ConfigNumber: 13, Domain: "south"}},
	"config_request.cbor":   {ConfigRequest: &port.PeerConfigRequest{After: 14}},
	"config_evacuated.cbor": {Config: &port.PeerConfig{Number: 16, Evacuated: []string{"north"}}},
	"config.cbor": {Config: &port.PeerConfig{
		Number: 15,
		Workspaces: []structs.Workspace{{
			Name:           "willow",
			Guarantees:     []structs.Guarantee{{Domain: "north", Gangs: 2, Members: 3, Accelerators: 8, Adjacency: structs.AdjacencyRack}},
			BorrowingLimit: 64,
			NominalSlots:   5,
			Weight:         7,
		}},
		Services: []structs.Service{{
			Name:              "scan",
			Workspace:         "willow",
			Class:             structs.ClassUrgent,
			Repeatable:        true,
			DeadlineMillis:    1500,
			DeclaredRunMillis: 200,
			MaxBodyBytes:      4096,
		}},
	}},
}

func oldData(t *testing.T, name string) []byte {
	raw, err := os.ReadFile("testdata/" + name)
	must.NoError(t, err)
	return raw
}

// Instances of two builds exchange messages during an upgrade. A renamed key
// would leave the field zero at the receiver.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	got, err := decodeHello(oldData(t, "hello.cbor"))
	must.NoError(t, err)
	must.Eq(t, oldHello, got)
	encoded, err := encode(hello{Version: protocolVersion, Hello: oldHello})
	must.NoError(t, err)
	must.Eq(t, oldData(t, "hello.cbor"), encoded)
	for name, want := range oldMessages {
		got, err := decodeMessage(oldData(t, name))
		must.NoError(t, err)
		must.Eq(t, want, got)
		encoded, err := encode(want)
		must.NoError(t, err)
		must.Eq(t, oldData(t, name), encoded)
	}
}
