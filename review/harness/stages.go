package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["stages"] = stagedJob }

type stepDoc struct {
	Count      int   `json:"count"`
	CPU        int64 `json:"cpu"`
	MemMB      int64 `json:"memMb"`
	EstimateMs int64 `json:"estimateMs"`
	After      []int `json:"after,omitempty"`
}

// pipeline returns a job of stages with a number of steps each. If joined is set,
// each step of a stage comes after all steps of the stage before, else after one.
func pipeline(stages, width int, joined bool) string {
	var steps []stepDoc
	for stage := range stages {
		for k := range width {
			s := stepDoc{Count: 1, CPU: 500, MemMB: 256, EstimateMs: 300}
			for dep := range width {
				if stage > 0 && (joined || dep == k) {
					s.After = append(s.After, (stage-1)*width+dep)
				}
			}
			steps = append(steps, s)
		}
	}
	text, err := json.Marshal(map[string]any{"spec": "pipeline", "steps": steps})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// stagedJob hands in one job of 12 stages with 6 steps each, of which every stage
// waits for all of the stage before, and then ordinary jobs. It checks LOST: a job
// has nothing running for 3 s while its work unit's turn has come, there is capacity
// for it twice over and under half of the capacity is in use.
func stagedJob(e *env) ([]string, error) {
	const (
		runners    = 6
		stages     = 12
		width      = 6
		limit      = 3 * time.Second
		cpuPerUnit = 1000
		capacity   = 32000
		staged     = "00000000000000aa"
	)
	store := NewStore(e.rec, time.Hour)
	e.site = NewSite(e.rec, store, e.root, e.temp)
	fleet := NewFleet(e.rec, "triage-svc")
	fleet.workFor = func(string) time.Duration { return 300 * time.Millisecond }
	fleet.needs = func(task string) resources { return resources{CPU: cpuPerUnit, MemMB: 256} }
	e.site.Configure([]string{"triage-svc"}, route{Prefix: "/urgent/", Backend: "triage-svc"}, route{Prefix: "/batch/", Backend: "triage-svc", Priority: 1})
	for i := range runners {
		fleet.Add(store, fmt.Sprintf("i-%d", i), fmt.Sprintf("r1-%d", i/3), resources{CPU: capacity, MemMB: 65536, GPU: 8})
	}
	e.site.AddInstances(3)
	if !e.site.AwaitReady() {
		return nil, errors.New("the instances aren't ready")
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	accepted := map[string]time.Duration{}
	var group sync.WaitGroup
	ordinary := func(from, n int) {
		for i := from; i < from+n; i++ {
			id := fmt.Sprintf("%016x", 0xb000+i)
			group.Go(func() {
				if e.site.Submit(i, "/urgent/"+id, `{"spec":"ordinary","steps":[{"count":1,"cpu":1000,"memMb":256,"estimateMs":300}]}`) {
					mu.Lock()
					accepted[id] = e.rec.Now()
					mu.Unlock()
				}
			})
			time.Sleep(500 * time.Millisecond)
		}
	}
	ordinary(0, 6)
	e.rec.Log("the job of %d stages is handed in", stages)
	group.Go(func() {
		if e.site.Submit(0, "/batch/"+staged, pipeline(stages, width, e.trouble)) {
			mu.Lock()
			accepted[staged] = e.rec.Now()
			mu.Unlock()
		}
	})
	time.Sleep(time.Second)
	ordinary(6, 24)
	group.Wait()
	time.Sleep(14 * time.Second) // finish_s
	units := map[string]int{}
	for id := range accepted {
		path := "/urgent/" + id
		units[id] = 1
		if id == staged {
			path = "/batch/" + id
			units[id] = stages * width
		}
		e.site.instances[1].Call("GET", path, "")
	}
	return idleJobs(e, fleet, accepted, units, limit, runners*capacity), nil
}

// idleJobs returns the accepted jobs that have not ended, with nothing running for
// the last while, if under half of the capacity was in use meanwhile.
func idleJobs(e *env, fleet *Fleet, accepted map[string]time.Duration, units map[string]int, limit time.Duration, cpu int64) []string {
	now := e.rec.Now()
	done, running := map[string]int{}, map[string]bool{}
	var inUse int64
	for _, s := range fleet.Starts() {
		id, _, _ := strings.Cut(s.Task, ".")
		if s.How == "done" {
			done[id]++
		}
		if s.Ended == 0 || s.Ended > now-limit {
			running[id] = true
			inUse += fleet.needs(s.Task).CPU
		}
	}
	if inUse*2 >= cpu {
		return nil
	}
	var out []string
	for id, at := range accepted {
		if done[id] < units[id] && !running[id] && at < now-limit {
			out = append(out, fmt.Sprintf("LOST: job %s, accepted at %.3f, has nothing running from %.3f to %.3f; %d of %d work units are done; %d of %d thousandths of a core are in use",
				id, at.Seconds(), (now-limit).Seconds(), now.Seconds(), done[id], units[id], inUse, cpu))
		}
	}
	return out
}
