package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["overflow"] = hugeCount }

// memoryLimit is limits.memoryMb of the settings. The platform kills a process that
// exceeds it.
const memoryLimit = 284 << 20

// residentBytes returns the memory of a process, 0 if it can't be read.
func residentBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// limitMemory kills the process when it exceeds memoryLimit, as the platform does,
// and restarts it after 0.5 s, until stop is closed. It returns the number of kills.
func (in *Instance) limitMemory(stop <-chan struct{}) int {
	kills := 0
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(2 * time.Millisecond):
		}
		in.mu.Lock()
		pid := in.process.Process.Pid
		in.mu.Unlock()
		if used := residentBytes(pid); used > memoryLimit {
			in.site.rec.Log("platform: %s uses %d MB of %d MB and is killed", in.name, used>>20, memoryLimit>>20)
			in.Kill()
			kills++
			time.Sleep(500 * time.Millisecond)
			in.Start()
		}
	}
}

// hugeCount hands in one job that can never be done, whose steps have more work
// units together than a signed 64-bit integer holds, and ordinary jobs. It checks
// LOST as the case of the staged job does.
func hugeCount(e *env) ([]string, error) {
	const (
		runners  = 6
		limit    = 3 * time.Second
		capacity = 32000
	)
	store := NewStore(e.rec, time.Hour)
	e.site = NewSite(e.rec, store, e.root, e.temp)
	fleet := NewFleet(e.rec, "triage-svc")
	fleet.workFor = func(string) time.Duration { return 300 * time.Millisecond }
	fleet.needs = func(string) resources { return resources{CPU: 1000, MemMB: 256} }
	e.site.Configure([]string{"triage-svc"}, route{Prefix: "/urgent/", Backend: "triage-svc"}, route{Prefix: "/batch/", Backend: "triage-svc", Priority: 1})
	for i := range runners {
		fleet.Add(store, fmt.Sprintf("i-%d", i), fmt.Sprintf("r1-%d", i/3), resources{CPU: capacity, MemMB: 65536, GPU: 8})
	}
	e.site.AddInstances(3)
	if !e.site.AwaitReady() {
		return nil, errors.New("the instances aren't ready")
	}
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, in := range e.site.instances {
		watching.Go(func() { e.rec.Log("platform: %s was killed %d times for its memory", in.name, in.limitMemory(stop)) })
	}
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	accepted, units := map[string]time.Duration{}, map[string]int{}
	var group sync.WaitGroup
	ordinary := func(from, n int) {
		for i := from; i < from+n; i++ {
			id := fmt.Sprintf("%016x", 0xb000+i)
			group.Go(func() {
				if e.site.Submit(i, "/urgent/"+id, `{"spec":"ordinary","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":300}]}`) {
					mu.Lock()
					accepted[id], units[id] = e.rec.Now(), 1
					mu.Unlock()
				}
			})
			time.Sleep(500 * time.Millisecond)
		}
	}
	ordinary(0, 6)
	count := int64(2)
	if e.trouble {
		count = 1 << 62
	}
	e.site.Submit(0, "/batch/00000000000000ab", fmt.Sprintf(`{"spec":"poison","steps":[{"count":%d,"cpu":1000,"memMb":256,"estimateMs":300},{"count":%d,"cpu":1000,"memMb":256,"estimateMs":300}]}`, count, count))
	ordinary(6, 24)
	group.Wait()
	time.Sleep(14 * time.Second) // finish_s
	breaches := idleJobs(e, fleet, accepted, units, limit, runners*capacity)
	close(stop)
	watching.Wait()
	return breaches, nil
}
