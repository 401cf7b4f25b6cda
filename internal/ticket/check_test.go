package ticket

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

func workspace(name string, guarantees ...structs.Guarantee) structs.Workspace {
	return structs.Workspace{Name: name, Weight: 1, Guarantees: guarantees}
}

func service(workspace, name string) structs.Service {
	return structs.Service{Workspace: workspace, Name: name, Class: structs.ClassNormal, DeadlineMillis: 1000, MaxBodyBytes: 1}
}

func shape(domain string, gangs int) structs.Guarantee {
	return structs.Guarantee{Domain: domain, Gangs: gangs, Members: 1, Accelerators: 8, Adjacency: structs.AdjacencyWorker}
}

// inForce is ticket 3: workspace a with a shape and a service, and b without.
func inForce() *structs.Config {
	return Apply(Empty(), structs.Ticket{
		Number:     3,
		Workspaces: []structs.Workspace{workspace("a", shape("north", 4)), workspace("b")},
		Services:   []structs.Service{service("a", "scan")},
	})
}

// holding returns a fleet whose domain north holds so many gangs.
func holding(gangs int) Fleet {
	return Fleet{
		Domains: []string{"north", "south"},
		Holds: func(domain string, guarantees []structs.Guarantee) int {
			missing := -gangs
			for _, g := range guarantees {
				missing += g.Gangs
			}
			if domain != "north" {
				return 0
			}
			return max(0, missing)
		},
	}
}

func TestCheckNamesNumberInForceOnConflict(t *testing.T) {
	for _, number := range []int64{1, 3, 5} {
		err := Check(inForce(), structs.Ticket{Number: number}, Fleet{})
		var f *fault.Error
		must.True(t, errors.As(err, &f))
		must.Eq(t, fault.Conflict, f.Code)
		must.Eq(t, 3, f.Number)
	}
}

func TestCheckReferences(t *testing.T) {
	cases := []struct {
		name   string
		change structs.Ticket
		fleet  Fleet
		paths  []string
	}{
		{"service of unknown workspace",
			structs.Ticket{Services: []structs.Service{service("a", "new"), service("c", "new")}}, Fleet{},
			[]string{"services[1].workspace"}},
		{"service of a workspace in the same ticket",
			structs.Ticket{Workspaces: []structs.Workspace{workspace("c")}, Services: []structs.Service{service("c", "new")}},
			Fleet{}, nil},
		{"service of a workspace removed in the same ticket",
			structs.Ticket{RemoveWorkspaces: []string{"b"}, Services: []structs.Service{service("b", "new")}}, Fleet{},
			[]string{"services[0].workspace", "remove_workspaces[0]"}},
		{"removal of a workspace with services",
			structs.Ticket{RemoveWorkspaces: []string{"a"}}, Fleet{},
			[]string{"remove_workspaces[0]"}},
		{"removal of a workspace together with its services",
			structs.Ticket{RemoveWorkspaces: []string{"a"}, RemoveServices: []structs.RemoveKey{{Workspace: "a", Name: "scan"}}},
			Fleet{}, nil},
		{"removal of what isn't there",
			structs.Ticket{RemoveWorkspaces: []string{"c"}, RemoveServices: []structs.RemoveKey{{Workspace: "b", Name: "scan"}}},
			Fleet{}, []string{"remove_workspaces[0]", "remove_services[0].name"}},
		{"guarantee for an unknown domain",
			structs.Ticket{Workspaces: []structs.Workspace{workspace("b", shape("south", 1), shape("west", 1))}}, holding(4),
			[]string{"workspaces[0].guarantees[1].domain"}},
		{"shapes that fit",
			structs.Ticket{Workspaces: []structs.Workspace{workspace("b", shape("north", 1))}}, holding(5), nil},
		{"shapes that don't fit together",
			structs.Ticket{Workspaces: []structs.Workspace{workspace("b", shape("south", 9), shape("north", 1))}}, holding(4),
			[]string{"workspaces[0].guarantees[1]"}},
		{"unchanged shapes on a fleet that shrank",
			structs.Ticket{Workspaces: []structs.Workspace{workspace("a", shape("north", 4))}}, holding(1), nil},
		{"smaller shapes on a fleet that shrank more",
			structs.Ticket{Workspaces: []structs.Workspace{workspace("a", shape("north", 3))}}, holding(1), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.change.Number = 4
			err := Check(inForce(), c.change, c.fleet)
			if c.paths == nil {
				must.NoError(t, err)
				return
			}
			var paths []string
			for _, p := range problemsOf(t, err) {
				paths = append(paths, p.Path)
			}
			must.Eq(t, c.paths, paths)
		})
	}
}

func drawTicket(t *rapid.T, number int64) structs.Ticket {
	names := rapid.SampledFrom([]string{"a", "b", "c"})
	out := structs.Ticket{Number: number, Author: "ana"}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 3, rapid.ID).Draw(t, "workspaces") {
		gangs := rapid.IntRange(1, 5).Draw(t, "gangs")
		out.Workspaces = append(out.Workspaces, workspace(name, shape("north", gangs)))
	}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 2, rapid.ID).Draw(t, "services") {
		out.Services = append(out.Services, service(name, "scan"))
	}
	out.RemoveWorkspaces = rapid.SliceOfNDistinct(names, 0, 1, rapid.ID).Draw(t, "removed")
	for _, name := range rapid.SliceOfNDistinct(names, 0, 1, rapid.ID).Draw(t, "removed services") {
		out.RemoveServices = append(out.RemoveServices, structs.RemoveKey{Workspace: name, Name: "scan"})
	}
	return out
}

// consistent asks that every service has its workspace and that the shapes of
// domain north fit together.
func consistent(t *rapid.T, cfg *structs.Config, fleet Fleet) {
	for key := range cfg.Services {
		_, ok := cfg.Workspaces[key.Workspace]
		must.True(t, ok)
	}
	must.Eq(t, 0, fleet.Holds("north", guaranteesIn(cfg, "north")))
}

// A random walk of tickets, of which Check lets pass only those that leave a
// consistent configuration. Seen to fail with Apply writing to the maps of the
// configuration it was given, with Check without checkServices, without
// checkRemovedWorkspaces, and with a number of cfg.Number+2 let pass.
func TestTicketsKeepConfigurationConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := holding(8)
		cfg := Empty()
		for range rapid.IntRange(1, 20).Draw(t, "tickets") {
			number := cfg.Number + rapid.SampledFrom([]int64{1, 1, 1, 0, 2}).Draw(t, "step")
			next := drawTicket(t, number)
			before := Apply(cfg, structs.Ticket{Number: cfg.Number})
			err := Check(cfg, next, fleet)
			after := Apply(cfg, next)
			must.Eq(t, before, cfg)
			must.Eq(t, after, Apply(cfg, next))
			if err != nil {
				continue
			}
			must.Eq(t, cfg.Number+1, after.Number)
			consistent(t, after, fleet)
			cfg = after
		}
	})
}
