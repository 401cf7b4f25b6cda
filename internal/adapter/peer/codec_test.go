package peer

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

func workspaceOfSize(bytes int) structs.Workspace {
	return structs.Workspace{Name: strings.Repeat("w", bytes)}
}

func TestHeartbeatSize(t *testing.T) {
	heartbeat := &port.PeerHeartbeat{
		ConfigNumber:   123456,
		QueuedRequests: 100,
		BusySlots:      50,
		Domains:        []port.DomainSummary{{Domain: "north-yard", FreeAccelerators: 100, LargestBlock: 48, QueuedJobs: 100}},
	}
	idleBytes := len(mustEncode(t, port.PeerMessage{Heartbeat: new(port.PeerHeartbeat)}))
	ownerBytes := len(mustEncode(t, port.PeerMessage{Heartbeat: heartbeat}))
	heartbeat.Leaving = []string{"assessment-runner-01", "assessment-runner-02"}
	leavingBytes := len(mustEncode(t, port.PeerMessage{Heartbeat: heartbeat}))
	t.Logf("heartbeat bytes: %d idle, %d as an owner, %d with two servers leaving", idleBytes, ownerBytes, leavingBytes)
	must.LessEq(t, 64, ownerBytes)
	must.LessEq(t, 128, leavingBytes)
}

// FuzzDecode checks that a message that decodes also decodes after it is encoded
// again, to the same bytes.
func FuzzDecode(f *testing.F) {
	f.Add(mustEncode(f, hello{Version: protocolVersion, Hello: port.PeerHello{Instance: "a", Incarnation: "a-1"}}))
	f.Add(mustEncode(f, port.PeerMessage{Heartbeat: &port.PeerHeartbeat{Leaving: []string{"s"}, Domains: []port.DomainSummary{{Domain: "d"}}}}))
	f.Add(mustEncode(f, port.PeerMessage{Notice: &port.PeerNotice{ConfigNumber: 1}}))
	f.Add(mustEncode(f, port.PeerMessage{ConfigRequest: &port.PeerConfigRequest{After: 1}}))
	f.Add(mustEncode(f, port.PeerMessage{Config: &port.PeerConfig{Workspaces: []structs.Workspace{{Name: "w"}}}}))
	f.Add([]byte("\xa1\x02\xa1\x04\x9a\xff\xff\xff\xff"))
	f.Add([]byte(strings.Repeat("\xa1\x05", 64)))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = decodeHello(data)
		m, err := decodeMessage(data)
		if err != nil {
			return
		}
		again, err := decodeMessage(mustEncode(t, m))
		must.NoError(t, err)
		must.Eq(t, mustEncode(t, m), mustEncode(t, again))
	})
}
