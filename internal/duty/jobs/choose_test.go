package jobs

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fake"
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
