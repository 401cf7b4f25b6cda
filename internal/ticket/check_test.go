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

func guarantee(domain string, gangs int) structs.Guarantee {
	return structs.Guarantee{Domain: domain, Gangs: gangs, Members: 1, Accelerators: 8, Adjacency: structs.AdjacencyWorker}
}

// configInForce returns the configuration after ticket 3: workspace a with a
// guarantee and a service, workspace b with neither, and the evacuated domain closed.
func configInForce() *structs.Config {
	return Apply(EmptyConfig(), structs.Ticket{
		Number:     3,
		Workspaces: []structs.Workspace{workspace("a", guarantee("north", 4)), workspace("b")},
		Services:   []structs.Service{service("a", "scan")},
		Domains:    []structs.Domain{{Name: "closed", Evacuated: true}},
	})
}

// fleetWithCapacity returns a fleet whose domain north has capacity for a number
// of gangs.
func fleetWithCapacity(gangs int) Fleet {
	return Fleet{
		Domains: []string{"north", "south"},
		UnplaceableGangs: func(domain string, guarantees []structs.Guarantee) int {
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

func TestCheckReportsNumberInForceOnConflict(t *testing.T) {
	for _, number := range []int64{1, 3, 5} {
		err := Check(configInForce(), structs.Ticket{Number: number}, Fleet{})
		var f *fault.Error
		must.True(t, errors.As(err, &f))
		must.Eq(t, fault.Conflict, f.Code)
		must.Eq(t, 3, f.TicketNumber)
	}
}

func TestCheckReportsPathOfEachProblem(t *testing.T) {
	cases := []struct {
		name   string
		change structs.Ticket
		fleet  Fleet
		paths  []string
	}{
		{"service of an unknown workspace",
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
			structs.Ticket{RemoveWorkspaces: []string{"a"}, RemoveServices: []structs.RemovedService{{Workspace: "a", Name: "scan"}}},
			Fleet{}, nil},
		{"removal of an unknown workspace and service",
			structs.Ticket{RemoveWorkspaces: []string{"c"}, RemoveServices: []structs.RemovedService{{Workspace: "b", Name: "scan"}}},
			Fleet{}, []string{"remove_workspaces[0]", "remove_services[0].name"}},
		{"guarantee for an unknown domain",
			structs.Ticket{Workspaces: []structs.Workspace{workspace("b", guarantee("south", 1), guarantee("west", 1))}}, fleetWithCapacity(4),
			[]string{"workspaces[0].guarantees[1].domain"}},
		{"guarantees that fit",
			structs.Ticket{Workspaces: []structs.Workspace{workspace("b", guarantee("north", 1))}}, fleetWithCapacity(5), nil},
		{"guarantees that don't fit together",
			structs.Ticket{Workspaces: []structs.Workspace{workspace("b", guarantee("south", 9), guarantee("north", 1))}}, fleetWithCapacity(4),
			[]string{"workspaces[0].guarantees[1]"}},
		{"unchanged guarantees on a fleet that shrank",
			structs.Ticket{Workspaces: []structs.Workspace{workspace("a", guarantee("north", 4))}}, fleetWithCapacity(1), nil},
		{"evacuation that leaves guarantees unmet",
			structs.Ticket{Domains: []structs.Domain{{Name: "north", Evacuated: true}}}, fleetWithCapacity(0), nil},
		{"evacuation and restoration of unknown domains",
			structs.Ticket{Domains: []structs.Domain{{Name: "south"}, {Name: "west", Evacuated: true}, {Name: "east"}}}, fleetWithCapacity(4),
			[]string{"domains[1].name", "domains[2].name"}},
		{"restoration of a domain that is no longer listed",
			structs.Ticket{Domains: []structs.Domain{{Name: "closed"}}}, fleetWithCapacity(4), nil},
		{"smaller guarantees on a fleet that shrank more",
			structs.Ticket{Workspaces: []structs.Workspace{workspace("a", guarantee("north", 3))}}, fleetWithCapacity(1), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.change.Number = 4
			err := Check(configInForce(), c.change, c.fleet)
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

// Guards against a problem that doesn't name the known domains, from which an
// operator corrects a misspelt name.
func TestUnknownDomainListsKnownOnes(t *testing.T) {
	evacuation := structs.Ticket{Number: 4, Domains: []structs.Domain{{Name: "nroth", Evacuated: true}}}
	must.Eq(t, []fault.Problem{{Path: "domains[0].name", Value: `"nroth"`, Allowed: "one of north, south"}},
		problemsOf(t, Check(configInForce(), evacuation, fleetWithCapacity(4))))
	must.NoError(t, Check(configInForce(), evacuation, Fleet{}))
}

// Guards against an Apply that replaces the set of evacuated domains by the
// ticket's, or that doesn't remove restored ones.
func TestTicketChangesOnlyNamedDomains(t *testing.T) {
	cfg := configInForce()
	cfg = Apply(cfg, structs.Ticket{Number: 4, Domains: []structs.Domain{{Name: "north", Evacuated: true}, {Name: "south"}}})
	must.Eq(t, []string{"closed", "north"}, cfg.EvacuatedDomains())
	cfg = Apply(cfg, structs.Ticket{Number: 5, Domains: []structs.Domain{{Name: "closed"}}})
	cfg = Apply(cfg, structs.Ticket{Number: 6, RemoveWorkspaces: []string{"b"}})
	must.Eq(t, []string{"north"}, cfg.EvacuatedDomains())
}

func drawTicket(t *rapid.T, number int64) structs.Ticket {
	names := rapid.SampledFrom([]string{"a", "b", "c"})
	out := structs.Ticket{Number: number, Author: "ana"}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 3, rapid.ID).Draw(t, "workspaces") {
		gangs := rapid.IntRange(1, 5).Draw(t, "gangs")
		out.Workspaces = append(out.Workspaces, workspace(name, guarantee("north", gangs)))
	}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 2, rapid.ID).Draw(t, "services") {
		out.Services = append(out.Services, service(name, "scan"))
	}
	out.RemoveWorkspaces = rapid.SliceOfNDistinct(names, 0, 1, rapid.ID).Draw(t, "removed")
	domains := rapid.SampledFrom([]string{"north", "south"})
	for _, name := range rapid.SliceOfNDistinct(domains, 0, 2, rapid.ID).Draw(t, "domains") {
		out.Domains = append(out.Domains, structs.Domain{Name: name, Evacuated: rapid.Bool().Draw(t, "evacuated")})
	}
	for _, name := range rapid.SliceOfNDistinct(names, 0, 1, rapid.ID).Draw(t, "removed services") {
		out.RemoveServices = append(out.RemoveServices, structs.RemovedService{Workspace: name, Name: "scan"})
	}
	return out
}

// requireConsistent checks that every service's workspace exists and that the
// guarantees in domain north fit together.
func requireConsistent(t *rapid.T, cfg *structs.Config, fleet Fleet) {
	for key := range cfg.Services {
		_, ok := cfg.Workspaces[key.Workspace]
		must.True(t, ok)
	}
	must.Eq(t, 0, fleet.UnplaceableGangs("north", guaranteesIn(cfg, "north")))
}

// Applies random tickets and requires that those accepted by Check keep the
// configuration consistent. Guards against an Apply that writes to the maps of its
// argument, and against a Check that omits checkServices or checkRemovedWorkspaces
// or accepts ticket cfg.Number+2.
func TestAcceptedTicketsKeepConfigConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := fleetWithCapacity(8)
		cfg := EmptyConfig()
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
			requireConsistent(t, after, fleet)
			cfg = after
		}
	})
}
