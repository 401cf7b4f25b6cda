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

// Fleet describes the workers against which Check validates a ticket.
type Fleet struct {
	// Domains lists the failure domains. If it is nil, domains are not checked.
	Domains []string
	// UnplaceableGangs returns the number of guaranteed gangs that can't be
	// placed when all are placed together on the failure domain's workers,
	// assuming these are idle. If it is nil, capacity is not checked.
	UnplaceableGangs func(domain string, guarantees []structs.Guarantee) (missing int)
}

// Check validates a parsed ticket against cfg and the fleet. It fails with
// fault.Conflict and the number in force if the ticket isn't the next one, and
// otherwise with fault.Invalid and all problems found.
//
// The capacity of a failure domain is not checked if none of the ticket's
// guarantees there grows, so that a ticket can reduce guarantees that a smaller
// fleet can no longer satisfy. Evacuated failure domains count with their whole
// capacity, so that guarantees never prevent an evacuation.
func Check(cfg *structs.Config, t structs.Ticket, fleet Fleet) error {
	if t.Number != cfg.Number+1 {
		return conflictError(cfg.Number, t.Number)
	}
	c := configCheck{before: cfg, after: Apply(cfg, t), ticket: t, fleet: fleet}
	c.checkServices()
	c.checkRemovedWorkspaces()
	c.checkRemovedServices()
	c.checkGuaranteeDomains()
	c.checkDomains()
	c.checkCapacity()
	return c.problems.Err("ticket can't be applied")
}

func conflictError(inForce, got int64) error {
	message := fmt.Sprintf("ticket %d is not the next: ticket %d is in force, so the next is %d", got, inForce, inForce+1)
	err := fault.New(fault.Conflict, message)
	err.TicketNumber = inForce
	return err
}

// configCheck validates a ticket against the configuration before and after it.
type configCheck struct {
	before   *structs.Config
	after    *structs.Config
	ticket   structs.Ticket
	fleet    Fleet
	problems document.Problems
}

func (c *configCheck) checkServices() {
	for i, s := range c.ticket.Services {
		if _, ok := c.after.Workspaces[s.Workspace]; ok {
			continue
		}
		path := document.Index("services", i) + ".workspace"
		c.problems.Add(path, strconv.Quote(s.Workspace), "a workspace in force after this ticket")
	}
}

func (c *configCheck) checkRemovedWorkspaces() {
	services := make(map[string][]string)
	for key := range c.after.Services {
		services[key.Workspace] = append(services[key.Workspace], key.Name)
	}
	for i, name := range c.ticket.RemoveWorkspaces {
		path := document.Index("remove_workspaces", i)
		if _, ok := c.before.Workspaces[name]; !ok {
			c.problems.Add(path, strconv.Quote(name), "a workspace in force")
			continue
		}
		remaining := services[name]
		if len(remaining) == 0 {
			continue
		}
		slices.Sort(remaining)
		c.problems.Add(path, strconv.Quote(name), "a workspace without services, but it has "+strings.Join(remaining, ", "))
	}
}

func (c *configCheck) checkRemovedServices() {
	for i, r := range c.ticket.RemoveServices {
		key := structs.ServiceKey(r)
		if _, ok := c.before.Services[key]; !ok {
			path := document.Index("remove_services", i) + ".name"
			c.problems.Add(path, strconv.Quote(r.Name), "a service in force of workspace "+r.Workspace)
		}
	}
}

// checkDomains allows the failure domains of the fleet, and evacuated ones that
// the fleet no longer has, so that these can be restored.
func (c *configCheck) checkDomains() {
	if c.fleet.Domains == nil {
		return
	}
	for i, d := range c.ticket.Domains {
		if !slices.Contains(c.fleet.Domains, d.Name) && !c.before.Evacuated[d.Name] {
			c.addUnknownDomain(document.Index("domains", i)+".name", d.Name)
		}
	}
}

func (c *configCheck) addUnknownDomain(path, name string) {
	c.problems.Add(path, strconv.Quote(name), "one of "+strings.Join(c.fleet.Domains, ", "))
}

func (c *configCheck) checkGuaranteeDomains() {
	if c.fleet.Domains == nil {
		return
	}
	for i, w := range c.ticket.Workspaces {
		for j, g := range w.Guarantees {
			if !slices.Contains(c.fleet.Domains, g.Domain) {
				c.addUnknownDomain(guaranteePath(i, j)+".domain", g.Domain)
			}
		}
	}
}

// checkCapacity reports each failure domain that lacks capacity for all of its
// guarantees, at the path of the ticket's first guarantee that grows there.
func (c *configCheck) checkCapacity() {
	if c.fleet.UnplaceableGangs == nil {
		return
	}
	reported := make(map[string]bool)
	for i, w := range c.ticket.Workspaces {
		for j, g := range w.Guarantees {
			path := guaranteePath(i, j)
			if reported[g.Domain] || c.problems.HasProblem(path+".domain") || !c.grows(w.Name, g) {
				continue
			}
			reported[g.Domain] = true
			c.checkDomainCapacity(path, g.Domain)
		}
	}
}

func (c *configCheck) checkDomainCapacity(path, domain string) {
	missing := c.fleet.UnplaceableGangs(domain, guaranteesIn(c.after, domain))
	if missing <= 0 {
		return
	}
	value := fmt.Sprintf("%d gangs that can't be placed in failure domain %s", missing, domain)
	c.problems.Add(path, value, "guarantees of all workspaces that fit on the failure domain's workers together")
}

// grows reports whether the ticket adds the guarantee or raises its number of
// gangs.
func (c *configCheck) grows(workspace string, g structs.Guarantee) bool {
	for _, old := range c.before.Workspaces[workspace].Guarantees {
		if guaranteeKey(old) == guaranteeKey(g) {
			return g.Gangs > old.Gangs
		}
	}
	return true
}

// guaranteesIn returns all guarantees in a failure domain, those with the
// largest gangs first.
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
