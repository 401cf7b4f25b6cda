package jobs

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/store"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// Guards against queuing new jobs in an evacuated failure domain, even if it looks
// best by the summary of an owner that hears of the evacuation late. Pinned jobs,
// and all jobs while every failure domain is evacuated, still are.
func TestNewJobsAvoidEvacuatedDomains(t *testing.T) {
	cases := []struct {
		evacuated []string
		pin       string
		want      string
	}{
		{nil, "", "north"},
		{[]string{"north"}, "", "south"},
		{[]string{"north"}, "north", "north"},
		{[]string{"north", "south"}, "", "north"},
	}
	for _, c := range cases {
		cfg := &structs.Config{Evacuated: make(map[string]bool)}
		for _, name := range c.evacuated {
			cfg.Evacuated[name] = true
		}
		summaries := func() []port.DomainSummary {
			return []port.DomainSummary{{Domain: "north", FreeAccelerators: 6400, LargestBlock: 6400}, {Domain: "south"}}
		}
		js := New(store.New(fake.NewTable(), "entry"), noPeers{}, []string{"north", "south"},
			func() *structs.Config { return cfg }, summaries, func(string) {})
		for range 20 {
			s := spec("scan")
			s.Domain = c.pin
			must.Eq(t, c.want, js.chooseDomain(s))
		}
	}
}

// Guards against a query that counts as a submission, and would send later jobs elsewhere.
func TestExamineCountsNothing(t *testing.T) {
	s := spec("scan")
	s.Domain = ""
	cfg := &structs.Config{Workspaces: map[string]structs.Workspace{s.Key.Workspace: {}}}
	summaries := func() []port.DomainSummary {
		return []port.DomainSummary{{Domain: "north", FreeAccelerators: 16, LargestBlock: 16}, {Domain: "south", FreeAccelerators: 9, LargestBlock: 9}}
	}
	js := New(store.New(fake.NewTable(), "entry"), noPeers{}, []string{"north", "south"}, func() *structs.Config { return cfg }, summaries, func(string) {})
	for range 3 {
		domain, err := js.Examine(s, maxPayloadBytes)
		must.NoError(t, err)
		must.Eq(t, "north", domain)
	}
	_, err := js.Examine(s, maxPayloadBytes+1)
	must.EqOp(t, fault.Invalid, fault.CodeOf(err))
	s.Key.Workspace = "none"
	_, err = js.Examine(s, 0)
	must.EqOp(t, fault.NotFound, fault.CodeOf(err))
}
