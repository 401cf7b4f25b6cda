package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["same-id"] = sameID }

// sameID lets a consumer of another tenant hand in a job on its own queue under an ID
// that the first tenant uses. It checks MIXED: a job is shown as completed while its
// work units haven't ended so.
func sameID(e *env) ([]string, error) {
	const service = "triage-svc"
	store := NewStore(e.rec, time.Hour)
	e.site = NewSite(e.rec, store, e.root, e.temp)
	fleet := NewFleet(e.rec, service)
	fleet.workFor = func(string) time.Duration { return time.Second }
	fleet.needs = func(string) resources { return resources{CPU: 1000, MemMB: 256} }
	e.site.Configure([]string{service}, route{Prefix: "/team-a/", Backend: service}, route{Prefix: "/team-b/", Backend: service})
	for i := range 3 {
		fleet.Add(store, fmt.Sprintf("i-%d", i), fmt.Sprintf("r1-%d", i), resources{CPU: 32000, MemMB: 65536, GPU: 8})
	}
	e.site.AddInstances(3)
	if !e.site.AwaitReady() {
		return nil, errors.New("the instances aren't ready")
	}
	time.Sleep(4 * time.Second)
	var out []string
	for i := range 5 {
		a, b := fmt.Sprintf("%016x", i+1), fmt.Sprintf("%016x", i+0x1001)
		if e.trouble {
			b = a
		}
		doc := `{"spec":"%s","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":1000}]}`
		e.site.Submit(0, "/team-a/"+a, fmt.Sprintf(doc, "spec of a"))
		e.site.Submit(1, "/team-b/"+b, fmt.Sprintf(doc, "spec of b"))
		time.Sleep(4 * time.Second)
		_, text := e.site.instances[2].Call(http.MethodGet, "/team-b/"+b, "")
		ran := false
		for _, s := range fleet.Starts() {
			ran = ran || strings.HasPrefix(s.Task, b) && s.Spec == "spec of b"
		}
		if strings.Contains(text, "completed") && !ran {
			out = append(out, fmt.Sprintf("MIXED: /team-b/%s was accepted and is shown as completed, no work unit with its spec was started", b))
		}
	}
	return out, nil
}
