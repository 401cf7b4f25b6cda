package ticket

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// EmptyConfig returns the configuration before the first ticket.
func EmptyConfig() *structs.Config {
	return &structs.Config{
		Workspaces: make(map[string]structs.Workspace),
		Services:   make(map[structs.ServiceKey]structs.Service),
		Evacuated:  make(map[string]bool),
	}
}

// Apply returns the configuration that results from applying a checked ticket.
// It doesn't modify cfg.
func Apply(cfg *structs.Config, t structs.Ticket) *structs.Config {
	out := &structs.Config{
		Number:     t.Number,
		Workspaces: cloneMap(cfg.Workspaces),
		Services:   cloneMap(cfg.Services),
		Evacuated:  cloneMap(cfg.Evacuated),
	}
	for _, name := range t.RemoveWorkspaces {
		delete(out.Workspaces, name)
	}
	for _, r := range t.RemoveServices {
		delete(out.Services, structs.ServiceKey(r))
	}
	for _, w := range t.Workspaces {
		w.Guarantees = slices.Clone(w.Guarantees)
		out.Workspaces[w.Name] = w
	}
	for _, s := range t.Services {
		out.Services[s.Key()] = s
	}
	for _, d := range t.Domains {
		if d.Evacuated {
			out.Evacuated[d.Name] = true
		} else {
			delete(out.Evacuated, d.Name)
		}
	}
	return out
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// Digest returns the hexadecimal SHA-256 of a ticket's canonical form. It is
// independent of the document's layout and of the order of entries.
func Digest(t structs.Ticket) string {
	raw, err := json.Marshal(canonical(t))
	if err != nil {
		panic("ticket: encode as JSON: " + err.Error())
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// canonical returns a copy with all entries sorted.
func canonical(t structs.Ticket) structs.Ticket {
	t.Workspaces = slices.Clone(t.Workspaces)
	for i := range t.Workspaces {
		t.Workspaces[i].Guarantees = sortedGuarantees(t.Workspaces[i].Guarantees)
	}
	slices.SortFunc(t.Workspaces, func(a, b structs.Workspace) int {
		return cmp.Compare(a.Name, b.Name)
	})
	t.Services = slices.Clone(t.Services)
	slices.SortFunc(t.Services, func(a, b structs.Service) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Name, b.Name))
	})
	t.Domains = slices.Clone(t.Domains)
	slices.SortFunc(t.Domains, func(a, b structs.Domain) int { return cmp.Compare(a.Name, b.Name) })
	t.RemoveWorkspaces = slices.Sorted(slices.Values(t.RemoveWorkspaces))
	t.RemoveServices = slices.Clone(t.RemoveServices)
	slices.SortFunc(t.RemoveServices, func(a, b structs.RemovedService) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Name, b.Name))
	})
	return t
}

func sortedGuarantees(in []structs.Guarantee) []structs.Guarantee {
	out := append([]structs.Guarantee{}, in...)
	slices.SortFunc(out, func(a, b structs.Guarantee) int {
		return cmp.Or(
			cmp.Compare(a.Domain, b.Domain),
			cmp.Compare(a.Members, b.Members),
			cmp.Compare(a.Accelerators, b.Accelerators),
			cmp.Compare(a.Adjacency, b.Adjacency),
			cmp.Compare(a.Gangs, b.Gangs),
		)
	})
	return out
}
