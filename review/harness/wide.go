package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["wide"] = wideJob }

// wideJob hands in one job of many work units, or the same number of work units as
// many jobs, beside ordinary jobs. It checks Acks.
func wideJob(e *env) ([]string, error) {
	const (
		service  = "triage-svc"
		runners  = 24
		units    = 5000
		perSplit = 500 // work units of a job without the disruption
		ordinary = 60
		ackTime  = 4 * time.Second // ackMs
		wide     = "00000000000030"
	)
	store := NewStore(e.rec, time.Hour)
	e.site = NewSite(e.rec, store, e.root, e.temp)
	fleet := NewFleet(e.rec, service)
	isWide := func(task string) bool { return strings.HasPrefix(task, wide) }
	fleet.workFor = func(task string) time.Duration {
		if isWide(task) {
			return 6 * time.Second
		}
		return time.Second
	}
	fleet.needs = func(task string) resources {
		if isWide(task) {
			return resources{CPU: 200, MemMB: 200}
		}
		return resources{CPU: 1000, MemMB: 256}
	}
	e.site.Configure([]string{service}, route{Prefix: "/urgent/", Backend: service}, route{Prefix: "/batch/", Backend: service, Priority: 1})
	for i := range runners {
		fleet.Add(store, fmt.Sprintf("i-31b174c2%02d", i), fmt.Sprintf("r1-%d", i/6), resources{CPU: 64000, MemMB: 128000, GPU: 8})
	}
	e.site.AddInstances(3)
	if !e.site.AwaitReady() {
		return nil, errors.New("the instances aren't ready")
	}
	time.Sleep(3 * time.Second)
	count, jobs := units, 1
	if !e.trouble {
		count, jobs = perSplit, units/perSplit
	}
	for i := range jobs {
		e.site.Submit(i, fmt.Sprintf("/batch/%s%02x", wide, i), fmt.Sprintf(`{"spec":"wide","steps":[{"count":%d,"cpu":200,"memMb":200,"estimateMs":6000}]}`, count))
	}
	for i := range ordinary {
		e.site.Submit(i, fmt.Sprintf("/urgent/%016x", 0xe000+i), `{"spec":"ordinary","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":1000}]}`)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(30 * time.Second)
	listed, unnoted := 0, 0
	for _, s := range fleet.Starts() {
		if s.Ended > 0 && s.Ended < e.rec.Now()-ackTime {
			listed++
			if s.Noted == 0 {
				unnoted++
			}
		}
	}
	states := map[string]int{}
	for i := range ordinary {
		_, text := e.site.instances[i%3].Call(http.MethodGet, fmt.Sprintf("/urgent/%016x", 0xe000+i), "")
		states[text]++
	}
	for i := range jobs {
		e.site.instances[i%3].Call(http.MethodGet, fmt.Sprintf("/batch/%s%02x", wide, i), "")
	}
	e.rec.Log("%d ends listed for ackMs or longer, %d not taken note of; states of the ordinary jobs: %v; transactions refused: %d", listed, unnoted, states, store.Refused())
	if unnoted*5 > listed {
		return []string{fmt.Sprintf("Acks: of %d ends that runners listed, %d aren't taken note of %v later; states of the ordinary jobs: %v", listed, unnoted, ackTime, states)}, nil
	}
	return nil, nil
}
