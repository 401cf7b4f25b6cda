package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["left"] = consumerLeaves }

// consumerLeaves hands jobs in, of which the consumer breaks off before the answer
// and then cancels. The store performs the writes whose channel was closed some
// seconds later. It checks UNASKED: a work unit starts later than cancel_ms after the
// cancelling was acknowledged.
func consumerLeaves(e *env) ([]string, error) {
	const (
		service  = "triage-svc"
		jobs     = 5
		patience = 200 * time.Millisecond
		late     = 5 * time.Second
		cancel   = 3 * time.Second // cancel_ms
	)
	store := NewStore(e.rec, time.Hour)
	e.site = NewSite(e.rec, store, e.root, e.temp)
	fleet := NewFleet(e.rec, service)
	fleet.workFor = func(string) time.Duration { return time.Second }
	fleet.needs = func(string) resources { return resources{CPU: 1000, MemMB: 256} }
	e.site.Configure([]string{service}, route{Prefix: "/urgent/", Backend: service})
	for i := range 3 {
		fleet.Add(store, fmt.Sprintf("i-%d", i), fmt.Sprintf("r1-%d", i), resources{CPU: 32000, MemMB: 65536, GPU: 8})
	}
	e.site.AddInstances(3)
	if !e.site.AwaitReady() {
		return nil, errors.New("the instances aren't ready")
	}
	time.Sleep(4 * time.Second)
	acked := map[string]time.Duration{}
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xf000+i)
		in := e.site.instances[0]
		if e.trouble {
			in.gate.late.Store(&lateWrite{suffix: id, delay: late})
		}
		in.CallWithin(patience, http.MethodPost, "/urgent/"+id, `{"spec":"ordinary","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":1000}]}`)
		time.Sleep(200 * time.Millisecond)
		status, _ := e.site.instances[1].Call(http.MethodDelete, "/urgent/"+id, "")
		if status/100 == 2 || status == http.StatusGone {
			acked[id] = e.rec.Now()
		}
		time.Sleep(time.Second)
	}
	time.Sleep(late + 5*time.Second)
	var out []string
	for _, s := range fleet.Starts() {
		id, _, _ := strings.Cut(s.Task, ".")
		if at, ok := acked[id]; ok && s.At > at+cancel {
			out = append(out, fmt.Sprintf("UNASKED: %s starts on %s at %.3f, its cancelling was acknowledged at %.3f", s.Task, s.Runner, s.At.Seconds(), at.Seconds()))
		}
	}
	return out, nil
}
