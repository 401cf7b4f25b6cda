package session

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
)

var oldSession = row{Instance: "north-1", Domain: "north", Address: "10.0.0.7:7420", Heartbeat: 9, Draining: true}

// Sessions of earlier builds must stay readable. A renamed key would leave a
// field zero while instances of both builds run side by side.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	raw, err := os.ReadFile("testdata/session.cbor")
	must.NoError(t, err)
	stored := port.Row{Key: store.SessionKey("north-1-A7"), Value: raw}
	var got row
	must.NoError(t, store.Decode(stored, &got))
	must.Eq(t, oldSession, got)
	must.Eq(t, []Info{
		{Incarnation: "north-1-A7", Instance: "north-1", Domain: "north", Address: "10.0.0.7:7420", Draining: true},
	}, decodeSessions([]port.Row{stored}))
}
