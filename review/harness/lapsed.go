package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

func init() { cases["lapsed"] = entriesLapse }

// entriesLapse lets the store be down until the runners' entries have lapsed, and
// kills the process that owns the service twice around the store's return: shortly
// before it, and after it has taken the service over again. The last runners' entries
// are back 1.9 s after the store. It checks TWICE.
func entriesLapse(e *env) ([]string, error) {
	const (
		service   = "triage-svc"
		runners   = 12
		jobs      = 36
		outage    = 6900 * time.Millisecond // as on the day trouble-3 of the site file
		early     = 300 * time.Millisecond
		lapse     = 3 * heartbeat           // three check-in intervals of silence
		lateEntry = 1900 * time.Millisecond // "within about two seconds of its return"
	)
	store := NewStore(e.rec, time.Hour)
	e.site = NewSite(e.rec, store, e.root, e.temp)
	fleet := NewFleet(e.rec, service)
	fleet.workFor = func(string) time.Duration { return 20 * time.Second }
	fleet.needs = func(string) resources { return resources{CPU: 8000, MemMB: 256} }
	e.site.Configure([]string{service}, route{Prefix: "/urgent/", Backend: service})
	var all []*Runner
	for i := range runners {
		all = append(all, fleet.Add(store, fmt.Sprintf("i-%02d", i), fmt.Sprintf("r1-%d", i/6), resources{CPU: 32000, MemMB: 65536, GPU: 8}))
	}
	e.site.AddInstances(3)
	if !e.site.AwaitReady() {
		return nil, errors.New("the instances aren't ready")
	}
	time.Sleep(12 * time.Second)
	var group sync.WaitGroup
	for i := range jobs {
		group.Go(func() {
			e.site.Submit(i, fmt.Sprintf("/urgent/%016x", 0xa000+i), `{"spec":"ordinary","steps":[{"count":1,"cpu":8000,"memMb":256,"estimateMs":20000}]}`)
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	if e.trouble {
		owner := e.site.Owner(service)
		if owner == nil {
			return nil, errors.New("the service has no owner")
		}
		e.rec.Log("store: down for %v", outage)
		fleet.cutFromStore.Store(true)
		for _, in := range e.site.instances {
			in.gate.refuse.Store(true)
		}
		time.Sleep(lapse)
		for _, r := range all {
			store.Drop("servers", r.id)
		}
		e.rec.Log("store: the runners' entries have lapsed")
		time.Sleep(outage - lapse - early)
		restart := func() {
			owner.Kill()
			time.Sleep(200 * time.Millisecond)
			owner.Start()
		}
		restart()
		time.Sleep(early - 200*time.Millisecond)
		epoch := store.Version(table, service, "epoch")
		for _, in := range e.site.instances {
			in.gate.refuse.Store(false)
		}
		e.rec.Log("store: back")
		for i, r := range all {
			delay := 50 * time.Millisecond
			if i < runners/3 {
				delay = lateEntry
			}
			time.AfterFunc(delay, func() {
				r.checkIn(store, 100)
				e.rec.Log("store: the entry of runner %s is back", r.id)
			})
		}
		time.AfterFunc(lateEntry, func() { fleet.cutFromStore.Store(false) })
		for deadline := time.Now().Add(time.Second); store.Version(table, service, "epoch") == epoch && time.Now().Before(deadline); {
			time.Sleep(5 * time.Millisecond)
		}
		e.rec.Log("the service is taken over")
		time.Sleep(250 * time.Millisecond)
		restart()
	}
	time.Sleep(15 * time.Second)
	var out []string
	for _, b := range fleet.Twice() {
		out = append(out, "TWICE: "+b)
	}
	return out, nil
}
