package ticket

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

var oldTicket = structs.Ticket{
	Number:  12,
	Author:  "ana",
	Comment: "more room",
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
	RemoveWorkspaces: []string{"alder"},
	RemoveServices:   []structs.RemovedService{{Workspace: "alder", Name: "tally"}},
}

const oldDigest = "74fdb23a86a16d6b2fd526ee07b1dae4a33dda416a714aef4b879860a7f0ba95"

// Stored tickets of earlier builds must remain decodable and keep their digests.
// Digests are stored too and identify a ticket that is sent again.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	raw, err := os.ReadFile("testdata/ticket.json")
	must.NoError(t, err)
	got, err := Parse(raw)
	must.NoError(t, err)
	must.Eq(t, oldTicket, got)
	must.EqOp(t, oldDigest, Digest(got))
}
