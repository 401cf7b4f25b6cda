package ticket

import (
	"strconv"
	"unicode"
	"unicode/utf8"

	"github.com/lentilwinch/lentilwinch/internal/settings/document"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Limits of the values in a ticket.
const (
	// maxNumber is the largest number with 12 digits, the width of the number in
	// ticket keys. Keys of larger numbers would not sort by number.
	maxNumber                       = 999_999_999_999
	maxAuthorBytes                  = 128
	maxCommentBytes                 = 4096
	maxWorkspaces                   = 1000
	maxServices                     = 4000
	maxDomains                      = 64
	maxGuaranteesPerWorkspace       = 64
	maxGangsPerGuarantee            = 10_000
	maxMembersPerGang               = 256
	maxAcceleratorsPerMember        = 64
	maxBorrowingAccelerators        = 1_000_000
	maxNominalSlots                 = 100_000
	maxWeight                       = 1000
	maxDeadlineMillis               = 24 * 60 * 60 * 1000
	maxDeclaredRunMillis            = 30 * 24 * 60 * 60 * 1000
	maxServiceBodyBytes       int64 = 64 << 20
)

var (
	allowedAdjacencies = []string{
		string(structs.AdjacencyWorker),
		string(structs.AdjacencyRack),
		string(structs.AdjacencyDomain),
	}
	allowedClasses = []string{
		string(structs.ClassUrgent),
		string(structs.ClassNormal),
		string(structs.ClassBatch),
	}
)

// valueCheck validates the values of a decoded ticket without the configuration
// in force and collects the problems.
type valueCheck struct {
	problems *document.Problems
}

func (c valueCheck) check(t structs.Ticket) {
	c.problems.CheckRange("number", t.Number, 1, maxNumber)
	c.checkText("author", t.Author, 1, maxAuthorBytes)
	c.checkText("comment", t.Comment, 0, maxCommentBytes)
	c.checkCounts(t)
	c.checkWorkspaces(t)
	c.checkServices(t)
	c.checkDomains(t)
	c.checkRemovals(t)
	c.checkHasChange(t)
}

func (c valueCheck) checkCounts(t structs.Ticket) {
	c.checkCount("workspaces", len(t.Workspaces), maxWorkspaces)
	c.checkCount("services", len(t.Services), maxServices)
	c.checkCount("domains", len(t.Domains), maxDomains)
	c.checkCount("remove_workspaces", len(t.RemoveWorkspaces), maxWorkspaces)
	c.checkCount("remove_services", len(t.RemoveServices), maxServices)
}

// checkHasChange rejects a ticket without any change.
func (c valueCheck) checkHasChange(t structs.Ticket) {
	changes := len(t.Workspaces) + len(t.Services) + len(t.Domains) + len(t.RemoveWorkspaces) + len(t.RemoveServices)
	if changes > 0 || !c.problems.Empty() {
		return
	}
	c.problems.Add(document.Root, "no change", "at least one entry in workspaces, services, domains, remove_workspaces or remove_services")
}

func (c valueCheck) checkWorkspaces(t structs.Ticket) {
	seen := make(map[string]bool, len(t.Workspaces))
	for i, w := range t.Workspaces {
		path := document.Index("workspaces", i)
		c.problems.CheckName(path+".name", w.Name)
		c.checkUnique(path+".name", w.Name, seen[w.Name])
		seen[w.Name] = true
		c.checkGuarantees(path+".guarantees", w.Guarantees)
		c.problems.CheckRange(path+".borrowing_limit_accelerators", int64(w.BorrowingLimit), 0, maxBorrowingAccelerators)
		c.problems.CheckRange(path+".nominal_slots", int64(w.NominalSlots), 0, maxNominalSlots)
		c.problems.CheckRange(path+".weight", int64(w.Weight), 1, maxWeight)
	}
}

func (c valueCheck) checkGuarantees(path string, guarantees []structs.Guarantee) {
	c.checkCount(path, len(guarantees), maxGuaranteesPerWorkspace)
	seen := make(map[structs.Guarantee]bool, len(guarantees))
	for i, g := range guarantees {
		entryPath := document.Index(path, i)
		c.checkGuarantee(entryPath, g)
		if seen[guaranteeKey(g)] {
			c.problems.Add(entryPath, "duplicate guarantee", "each combination of domain, members, accelerators and adjacency once, with the gangs added up")
		}
		seen[guaranteeKey(g)] = true
	}
}

func (c valueCheck) checkGuarantee(path string, g structs.Guarantee) {
	c.problems.CheckName(path+".domain", g.Domain)
	c.problems.CheckRange(path+".gangs", int64(g.Gangs), 1, maxGangsPerGuarantee)
	c.problems.CheckRange(path+".members", int64(g.Members), 1, maxMembersPerGang)
	c.problems.CheckRange(path+".accelerators", int64(g.Accelerators), 1, maxAcceleratorsPerMember)
	c.problems.CheckOneOf(path+".adjacency", string(g.Adjacency), allowedAdjacencies)
}

// guaranteeKey returns the guarantee without its number of gangs. It identifies
// the guarantee within a workspace.
func guaranteeKey(g structs.Guarantee) structs.Guarantee {
	g.Gangs = 0
	return g
}

func (c valueCheck) checkServices(t structs.Ticket) {
	seen := make(map[structs.ServiceKey]bool, len(t.Services))
	for i, s := range t.Services {
		path := document.Index("services", i)
		c.problems.CheckName(path+".name", s.Name)
		c.problems.CheckName(path+".workspace", s.Workspace)
		c.checkUnique(path+".name", s.Name, seen[s.Key()])
		seen[s.Key()] = true
		c.problems.CheckOneOf(path+".class", string(s.Class), allowedClasses)
		c.problems.CheckRange(path+".deadline_millis", s.DeadlineMillis, 1, maxDeadlineMillis)
		c.problems.CheckRange(path+".declared_run_millis", s.DeclaredRunMillis, 0, maxDeclaredRunMillis)
		c.problems.CheckRange(path+".max_body_bytes", s.MaxBodyBytes, 1, maxServiceBodyBytes)
	}
}

func (c valueCheck) checkDomains(t structs.Ticket) {
	seen := make(map[string]bool, len(t.Domains))
	for i, d := range t.Domains {
		path := document.Index("domains", i) + ".name"
		c.problems.CheckName(path, d.Name)
		c.checkUnique(path, d.Name, seen[d.Name])
		seen[d.Name] = true
	}
}

func (c valueCheck) checkRemovals(t structs.Ticket) {
	c.checkRemovedWorkspaces(t)
	c.checkRemovedServices(t)
}

func (c valueCheck) checkRemovedWorkspaces(t structs.Ticket) {
	isSet := make(map[string]bool, len(t.Workspaces))
	for _, w := range t.Workspaces {
		isSet[w.Name] = true
	}
	seen := make(map[string]bool, len(t.RemoveWorkspaces))
	for i, name := range t.RemoveWorkspaces {
		path := document.Index("remove_workspaces", i)
		c.problems.CheckName(path, name)
		c.checkUnique(path, name, seen[name])
		c.checkNotSet(path, name, isSet[name], "workspaces")
		seen[name] = true
	}
}

func (c valueCheck) checkRemovedServices(t structs.Ticket) {
	isSet := make(map[structs.ServiceKey]bool, len(t.Services))
	for _, s := range t.Services {
		isSet[s.Key()] = true
	}
	seen := make(map[structs.ServiceKey]bool, len(t.RemoveServices))
	for i, r := range t.RemoveServices {
		path := document.Index("remove_services", i)
		key := structs.ServiceKey(r)
		c.problems.CheckName(path+".workspace", r.Workspace)
		c.problems.CheckName(path+".name", r.Name)
		c.checkUnique(path+".name", r.Name, seen[key])
		c.checkNotSet(path+".name", r.Name, isSet[key], "services")
		seen[key] = true
	}
}

// checkNotSet rejects the removal of an object that the same ticket sets. setList
// names the ticket's list of the objects that it sets.
func (c valueCheck) checkNotSet(path, name string, isSet bool, setList string) {
	if isSet {
		c.problems.Add(path, strconv.Quote(name), "a name that is not in "+setList+" too")
	}
}

func (c valueCheck) checkUnique(path, name string, duplicate bool) {
	if duplicate {
		c.problems.Add(path, strconv.Quote(name), "each name once")
	}
}

func (c valueCheck) checkCount(path string, n, limit int) {
	if n > limit {
		c.problems.Add(path, strconv.Itoa(n)+" entries", "at most "+strconv.Itoa(limit)+" entries")
	}
}

// checkText checks the length of a text in bytes and that it has only printable
// characters and line breaks.
func (c valueCheck) checkText(path, value string, minBytes, maxBytes int) {
	if len(value) >= minBytes && len(value) <= maxBytes && isPrintable(value) {
		return
	}
	allowed := strconv.Itoa(minBytes) + " to " + strconv.Itoa(maxBytes) + " bytes of printable text"
	c.problems.Add(path, strconv.Quote(value), allowed)
}

func isPrintable(s string) bool {
	for _, r := range s {
		if r == utf8.RuneError || !unicode.IsPrint(r) && r != '\n' {
			return false
		}
	}
	return true
}
