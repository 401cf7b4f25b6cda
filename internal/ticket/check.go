package ticket

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/settings/document"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Fleet is what the check asks about the workers.
type Fleet struct {
	// Domains lists the failure domains; nil leaves them unchecked.
	Domains []string
	// Holds returns how many of the gangs find no place when all are placed
	// together on a failure domain's workers, were these empty; nil leaves
	// this unchecked.
	Holds func(domain string, guarantees []structs.Guarantee) (missing int)
}

// Check decides whether a parsed ticket may change cfg. It fails with
// fault.Conflict and the number in force when the ticket isn't the next one,
// else with fault.Invalid and every problem found.
//
// A failure domain whose guarantees only shrink is not asked to hold them, so
// that a ticket can mend what a smaller fleet can't hold any longer.
func Check(cfg *structs.Config, t structs.Ticket, fleet Fleet) error {
	if t.Number != cfg.Number+1 {
		return conflict(cfg.Number, t.Number)
	}
	c := referenceCheck{before: cfg, after: Apply(cfg, t), ticket: t, fleet: fleet}
	c.checkServices()
	c.checkRemovedWorkspaces()
	c.checkRemovedServices()
	c.checkDomains()
	c.checkHolds()
	return c.findings.Err("ticket can't come into force")
}

func conflict(inForce, got int64) error {
	message := fmt.Sprintf("ticket %d is not the next: ticket %d is in force, so the next is %d", got, inForce, inForce+1)
	err := fault.New(fault.Conflict, message)
	err.Number = inForce
	return err
}

// referenceCheck compares a ticket with the configuration around it.
type referenceCheck struct {
	before   *structs.Config
	after    *structs.Config
	ticket   structs.Ticket
	fleet    Fleet
	findings document.Findings
}

func (c *referenceCheck) checkServices() {
	for i, s := range c.ticket.Services {
		if _, ok := c.after.Workspaces[s.Workspace]; ok {
			continue
		}
		path := document.Index("services", i) + ".workspace"
		c.findings.Add(path, strconv.Quote(s.Workspace), "a workspace in force after this ticket")
	}
}

func (c *referenceCheck) checkRemovedWorkspaces() {
	services := make(map[string][]string)
	for key := range c.after.Services {
		services[key.Workspace] = append(services[key.Workspace], key.Name)
	}
	for i, name := range c.ticket.RemoveWorkspaces {
		path := document.Index("remove_workspaces", i)
		if _, ok := c.before.Workspaces[name]; !ok {
			c.findings.Add(path, strconv.Quote(name), "a workspace in force")
			continue
		}
		left := services[name]
		if len(left) == 0 {
			continue
		}
		slices.Sort(left)
		c.findings.Add(path, strconv.Quote(name), "a workspace without services, but it has "+strings.Join(left, ", "))
	}
}

func (c *referenceCheck) checkRemovedServices() {
	for i, r := range c.ticket.RemoveServices {
		key := structs.ServiceKey(r)
		if _, ok := c.before.Services[key]; !ok {
			path := document.Index("remove_services", i) + ".name"
			c.findings.Add(path, strconv.Quote(r.Name), "a service in force of workspace "+r.Workspace)
		}
	}
}

func (c *referenceCheck) checkDomains() {
	if c.fleet.Domains == nil {
		return
	}
	for i, w := range c.ticket.Workspaces {
		for j, g := range w.Guarantees {
			if !slices.Contains(c.fleet.Domains, g.Domain) {
				allowed := "one of " + strings.Join(c.fleet.Domains, ", ")
				c.findings.Add(guaranteePath(i, j)+".domain", strconv.Quote(g.Domain), allowed)
			}
		}
	}
}

// checkHolds reports each failure domain that can't hold its shapes together,
// at the first guarantee of the ticket that grew there.
func (c *referenceCheck) checkHolds() {
	if c.fleet.Holds == nil {
		return
	}
	reported := make(map[string]bool)
	for i, w := range c.ticket.Workspaces {
		for j, g := range w.Guarantees {
			path := guaranteePath(i, j)
			if reported[g.Domain] || c.findings.Has(path+".domain") || !c.grew(w.Name, g) {
				continue
			}
			reported[g.Domain] = true
			c.checkHold(path, g.Domain)
		}
	}
}

func (c *referenceCheck) checkHold(path, domain string) {
	missing := c.fleet.Holds(domain, guaranteesIn(c.after, domain))
	if missing <= 0 {
		return
	}
	value := fmt.Sprintf("%d gangs without a place in failure domain %s", missing, domain)
	c.findings.Add(path, value, "shapes of all workspaces that the failure domain's workers hold together")
}

// grew reports whether the workspace held less of the shape before.
func (c *referenceCheck) grew(workspace string, g structs.Guarantee) bool {
	for _, old := range c.before.Workspaces[workspace].Guarantees {
		if kindOf(old) == kindOf(g) {
			return g.Gangs > old.Gangs
		}
	}
	return true
}

// guaranteesIn returns all guarantees in a failure domain, largest gang first.
func guaranteesIn(cfg *structs.Config, domain string) []structs.Guarantee {
	var out []structs.Guarantee
	for _, w := range cfg.Workspaces {
		for _, g := range w.Guarantees {
			if g.Domain == domain {
				out = append(out, g)
			}
		}
	}
	slices.SortFunc(out, func(a, b structs.Guarantee) int {
		return cmp.Or(
			cmp.Compare(b.Members*b.Accelerators, a.Members*a.Accelerators),
			cmp.Compare(b.Accelerators, a.Accelerators),
			cmp.Compare(a.Adjacency, b.Adjacency),
			cmp.Compare(b.Gangs, a.Gangs),
		)
	})
	return out
}

func guaranteePath(workspace, guarantee int) string {
	return document.Index(document.Index("workspaces", workspace)+".guarantees", guarantee)
}
