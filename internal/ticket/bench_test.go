package ticket

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// cluster is a ticket with so many workspaces of two shapes and two services.
func cluster(workspaces int) structs.Ticket {
	out := structs.Ticket{Number: 1, Author: "ana"}
	for i := range workspaces {
		name := fmt.Sprintf("team-%03d", i)
		out.Workspaces = append(out.Workspaces, workspace(name, shape("north", 1), shape("south", 1)))
		out.Services = append(out.Services, service(name, "scan"), service(name, "tally"))
	}
	return out
}

// BenchmarkAccept reads, checks and applies a ticket that changes one of 230
// workspaces.
func BenchmarkAccept(b *testing.B) {
	cfg := Apply(Empty(), cluster(230))
	change := structs.Ticket{Number: 2, Author: "ana", Workspaces: []structs.Workspace{workspace("team-007", shape("north", 2))}}
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

// BenchmarkParse reads a ticket that states 230 workspaces.
func BenchmarkParse(b *testing.B) {
	doc, err := json.Marshal(cluster(230))
	must.NoError(b, err)
	b.SetBytes(int64(len(doc)))
	b.ReportAllocs()
	for b.Loop() {
		_, err := Parse(doc)
		must.NoError(b, err)
	}
}
