package ticket

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const smallTicket = `{
  "number": 1, "author": "ana", "comment": "first",
  "workspaces": [{
    "name": "saw-bench", "borrowing_limit_accelerators": 8, "nominal_slots": 40, "weight": 2,
    "guarantees": [{"domain": "saw-hall", "gangs": 2, "members": 1, "accelerators": 8, "adjacency": "worker"}]
  }],
  "services": [{
    "name": "moisture-check", "workspace": "saw-bench", "class": "urgent", "repeatable": true,
    "deadline_millis": 2000, "declared_run_millis": 150, "max_body_bytes": 65536
  }]
}`

func problemsOf(t *testing.T, err error) []fault.Problem {
	t.Helper()
	var f *fault.Error
	must.True(t, errors.As(err, &f))
	must.Eq(t, fault.Invalid, f.Code)
	return f.Problems
}

func mustParse(t *testing.T, doc string) structs.Ticket {
	t.Helper()
	out, err := Parse([]byte(doc))
	must.NoError(t, err)
	return out
}

func TestParseDecodesTicket(t *testing.T) {
	got := mustParse(t, smallTicket)
	must.Eq(t, "saw-bench", got.Workspaces[0].Name)
	must.Eq(t, 16, got.Workspaces[0].Guarantees[0].Size())
	must.True(t, got.Services[0].Repeatable)
}

func TestParseRejectsInvalidValues(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		want     fault.Problem
	}{
		{"unknown field", `"weight": 2`, `"weight": 2, "quota": 5`,
			fault.Problem{Path: "workspaces[0].quota", Value: "unknown field", Allowed: "one of name, guarantees"}},
		{"number as string", `"number": 1`, `"number": "1"`,
			fault.Problem{Path: "number", Value: `"1"`, Allowed: "a number"}},
		{"zero number", `"number": 1`, `"number": 0`,
			fault.Problem{Path: "number", Value: "0", Allowed: "1 to 999999999999"}},
		{"number too large for its key", `"number": 1`, `"number": 1000000000000`,
			fault.Problem{Path: "number", Value: "1000000000000", Allowed: "1 to 999999999999"}},
		{"missing author", `"author": "ana",`, ``,
			fault.Problem{Path: "author", Value: "missing", Allowed: "the field"}},
		{"empty author", `"ana"`, `""`,
			fault.Problem{Path: "author", Value: `""`, Allowed: "1 to 128 bytes of printable text"}},
		{"missing guarantees", `"weight": 2,
    "guarantees": [{"domain": "saw-hall", "gangs": 2, "members": 1, "accelerators": 8, "adjacency": "worker"}]`, `"weight": 2`,
			fault.Problem{Path: "workspaces[0].guarantees", Value: "missing", Allowed: "the field"}},
		{"missing repeatable", `"repeatable": true,`, ``,
			fault.Problem{Path: "services[0].repeatable", Value: "missing", Allowed: "also where its value is empty, 0 or false"}},
		{"control character", `"ana"`, `"a\u0007"`,
			fault.Problem{Path: "author", Value: `"a\a"`, Allowed: "printable"}},
		{"slash in name", `"name": "saw-bench"`, `"name": "saw/bench"`,
			fault.Problem{Path: "workspaces[0].name", Value: `"saw/bench"`, Allowed: "a-z, 0-9 and -"}},
		{"long name", `"moisture-check"`, `"` + strings.Repeat("m", 64) + `"`,
			fault.Problem{Path: "services[0].name", Value: "mmm", Allowed: "1 to 63 characters"}},
		{"missing weight", `, "weight": 2`, ``,
			fault.Problem{Path: "workspaces[0].weight", Value: "missing", Allowed: "the field"}},
		{"negative slots", `"nominal_slots": 40`, `"nominal_slots": -1`,
			fault.Problem{Path: "workspaces[0].nominal_slots", Value: "-1", Allowed: "0 to 100000"}},
		{"zero gangs", `"gangs": 2`, `"gangs": 0`,
			fault.Problem{Path: "workspaces[0].guarantees[0].gangs", Value: "0", Allowed: "1 to 10000"}},
		{"gang too large", `"members": 1`, `"members": 257`,
			fault.Problem{Path: "workspaces[0].guarantees[0].members", Value: "257", Allowed: "1 to 256"}},
		{"unknown adjacency", `"adjacency": "worker"`, `"adjacency": "near"`,
			fault.Problem{Path: "workspaces[0].guarantees[0].adjacency", Value: `"near"`, Allowed: "one of worker, rack, domain"}},
		{"duplicate guarantee", `"adjacency": "worker"}`,
			`"adjacency": "worker"}, {"domain": "saw-hall", "gangs": 1, "members": 1, "accelerators": 8, "adjacency": "worker"}`,
			fault.Problem{Path: "workspaces[0].guarantees[1]", Value: "duplicate guarantee", Allowed: "each combination of domain, members, accelerators and adjacency once, with the gangs added up"}},
		{"unknown class", `"urgent"`, `"asap"`,
			fault.Problem{Path: "services[0].class", Value: `"asap"`, Allowed: "one of urgent, normal, batch"}},
		{"missing deadline", `"deadline_millis": 2000,`, ``,
			fault.Problem{Path: "services[0].deadline_millis", Value: "missing", Allowed: "the field"}},
		{"zero deadline", `"deadline_millis": 2000`, `"deadline_millis": 0`,
			fault.Problem{Path: "services[0].deadline_millis", Value: "0", Allowed: "1 to 86400000"}},
		{"repeatable as string", `"repeatable": true`, `"repeatable": "yes"`,
			fault.Problem{Path: "services[0].repeatable", Value: `"yes"`, Allowed: "a boolean"}},
		{"workspace removed twice", `"services"`, `"remove_workspaces": ["a", "a"], "services"`,
			fault.Problem{Path: "remove_workspaces[1]", Value: `"a"`, Allowed: "each name once"}},
		{"workspace set and removed", `"services"`, `"remove_workspaces": ["saw-bench"], "services"`,
			fault.Problem{Path: "remove_workspaces[0]", Value: `"saw-bench"`, Allowed: "a name that is not in workspaces too"}},
		{"service set and removed", `"services"`, `"remove_services": [{"workspace": "saw-bench", "name": "moisture-check"}], "services"`,
			fault.Problem{Path: "remove_services[0].name", Value: `"moisture-check"`, Allowed: "a name that is not in services too"}},
		{"missing evacuated", `"services"`, `"domains": [{"name": "north"}], "services"`,
			fault.Problem{Path: "domains[0].evacuated", Value: "missing", Allowed: "also where its value is empty, 0 or false"}},
		{"domain twice", `"services"`, `"domains": [{"name": "north", "evacuated": true}, {"name": "north", "evacuated": false}], "services"`,
			fault.Problem{Path: "domains[1].name", Value: `"north"`, Allowed: "each name once"}},
		{"slash in name of domain", `"services"`, `"domains": [{"name": "no/rth", "evacuated": true}], "services"`,
			fault.Problem{Path: "domains[0].name", Value: `"no/rth"`, Allowed: "a-z, 0-9 and -"}},
		{"list of wrong type", `"services"`, `"remove_services": {}, "services"`,
			fault.Problem{Path: "remove_services", Value: "an object", Allowed: "an array"}},
		{"truncated document", `]
}`, `]`,
			fault.Problem{Path: "document", Value: "unexpected end", Allowed: "a JSON object"}},
		{"not UTF-8", `"ana"`, "\"a\xff\"",
			fault.Problem{Path: "document", Value: "not UTF-8", Allowed: "in UTF-8"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			doc := strings.Replace(smallTicket, c.old, c.new, 1)
			must.NotEq(t, smallTicket, doc)
			_, err := Parse([]byte(doc))
			problems := problemsOf(t, err)
			must.SliceLen(t, 1, problems)
			must.Eq(t, c.want.Path, problems[0].Path)
			must.StrContains(t, problems[0].Value, c.want.Value)
			must.StrContains(t, problems[0].Allowed, c.want.Allowed)
		})
	}
}

func TestParseRejectsTicketWithoutChange(t *testing.T) {
	_, err := Parse([]byte(`{"number": 1, "author": "ana", "workspaces": []}`))
	must.Eq(t, []fault.Problem{{
		Path:    "document",
		Value:   "no change",
		Allowed: "at least one entry in workspaces, services, domains, remove_workspaces or remove_services",
	}}, problemsOf(t, err))
}

func TestParseRejectsOversizedDocument(t *testing.T) {
	doc := smallTicket + strings.Repeat(" ", MaxDocumentBytes)
	_, err := Parse([]byte(doc))
	must.Eq(t, "at most 1048576 bytes", problemsOf(t, err)[0].Allowed)
}

// Guards against reporting only the first problem of a document.
func TestParseReportsAllProblems(t *testing.T) {
	doc := strings.NewReplacer(`"number": 1`, `"number": -4`, `"gangs": 2`, `"gangs": "two"`,
		`"weight": 2`, `"weight": 5000`, `"urgent"`, `"asap"`, `"author": "ana"`, `"writer": "ana"`).Replace(smallTicket)
	_, err := Parse([]byte(doc))
	var paths []string
	for _, p := range problemsOf(t, err) {
		paths = append(paths, p.Path)
	}
	must.SliceContainsAll(t, paths, []string{
		"writer", "workspaces[0].guarantees[0].gangs", "number", "author", "workspaces[0].weight", "services[0].class",
	})
}

func TestDigestIgnoresLayoutAndOrder(t *testing.T) {
	const original = `{"number": 1, "author": "ana", "remove_workspaces": ["a", "b"], "remove_services": [
		{"workspace": "a", "name": "x"}, {"workspace": "a", "name": "y"}]}`
	const reordered = `{"author": "ana", "remove_services": [{"name": "y", "workspace": "a"},
		{"name": "x", "workspace": "a"}], "remove_workspaces": ["b", "a"], "number": 1, "workspaces": []}`
	must.Eq(t, Digest(mustParse(t, original)), Digest(mustParse(t, reordered)))
	must.NotEq(t, Digest(mustParse(t, original)), Digest(mustParse(t, strings.Replace(original, `"x"`, `"z"`, 1))))
}

// Guards against a digest that leaves domains out, so that a restoration sent under
// the number of an evacuation would count as accepted, and against one that depends
// on their order.
func TestDigestCoversDomains(t *testing.T) {
	const original = `{"number": 1, "author": "ana", "domains": [
		{"name": "north", "evacuated": true}, {"name": "south", "evacuated": false}]}`
	const reordered = `{"number": 1, "author": "ana", "domains": [
		{"name": "south", "evacuated": false}, {"name": "north", "evacuated": true}]}`
	must.Eq(t, Digest(mustParse(t, original)), Digest(mustParse(t, reordered)))
	must.NotEq(t, Digest(mustParse(t, original)), Digest(mustParse(t, strings.Replace(original, "true", "false", 1))))
}

// Digests are stored with accepted tickets. If the digest of a ticket changed,
// sending that ticket again would fail with a conflict.
func TestDigestIsStable(t *testing.T) {
	must.Eq(t, "712ba10dd74ee3425c03a6b6eb3aefaf1ac64b3fdc2950914dd7f49953880be9", Digest(mustParse(t, smallTicket)))
}

func TestExamplesApplyInOrder(t *testing.T) {
	for name, files := range map[string][]string{
		"willow":   {"1.json", "2.json", "3.json"},
		"crossing": {"1.json", "2.json"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := EmptyConfig()
			for _, file := range files {
				doc, err := os.ReadFile(filepath.Join("..", "..", "examples", name, file))
				must.NoError(t, err)
				next := mustParse(t, string(doc))
				must.NoError(t, Check(cfg, next, Fleet{}))
				cfg = Apply(cfg, next)
			}
			must.Eq(t, len(files), int(cfg.Number))
			must.MapLen(t, 4, cfg.Workspaces)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallTicket))
	f.Fuzz(func(t *testing.T, doc []byte) {
		got, err := Parse(doc)
		if err != nil {
			must.NotEq(t, 0, len(problemsOf(t, err)))
			return
		}
		encoded, err := json.Marshal(got)
		must.NoError(t, err)
		decoded, err := Parse(encoded)
		must.NoError(t, err)
		must.Eq(t, Digest(got), Digest(decoded))
	})
}
