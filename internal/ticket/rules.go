package ticket

import (
	"strconv"
	"unicode"
	"unicode/utf8"

	"github.com/lentilwinch/lentilwinch/internal/settings/document"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Limits of a ticket's values.
const (
	// maxNumber is the highest number that the tickets' keys can sort.
	maxNumber                      = 999_999_999_999
	maxAuthorBytes                 = 128
	maxCommentBytes                = 4096
	maxWorkspaces                  = 1000
	maxServices                    = 4000
	maxGuarantees                  = 64
	maxGangs                       = 10_000
	maxMembers                     = 256
	maxAcceleratorsPerMember       = 64
	maxBorrowingAccelerators       = 1_000_000
	maxNominalSlots                = 100_000
	maxWeight                      = 1000
	maxDeadlineMillis              = 24 * 60 * 60 * 1000
	maxDeclaredRunMillis           = 30 * 24 * 60 * 60 * 1000
	maxServiceBodyBytes      int64 = 64 << 20
)

var (
	adjacencies = []string{
		string(structs.AdjacencyWorker),
		string(structs.AdjacencyRack),
		string(structs.AdjacencyDomain),
	}
	classes = []string{
		string(structs.ClassUrgent),
		string(structs.ClassNormal),
		string(structs.ClassBatch),
	}
)

// parseCheck adds the problems of a decoded ticket to the findings.
type parseCheck struct {
	findings *document.Findings
}

func (c parseCheck) check(t structs.Ticket) {
	c.findings.Between("number", t.Number, 1, maxNumber)
	c.text("author", t.Author, 1, maxAuthorBytes)
	c.text("comment", t.Comment, 0, maxCommentBytes)
	c.checkCounts(t)
	c.checkWorkspaces(t)
	c.checkServices(t)
	c.checkRemovals(t)
	c.checkTouches(t)
}

func (c parseCheck) checkCounts(t structs.Ticket) {
	c.count("workspaces", len(t.Workspaces), maxWorkspaces)
	c.count("services", len(t.Services), maxServices)
	c.count("remove_workspaces", len(t.RemoveWorkspaces), maxWorkspaces)
	c.count("remove_services", len(t.RemoveServices), maxServices)
}

// checkTouches refuses a ticket without any change.
func (c parseCheck) checkTouches(t structs.Ticket) {
	touched := len(t.Workspaces) + len(t.Services) + len(t.RemoveWorkspaces) + len(t.RemoveServices)
	if touched > 0 || !c.findings.Empty() {
		return
	}
	c.findings.Add(document.Root, "no change", "at least one entry in workspaces, services, remove_workspaces or remove_services")
}

func (c parseCheck) checkWorkspaces(t structs.Ticket) {
	seen := make(map[string]bool, len(t.Workspaces))
	for i, w := range t.Workspaces {
		path := document.Index("workspaces", i)
		c.findings.Name(path+".name", w.Name)
		c.once(path+".name", w.Name, seen[w.Name])
		seen[w.Name] = true
		c.checkGuarantees(path+".guarantees", w.Guarantees)
		c.findings.Between(path+".borrowing_limit_accelerators", int64(w.BorrowingLimit), 0, maxBorrowingAccelerators)
		c.findings.Between(path+".nominal_slots", int64(w.NominalSlots), 0, maxNominalSlots)
		c.findings.Between(path+".weight", int64(w.Weight), 1, maxWeight)
	}
}

func (c parseCheck) checkGuarantees(path string, guarantees []structs.Guarantee) {
	c.count(path, len(guarantees), maxGuarantees)
	seen := make(map[structs.Guarantee]bool, len(guarantees))
	for i, g := range guarantees {
		at := document.Index(path, i)
		c.checkGuarantee(at, g)
		if seen[kindOf(g)] {
			c.findings.Add(at, "the same shape again", "each domain, members, accelerators and adjacency once: add up the gangs")
		}
		seen[kindOf(g)] = true
	}
}

func (c parseCheck) checkGuarantee(path string, g structs.Guarantee) {
	c.findings.Name(path+".domain", g.Domain)
	c.findings.Between(path+".gangs", int64(g.Gangs), 1, maxGangs)
	c.findings.Between(path+".members", int64(g.Members), 1, maxMembers)
	c.findings.Between(path+".accelerators", int64(g.Accelerators), 1, maxAcceleratorsPerMember)
	c.findings.OneOf(path+".adjacency", string(g.Adjacency), adjacencies)
}

// kindOf returns the guarantee without its number of gangs.
func kindOf(g structs.Guarantee) structs.Guarantee {
	g.Gangs = 0
	return g
}

func (c parseCheck) checkServices(t structs.Ticket) {
	seen := make(map[structs.ServiceKey]bool, len(t.Services))
	for i, s := range t.Services {
		path := document.Index("services", i)
		c.findings.Name(path+".name", s.Name)
		c.findings.Name(path+".workspace", s.Workspace)
		c.once(path+".name", s.Name, seen[s.Key()])
		seen[s.Key()] = true
		c.findings.OneOf(path+".class", string(s.Class), classes)
		c.findings.Between(path+".deadline_millis", s.DeadlineMillis, 1, maxDeadlineMillis)
		c.findings.Between(path+".declared_run_millis", s.DeclaredRunMillis, 0, maxDeclaredRunMillis)
		c.findings.Between(path+".max_body_bytes", s.MaxBodyBytes, 1, maxServiceBodyBytes)
	}
}

func (c parseCheck) checkRemovals(t structs.Ticket) {
	c.checkRemovedWorkspaces(t)
	c.checkRemovedServices(t)
}

func (c parseCheck) checkRemovedWorkspaces(t structs.Ticket) {
	touched := make(map[string]bool, len(t.Workspaces))
	for _, w := range t.Workspaces {
		touched[w.Name] = true
	}
	seen := make(map[string]bool, len(t.RemoveWorkspaces))
	for i, name := range t.RemoveWorkspaces {
		path := document.Index("remove_workspaces", i)
		c.findings.Name(path, name)
		c.once(path, name, seen[name])
		c.removedOnly(path, name, touched[name], "workspaces")
		seen[name] = true
	}
}

func (c parseCheck) checkRemovedServices(t structs.Ticket) {
	touched := make(map[structs.ServiceKey]bool, len(t.Services))
	for _, s := range t.Services {
		touched[s.Key()] = true
	}
	seen := make(map[structs.ServiceKey]bool, len(t.RemoveServices))
	for i, r := range t.RemoveServices {
		path := document.Index("remove_services", i)
		key := structs.ServiceKey(r)
		c.findings.Name(path+".workspace", r.Workspace)
		c.findings.Name(path+".name", r.Name)
		c.once(path+".name", r.Name, seen[key])
		c.removedOnly(path+".name", r.Name, touched[key], "services")
		seen[key] = true
	}
}

func (c parseCheck) removedOnly(path, name string, touched bool, list string) {
	if touched {
		c.findings.Add(path, strconv.Quote(name), "a name that "+list+" doesn't set as well")
	}
}

func (c parseCheck) once(path, name string, again bool) {
	if again {
		c.findings.Add(path, strconv.Quote(name), "each name once")
	}
}

func (c parseCheck) count(path string, n, limit int) {
	if n > limit {
		c.findings.Add(path, strconv.Itoa(n)+" entries", "at most "+strconv.Itoa(limit)+" entries")
	}
}

// text checks a line of prose.
func (c parseCheck) text(path, value string, low, high int) {
	if len(value) >= low && len(value) <= high && isPrintable(value) {
		return
	}
	allowed := strconv.Itoa(low) + " to " + strconv.Itoa(high) + " bytes of printable text"
	c.findings.Add(path, strconv.Quote(value), allowed)
}

func isPrintable(s string) bool {
	for _, r := range s {
		if r == utf8.RuneError || !unicode.IsPrint(r) && r != '\n' {
			return false
		}
	}
	return true
}
