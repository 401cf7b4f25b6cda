package ticket

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// clusterTicket returns a ticket that sets workspaces with two guarantees and two
// services each.
func clusterTicket(workspaces int) structs.Ticket {
	out := structs.Ticket{Number: 1, Author: "ana"}
	for i := range workspaces {
		name := fmt.Sprintf("team-%03d", i)
		out.Workspaces = append(out.Workspaces, workspace(name, guarantee("north", 1), guarantee("south", 1)))
		out.Services = append(out.Services, service(name, "scan"), service(name, "tally"))
	}
	return out
}

// BenchmarkAccept parses, checks and applies a ticket that changes one of 230
// workspaces.
func BenchmarkAccept(b *testing.B) {
	cfg := Apply(EmptyConfig(), clusterTicket(230))
	change := structs.Ticket{Number: 2, Author: "ana", Workspaces: []structs.Workspace{workspace("team-007", guarantee("north", 2))}}
	doc, err := json.Marshal(change)
	must.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		t, err := Parse(doc)
		must.NoError(b, err)
		must.NoError(b, Check(cfg, t, Fleet{}))
		Apply(cfg, t)
	}
}

// BenchmarkParse parses a ticket that sets 230 workspaces.
func BenchmarkParse(b *testing.B) {
	doc, err := json.Marshal(clusterTicket(230))
	must.NoError(b, err)
	b.SetBytes(int64(len(doc)))
	b.ReportAllocs()
	for b.Loop() {
		_, err := Parse(doc)
		must.NoError(b, err)
	}
}
