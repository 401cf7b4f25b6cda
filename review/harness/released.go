package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["released"] = manyJobsReleased }

// manyJobsReleased fills all runners with large jobs while small jobs wait, and
// cancels the large jobs. Without the disruption these end one after the other. It
// checks Acks: more than a fifth of the ends that runners list aren't taken note of
// after ackMs in a stretch in which the store was stable and no link was disrupted.
func manyJobsReleased(e *env) ([]string, error) {
	const (
		service = "triage-svc"
		runners = 24
		small   = 1400
		ackTime = 4 * time.Second // ackMs
	)
	store := NewStore(e.rec, time.Hour)
	e.site = NewSite(e.rec, store, e.root, e.temp)
	fleet := NewFleet(e.rec, service)
	isLarge := func(task string) bool { return strings.HasPrefix(task, "0000000000001") }
	fleet.workFor = func(task string) time.Duration {
		if !isLarge(task) {
			return 3 * time.Second
		}
		if e.trouble {
			return 80 * time.Second
		}
		var n int64
		_, _ = fmt.Sscanf(task[13:16], "%x", &n)
		return 30*time.Second + time.Duration(n)*600*time.Millisecond
	}
	fleet.needs = func(task string) resources {
		if isLarge(task) {
			return resources{CPU: 64000, MemMB: 1000}
		}
		return resources{CPU: 1000, MemMB: 100}
	}
	e.site.Configure([]string{service}, route{Prefix: "/urgent/", Backend: service}, route{Prefix: "/batch/", Backend: service, Priority: 1})
	for i := range runners {
		fleet.Add(store, fmt.Sprintf("i-%02d", i), fmt.Sprintf("r1-%d", i/6), resources{CPU: 64000, MemMB: 128000, GPU: 8})
	}
	e.site.AddInstances(3)
	if !e.site.AwaitReady() {
		return nil, errors.New("the instances aren't ready")
	}
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	largePath := func(i int) string { return fmt.Sprintf("/urgent/0000000000001%03x", i) }
	for i := range runners {
		group.Go(func() {
			e.site.Submit(i, largePath(i), `{"spec":"large","steps":[{"count":1,"cpu":64000,"memMb":1000,"estimateMs":40000}]}`)
		})
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	accepted := 0
	began := time.Now()
	for i := range small {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 12 * time.Millisecond)
			if e.site.Submit(i, fmt.Sprintf("/batch/0000000000002%03x", i), `{"spec":"small","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":3000}]}`) {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		})
	}
	group.Wait()
	e.rec.Log("%d small jobs wait", accepted)
	time.Sleep(2 * time.Second)
	if e.trouble {
		for i := range runners {
			group.Go(func() { e.site.instances[i%3].Call(http.MethodDelete, largePath(i), "") })
		}
		group.Wait()
	}
	for time.Since(began) < 70*time.Second {
		time.Sleep(time.Second)
		if done, _ := ends(fleet); e.trouble && done >= small && time.Since(began) > 45*time.Second {
			break
		}
	}
	time.Sleep(ackTime)
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
	for i := 0; i < small; i += 10 {
		_, text := e.site.instances[i%3].Call(http.MethodGet, fmt.Sprintf("/batch/0000000000002%03x", i), "")
		states[text]++
	}
	e.rec.Log("%d ends listed for ackMs or longer, %d not taken note of; states of every tenth small job: %v; transactions refused: %d", listed, unnoted, states, store.Refused())
	if unnoted*5 > listed {
		return []string{fmt.Sprintf("Acks: of %d ends that runners listed, %d aren't taken note of %v later; states of every tenth small job: %v", listed, unnoted, ackTime, states)}, nil
	}
	return nil, nil
}

// ends returns how many runs have ended done and how many otherwise.
func ends(f *Fleet) (done, other int) {
	for _, s := range f.Starts() {
		switch {
		case s.How == "done":
			done++
		case s.Ended > 0:
			other++
		}
	}
	return done, other
}
