package settings

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
	"github.com/lentilwinch/lentilwinch/internal/settings/document"
)

const minimalDocument = `{
  "instance_id": "north-1", "failure_domain": "north-yard", "region": "adama",
  "listen_address": "0.0.0.0:7420", "advertise_address": "127.0.0.1:7420",
  "platform": {
    "table_address": "127.0.0.1:7401", "objects_address": "127.0.0.1:7402",
    "instances_address": "127.0.0.1:7403", "workers_address": "127.0.0.1:7404"
  },
  "ownership": {"domains": ["north-yard", "river-yard"]}
}`

func problemsOf(t *testing.T, err error) []fault.Problem {
	t.Helper()
	var f *fault.Error
	must.True(t, errors.As(err, &f))
	must.Eq(t, fault.Invalid, f.Code)
	return f.Problems
}

func TestLoadKeepsDefaultsOfMissingFields(t *testing.T) {
	got, err := Load(strings.NewReader(minimalDocument))
	must.NoError(t, err)
	must.Eq(t, Default().Requests, got.Requests)
	must.Eq(t, Milliseconds(2000), got.Session.TTLMillis)
	must.Eq(t, []string{"north-yard", "river-yard"}, got.Ownership.Domains)
}

func TestLoadFileReportsMissingFile(t *testing.T) {
	_, err := LoadFile("testdata/none.json")
	must.Eq(t, fault.NotFound, fault.CodeOf(err))
}

func TestLoadRejectsInvalidValues(t *testing.T) {
	cases := []struct {
		name     string
		old, new string
		want     fault.Problem
	}{
		{"unknown field", `"region"`, `"zone": 1, "region"`,
			fault.Problem{Path: "zone", Value: "unknown field", Allowed: "one of instance_id, failure_domain, region"}},
		{"field in another case", `"region"`, `"Region": "x", "region"`,
			fault.Problem{Path: "Region", Value: "unknown field", Allowed: "one of instance_id"}},
		{"repeated field", `"region"`, `"region": "x", "region"`,
			fault.Problem{Path: "region", Value: "repeated field", Allowed: "each field once"}},
		{"wrong type", `"instance_id": "north-1"`, `"instance_id": 7`,
			fault.Problem{Path: "instance_id", Value: "7", Allowed: "a string"}},
		{"null", `"instance_id": "north-1"`, `"instance_id": null`,
			fault.Problem{Path: "instance_id", Value: "null", Allowed: "a string"}},
		{"missing name", `"instance_id": "north-1",`, ``,
			fault.Problem{Path: "instance_id", Value: `""`, Allowed: "1 to 63 characters"}},
		{"name ending in a dash", `"instance_id": "north-1"`, `"instance_id": "north-"`,
			fault.Problem{Path: "instance_id", Value: `"north-"`, Allowed: "1 to 63 characters"}},
		{"host name for an address", `"127.0.0.1:7401"`, `"localhost:7401"`,
			fault.Problem{Path: "platform.table_address", Value: `"localhost:7401"`, Allowed: "IP:port"}},
		{"address without port", `"127.0.0.1:7402"`, `"127.0.0.1"`,
			fault.Problem{Path: "platform.objects_address", Value: `"127.0.0.1"`, Allowed: "IP:port"}},
		{"advertised wildcard", `"127.0.0.1:7420"`, `"0.0.0.0:7420"`,
			fault.Problem{Path: "advertise_address", Value: `"0.0.0.0:7420"`, Allowed: "of one host"}},
		{"section of wrong type", `"region"`, `"session": [], "region"`,
			fault.Problem{Path: "session", Value: "an array", Allowed: "an object"}},
		{"fraction", `"region"`, `"session": {"ttl_ms": 2000.5}, "region"`,
			fault.Problem{Path: "session.ttl_ms", Value: "2000.5", Allowed: "a whole number"}},
		{"number beyond 64 bits", `"region"`, `"session": {"ttl_ms": 92233720368547758080}, "region"`,
			fault.Problem{Path: "session.ttl_ms", Value: "92233720368547758080", Allowed: "a whole number"}},
		{"below range", `"region"`, `"requests": {"queue_limit": 0}, "region"`,
			fault.Problem{Path: "requests.queue_limit", Value: "0", Allowed: "1 to 1000000"}},
		{"above range", `"region"`, `"requests": {"backend_connections_per_server": 61}, "region"`,
			fault.Problem{Path: "requests.backend_connections_per_server", Value: "61", Allowed: "1 to 60"}},
		{"unknown level", `"region"`, `"log": {"level": "loud"}, "region"`,
			fault.Problem{Path: "log.level", Value: `"loud"`, Allowed: "one of debug, info, warn, error"}},
		{"no domains", `["north-yard", "river-yard"]`, `[]`,
			fault.Problem{Path: "ownership.domains", Value: "0 domains", Allowed: "1 to 64"}},
		{"repeated domain", `["north-yard", "river-yard"]`, `["north-yard", "north-yard"]`,
			fault.Problem{Path: "ownership.domains[1]", Value: `"north-yard"`, Allowed: "each failure domain once"}},
		{"own domain not listed", `["north-yard", "river-yard"]`, `["river-yard"]`,
			fault.Problem{Path: "failure_domain", Value: `"north-yard"`, Allowed: "one of ownership.domains: river-yard"}},
		{"session expires between heartbeats", `"region"`, `"session": {"heartbeat_ms": 900}, "region"`,
			fault.Problem{Path: "session.ttl_ms", Value: "2000", Allowed: "at least 3 times session.heartbeat_ms (900)"}},
		{"worker lease expires between renewals", `"region"`, `"worker_lease": {"ttl_ms": 5000}, "region"`,
			fault.Problem{Path: "worker_lease.ttl_ms", Value: "5000", Allowed: "at least 3 times worker_lease.renew_ms (3000)"}},
		{"configuration stale before the next poll", `"region"`, `"config": {"stale_after_ms": 1500}, "region"`,
			fault.Problem{Path: "config.stale_after_ms", Value: "1500", Allowed: "at least 2 times config.poll_ms"}},
		{"call timeout above session TTL", `"127.0.0.1:7404"`, `"127.0.0.1:7404", "call_timeout_ms": 2500`,
			fault.Problem{Path: "session.ttl_ms", Value: "2000", Allowed: "at least platform.call_timeout_ms (2500)"}},
		{"setting of an earlier release", `"region"`, `"jobs": {"reclaim_bound_ms": 4000}, "region"`,
			fault.Problem{Path: "jobs.reclaim_bound_ms", Value: "unknown field", Allowed: "one of checkpoint_timeout_ms"}},
		{"peer read deadline below 3 heartbeats", `"region"`, `"peers": {"read_deadline_ms": 1000}, "region"`,
			fault.Problem{Path: "peers.read_deadline_ms", Value: "1000", Allowed: "at least 3 times peers.heartbeat_ms"}},
		{"not JSON", `"region": "adama",`, `"region": ,`,
			fault.Problem{Path: "document", Value: "at byte", Allowed: "a JSON object"}},
		{"trailing data", `"river-yard"]}`, `"river-yard"]}} `,
			fault.Problem{Path: "document", Value: "more data after the document", Allowed: "a JSON object"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			doc := strings.Replace(minimalDocument, c.old, c.new, 1)
			must.NotEq(t, minimalDocument, doc)
			_, err := Load(strings.NewReader(doc))
			problems := problemsOf(t, err)
			must.SliceLen(t, 1, problems)
			must.Eq(t, c.want.Path, problems[0].Path)
			must.StrContains(t, problems[0].Value, c.want.Value)
			must.StrContains(t, problems[0].Allowed, c.want.Allowed)
		})
	}
}

// Guards against reporting only the first problem: it fails when
// document.Problems.Add drops the later ones.
func TestLoadReportsAllProblemsTogether(t *testing.T) {
	const doc = `{
	  "instance_id": 7, "failure_domain": "nowhere", "listen_address": "here", "zone": true,
	  "advertise_address": "127.0.0.1:0", "platform": {"table_address": "db:1", "color": "red"},
	  "session": {"heartbeat_ms": 1000}, "ownership": {"domains": ["north-yard", 5]},
	  "requests": {"claim_batch": -1}, "log": {"level": "loud"}
	}`
	_, err := Load(strings.NewReader(doc))
	var paths []string
	for _, p := range problemsOf(t, err) {
		paths = append(paths, p.Path)
	}
	must.SliceContainsAll(t, paths, []string{
		"instance_id", "failure_domain", "zone", "platform.color", "ownership.domains[1]", "region", "listen_address",
		"advertise_address", "platform.table_address", "platform.objects_address",
		"platform.instances_address", "platform.workers_address", "requests.claim_batch",
		"log.level", "session.ttl_ms",
	})
}

func TestErrorTextListsEachProblem(t *testing.T) {
	doc := strings.NewReplacer(`"north-1"`, `7`, `"adama"`, `""`).Replace(minimalDocument)
	_, err := Load(strings.NewReader(doc))
	must.Eq(t, []string{
		"invalid: settings are invalid",
		"  instance_id: found 7; allowed: a string",
		`  region: found ""; allowed: 1 to 63 characters: a-z, 0-9 and -, beginning and ending with a letter or digit`,
	}, strings.Split(document.ErrorText(err), "\n"))
}

func TestLoadLimitsDocument(t *testing.T) {
	t.Run("size", func(t *testing.T) {
		_, err := Load(strings.NewReader(strings.Repeat(" ", maxDocumentBytes+1)))
		must.Eq(t, "document", problemsOf(t, err)[0].Path)
	})
	t.Run("depth", func(t *testing.T) {
		_, err := Load(strings.NewReader(strings.Repeat("[", 1000)))
		must.StrContains(t, problemsOf(t, err)[0].Value, "nested too deeply")
	})
	t.Run("values", func(t *testing.T) {
		_, err := Load(strings.NewReader("[" + strings.Repeat("1,", maxDocumentBytes/2-2) + "1]"))
		must.StrContains(t, problemsOf(t, err)[0].Value, "more than 100000 values")
	})
	t.Run("problems", func(t *testing.T) {
		doc := `{"ownership": {"domains": [` + strings.TrimSuffix(strings.Repeat("1,", 20_000), ",") + `]}}`
		_, err := Load(strings.NewReader(doc))
		must.Less(t, 300, len(problemsOf(t, err)))
	})
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(minimalDocument))
	f.Fuzz(func(t *testing.T, doc []byte) {
		got, err := Load(strings.NewReader(string(doc)))
		if err != nil {
			must.NotEq(t, 0, len(problemsOf(t, err)))
			return
		}
		encoded, err := json.Marshal(got)
		must.NoError(t, err)
		reloaded, err := Load(strings.NewReader(string(encoded)))
		must.NoError(t, err)
		must.Eq(t, got, reloaded)
	})
}
