package capacity

import (
	"fmt"

	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const servicesPerWorkspace = 2

func workspaceName(i int) string {
	return fmt.Sprintf("workspace-%04d", i)
}

// workspaces returns n workspaces, each with a guarantee of one gang in the failure
// domain. The gang has two members in one rack, each with the given accelerators.
func workspaces(n int, domain string, accelerators int) []structs.Workspace {
	out := make([]structs.Workspace, n)
	for i := range out {
		out[i] = structs.Workspace{
			Name:           workspaceName(i),
			Guarantees:     []structs.Guarantee{guarantee(domain, accelerators)},
			BorrowingLimit: 10_000,
			NominalSlots:   2,
			Weight:         1,
		}
	}
	return out
}

func guarantee(domain string, accelerators int) structs.Guarantee {
	return structs.Guarantee{Domain: domain, Gangs: 1, Members: 2, Accelerators: accelerators, Adjacency: structs.AdjacencyRack}
}

func services(workspaces int) []structs.Service {
	var out []structs.Service
	for i := range workspaces {
		for j := range servicesPerWorkspace {
			out = append(out, structs.Service{
				Name:              fmt.Sprintf("service-%d", j),
				Workspace:         workspaceName(i),
				Class:             structs.ClassNormal,
				Repeatable:        j == 0,
				DeadlineMillis:    60_000,
				DeclaredRunMillis: 100,
				MaxBodyBytes:      1 << 20,
			})
		}
	}
	return out
}

func newConfig(ws []structs.Workspace) *structs.Config {
	cfg := &structs.Config{Number: 1, Workspaces: make(map[string]structs.Workspace), Services: make(map[structs.ServiceKey]structs.Service)}
	for _, w := range ws {
		cfg.Workspaces[w.Name] = w
	}
	for _, s := range services(len(ws)) {
		cfg.Services[s.Key()] = s
	}
	return cfg
}

// newTicket returns a configuration change that sets the given workspaces and
// their services.
func newTicket(number int64, ws []structs.Workspace) structs.Ticket {
	t := structs.Ticket{Number: number, Author: "operator", Workspaces: ws}
	t.Services = services(len(ws))
	return t
}

func jobSpec(i, members int) structs.JobSpec {
	return structs.JobSpec{
		Key:          structs.JobKey{Workspace: workspaceName(0), ID: fmt.Sprintf("job-%06d", i)},
		Members:      members,
		Accelerators: 1,
		Adjacency:    structs.AdjacencyDomain,
		Class:        structs.ClassBatch,
		Preemptible:  true,
		Payload:      make([]byte, payloadBytes),
	}
}

const payloadBytes = 256
