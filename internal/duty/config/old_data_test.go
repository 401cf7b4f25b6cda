package config

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

var (
	oldVersion   = versionRecord{Number: 12}
	oldTicket    = ticketRecord{Digest: "9f86d081", Document: []byte(`{"number":12}`)}
	oldWorkspace = structs.Workspace{
		Name:           "willow",
		Guarantees:     []structs.Guarantee{{Domain: "north", Gangs: 2, Members: 3, Accelerators: 8, Adjacency: structs.AdjacencyRack}},
		BorrowingLimit: 64,
		NominalSlots:   5,
		Weight:         7,
	}
	oldService = structs.Service{
		Name:              "scan",
		Workspace:         "willow",
		Class:             structs.ClassUrgent,
		Repeatable:        true,
		DeadlineMillis:    1500,
		DeclaredRunMillis: 200,
		MaxBodyBytes:      4096,
	}
)

func oldRow(t *testing.T, name string) port.Row {
	raw, err := os.ReadFile("testdata/" + name)
	must.NoError(t, err)
	return port.Row{Key: name, Value: raw}
}

// Rows of earlier builds must stay readable. A renamed key would leave the
// field zero and silently change the configuration in force.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	var v versionRecord
	must.NoError(t, store.Decode(oldRow(t, "version.cbor"), &v))
	must.Eq(t, oldVersion, v)
	var rec ticketRecord
	must.NoError(t, store.Decode(oldRow(t, "ticket.cbor"), &rec))
	must.Eq(t, oldTicket, rec)
	var w structs.Workspace
	must.NoError(t, store.Decode(oldRow(t, "workspace.cbor"), &w))
	must.Eq(t, oldWorkspace, w)
	var s structs.Service
	must.NoError(t, store.Decode(oldRow(t, "service.cbor"), &s))
	must.Eq(t, oldService, s)
	var d structs.Domain
	must.NoError(t, store.Decode(oldRow(t, "evacuated.cbor"), &d))
	must.Eq(t, structs.Domain{Name: "north", Evacuated: true}, d)
}
