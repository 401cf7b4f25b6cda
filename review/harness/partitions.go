package main

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"
)

func init() { cases["partitions"] = restartInPartialOutage }

// restartInPartialOutage kills and restarts the process that owns the service while
// a quarter of the parts of the store is unavailable. It checks TWICE.
func restartInPartialOutage(e *env) ([]string, error) {
	const (
		service = "triage-svc"
		jobs    = 1000
		runners = 24
		outage  = 6900 * time.Millisecond // as on the day trouble-3 of the site file
	)
	store := NewStore(e.rec, time.Hour)
	e.site = NewSite(e.rec, store, e.root, e.temp)
	fleet := NewFleet(e.rec, service)
	fleet.workFor = func(task string) time.Duration { // 2 to 5.8 s
		n, _ := strconv.ParseInt(task[12:16], 16, 64)
		return 2*time.Second + time.Duration(n%20)*200*time.Millisecond
	}
	fleet.needs = func(string) resources { return resources{CPU: 4000, MemMB: 256} }
	e.site.Configure([]string{service}, route{Prefix: "/urgent/", Backend: service})
	for i := range runners {
		fleet.Add(store, fmt.Sprintf("i-%d", i), fmt.Sprintf("r1-%d", i/6), resources{CPU: 32000, MemMB: 65536, GPU: 8})
	}
	e.site.AddInstances(3)
	if !e.site.AwaitReady() {
		return nil, errors.New("the instances aren't ready")
	}
	time.Sleep(12 * time.Second)
	var group sync.WaitGroup
	began := time.Now()
	for i := range jobs {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 4 * time.Millisecond)
			e.site.Submit(i, fmt.Sprintf("/urgent/%016x", 0xc000+i), `{"spec":"ordinary","steps":[{"count":1,"cpu":4000,"memMb":256,"estimateMs":4000}]}`)
		})
	}
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	at(4 * time.Second)
	if e.trouble {
		e.rec.Log("store: four of its parts answer 503 for %v", outage)
		store.SetDown(service+".0", service+".4", service+".8", service+".12")
	}
	for _, after := range []time.Duration{1300, 3300, 5300} {
		at(4*time.Second + after*time.Millisecond)
		if !e.trouble {
			continue
		}
		owner := e.site.Owner(service)
		if owner == nil {
			return nil, errors.New("the service has no owner")
		}
		owner.Kill()
		time.Sleep(200 * time.Millisecond)
		owner.Start()
	}
	at(4*time.Second + outage)
	store.SetDown()
	e.rec.Log("store: all parts work")
	group.Wait()
	at(40 * time.Second)
	for i := range 24 {
		e.site.instances[i%3].Call("GET", fmt.Sprintf("/urgent/%016x", 0xc000+i), "")
	}
	var out []string
	for _, b := range fleet.Twice() {
		out = append(out, "TWICE: "+b)
	}
	return out, nil
}
