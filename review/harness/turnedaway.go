package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["turned-away"] = restartWhileTurnedAway }

// restartWhileTurnedAway lets the store turn the owner of the service away and
// serve the others, and kills and restarts the owner meanwhile. It checks LOST: a GET
// for an accepted job that nobody has cancelled is answered 410 later than visible_ms
// after the ack, by an instance without trouble.
func restartWhileTurnedAway(e *env) ([]string, error) {
	const (
		service = "triage-svc"
		jobs    = 40
		away    = 9 * time.Second // as on the day trouble-1 of the site file
		visible = 3 * time.Second // visible_ms
		contact = 3 * time.Second // contactMs
		// storeAge is the reading of the store's steady clock when the script begins.
		storeAge = 3650 * 24 * time.Hour
	)
	store := NewStore(e.rec, storeAge)
	e.site = NewSite(e.rec, store, e.root, e.temp)
	fleet := NewFleet(e.rec, service)
	fleet.workFor = func(string) time.Duration { return 1500 * time.Millisecond }
	fleet.needs = func(string) resources { return resources{CPU: 1000, MemMB: 256} }
	e.site.Configure([]string{service}, route{Prefix: "/urgent/", Backend: service})
	for i := range 6 {
		fleet.Add(store, fmt.Sprintf("i-%d", i), fmt.Sprintf("r1-%d", i/3), resources{CPU: 32000, MemMB: 65536, GPU: 8})
	}
	e.site.AddInstances(3)
	if !e.site.AwaitReady() {
		return nil, errors.New("the instances aren't ready")
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	accepted := map[string]time.Duration{}
	var group sync.WaitGroup
	group.Go(func() {
		for i := range jobs {
			path := fmt.Sprintf("/urgent/%016x", 0xd000+i)
			group.Go(func() {
				if e.site.Submit(i, path, `{"spec":"ordinary","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":1500}]}`) {
					mu.Lock()
					accepted[path] = e.rec.Now()
					mu.Unlock()
				}
			})
			time.Sleep(400 * time.Millisecond)
		}
	})
	time.Sleep(4 * time.Second)
	owner := e.site.Owner(service)
	if owner == nil {
		return nil, errors.New("the service has no owner")
	}
	if e.trouble {
		e.rec.Log("store: turns %s away with 503 for %v", owner.name, away)
		owner.gate.refuse.Store(true)
		time.Sleep(300 * time.Millisecond)
		owner.Kill()
		time.Sleep(200 * time.Millisecond)
		owner.Start()
		time.Sleep(away - 500*time.Millisecond)
		owner.gate.refuse.Store(false)
		e.rec.Log("store: serves all instances")
	} else {
		time.Sleep(away)
	}
	group.Wait()
	calm := e.rec.Now() + contact
	var out []string
	gone := map[string]bool{}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Second) {
		for path, at := range accepted {
			for _, in := range e.site.instances {
				if in == owner || gone[path] {
					continue
				}
				sent := e.rec.Now()
				status, _ := in.Call(http.MethodGet, path, "")
				if status == http.StatusGone && sent > calm && sent > at+visible {
					gone[path] = true
					out = append(out, fmt.Sprintf("LOST: GET %s, accepted at %.3f and cancelled by nobody, is answered 410 by %s at %.3f", path, at.Seconds(), in.name, sent.Seconds()))
				}
			}
		}
	}
	return out, nil
}
