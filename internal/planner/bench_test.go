package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/port"
	"github.com/lentilwinch/lentilwinch/internal/work"
)

// overloadedPlanner returns a planner whose workers are all in use, with queued
// jobs of three priorities, most of them gangs, as at the peak of a burst.
func overloadedPlanner(workers, jobs int) (*Planner, time.Duration) {
	rng := rand.New(rand.NewPCG(7, 7))
	p := New(Settings{ReclaimWithin: 3 * time.Second}, 1)
	now := time.Second
	for i := range workers {
		id := fmt.Sprintf("w%04d", i)
		p.PutWorker(work.Worker{ID: id, Rack: fmt.Sprintf("r%d", i/6), Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
		p.HandleReport(now, now, id, port.HoldReply{})
	}
	for k := range jobs {
		s := work.Step{Count: 1 + rng.IntN(8), Estimate: time.Duration(1+rng.IntN(9)) * time.Second,
			Need: work.Resources{CPU: 5000, MemMB: 15000, Accel: []int64{1, 2, 4, 8, 8}[rng.IntN(5)]}}
		s.Gang = rng.IntN(3) > 0
		s.SameRack = s.Gang && rng.IntN(2) == 0
		priority := rng.IntN(3)
		p.AddJob(now, 0, work.Record{State: work.Queued, Job: work.Job{ID: fmt.Sprintf("j%05d", k), Queue: fmt.Sprint(priority),
			Workspace: fmt.Sprint(k % 4), Priority: priority, Stretch: 3, Target: time.Second, Steps: []work.Step{s}}}, false)
	}
	for _, o := range p.Plan(now) {
		p.StartAnswered(now, o.Worker, o.Task, o.Run, port.NotRejected)
	}
	return p, now
}

func benchmarkPlan(b *testing.B, workers, jobs int) {
	p, now := overloadedPlanner(workers, jobs)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		p.Plan(now)
	}
}

func BenchmarkPlan48Workers300Jobs(b *testing.B)   { benchmarkPlan(b, 48, 300) }
func BenchmarkPlan350Workers2000Jobs(b *testing.B) { benchmarkPlan(b, 350, 2000) }

// benchmarkPlaceRacks plans a pass that places gangs in single racks of empty workers. If
// varied, the gangs differ in size, need, estimate and objective, so that few are alike.
func benchmarkPlaceRacks(b *testing.B, uneven, varied bool) {
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		p, now := New(Settings{ReclaimWithin: 3 * time.Second}, 1), time.Second
		for i := range 1100 {
			id := fmt.Sprintf("w%04d", i)
			p.PutWorker(work.Worker{ID: id, Rack: fmt.Sprintf("r%d", i/8), Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
			p.HandleReport(now, now, id, port.HoldReply{})
		}
		if uneven {
			p.observeUneven(now)
		}
		for k := range 2000 {
			s := work.Step{Count: 3, Estimate: 2 * time.Second, Need: work.Resources{CPU: 1000, MemMB: 1000, Accel: 1}, Gang: true, SameRack: true}
			stretch := 1.5
			if varied {
				s.Count, s.Need.Accel, s.Need.MemMB = 2+k%4, 1+int64(k/4%2), 1000+int64(k/8%5)*500
				s.Estimate, stretch = time.Duration(1000+k*7919%4000)*time.Millisecond, 1.2+float64(k%9)/4
			}
			p.AddJob(now, 0, work.Record{State: work.Queued, Job: work.Job{ID: fmt.Sprintf("j%05d", k), Queue: fmt.Sprint(k % 3),
				Workspace: "ws", Priority: k % 3, Stretch: stretch, Target: 300 * time.Millisecond, Steps: []work.Step{s}}}, false)
		}
		b.StartTimer()
		p.Plan(now)
	}
}

func BenchmarkPlaceRacks1100EvenWorkers(b *testing.B)         { benchmarkPlaceRacks(b, false, false) }
func BenchmarkPlaceRacks1100UnevenWorkers(b *testing.B)       { benchmarkPlaceRacks(b, true, false) }
func BenchmarkPlaceRacks1100EvenWorkersVaried(b *testing.B)   { benchmarkPlaceRacks(b, false, true) }
func BenchmarkPlaceRacks1100UnevenWorkersVaried(b *testing.B) { benchmarkPlaceRacks(b, true, true) }

// BenchmarkAddJob1100Workers measures adding a job while each worker runs eight tasks.
func BenchmarkAddJob1100Workers(b *testing.B) {
	p, now := New(Settings{ReclaimWithin: 3 * time.Second}, 1), time.Second
	job := func(id string) work.Record {
		s := work.Step{Count: 8, Estimate: 2 * time.Second, Need: work.Resources{CPU: 1000, MemMB: 1000, Accel: 1}}
		return work.Record{State: work.Queued, Job: work.Job{ID: id, Stretch: 1.5, Steps: []work.Step{s}}}
	}
	for i := range 1100 {
		id := fmt.Sprintf("w%04d", i)
		p.PutWorker(work.Worker{ID: id, Rack: fmt.Sprintf("r%d", i/8), Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
		p.HandleReport(now, now, id, port.HoldReply{})
		p.AddJob(now, 0, job(id), false)
	}
	p.Plan(now)
	k := 0
	for b.Loop() {
		k++
		p.AddJob(now, 0, job(fmt.Sprint("new", k)), false)
	}
}

// benchmarkReserve reserves workers for waiting gangs while each worker runs eight tasks, as
// a pass does.
func benchmarkReserve(b *testing.B, reservations int, sameRack bool) {
	p, now := fullPlanner()
	var waiting []*unit
	for k := range reservations {
		s := work.Step{Count: 8 + k%5, Estimate: 2 * time.Second, Need: work.Resources{CPU: 1000, MemMB: 1000, Accel: 2}, Gang: true, SameRack: sameRack}
		id := fmt.Sprint("waiting", k)
		p.AddJob(now, 0, work.Record{State: work.Queued, Job: work.Job{ID: id, Stretch: 1.5, Steps: []work.Step{s}}}, false)
		waiting = append(waiting, p.jobs[id].units[0])
	}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		p.reservations = nil
		v := p.newView(now)
		b.StartTimer()
		for _, u := range waiting {
			if !v.reserve(u) {
				b.Fatal("no workers reserved")
			}
		}
	}
}

func BenchmarkReserve2SingleRack(b *testing.B)  { benchmarkReserve(b, 2, true) }
func BenchmarkReserve16SingleRack(b *testing.B) { benchmarkReserve(b, 16, true) }
func BenchmarkReserve2AnyWorker(b *testing.B)   { benchmarkReserve(b, 2, false) }
func BenchmarkReserve16AnyWorker(b *testing.B)  { benchmarkReserve(b, 16, false) }

// fullPlanner returns a planner of 1,100 workers that each run eight tasks. Their progress
// differs.
func fullPlanner() (*Planner, time.Duration) {
	p, now := New(Settings{ReclaimWithin: 3 * time.Second}, 1), time.Second
	for i := range 1100 {
		id := fmt.Sprintf("w%04d", i)
		p.PutWorker(work.Worker{ID: id, Rack: fmt.Sprintf("r%d", i/8), Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
		p.HandleReport(now, now, id, port.HoldReply{})
		s := work.Step{Count: 8, Estimate: time.Duration(1000+i*7919%9000) * time.Millisecond, Need: work.Resources{CPU: 1000, MemMB: 1000, Accel: 1}}
		p.AddJob(now, 0, work.Record{State: work.Queued, Job: work.Job{ID: fmt.Sprintf("r%04d", i), Priority: 1, Stretch: 1.5, Steps: []work.Step{s}}}, false)
	}
	for len(p.ranking(now)) > 0 {
		for _, o := range p.Plan(now) {
			p.StartAnswered(now, o.Worker, o.Task, o.Run, port.NotRejected)
		}
	}
	return p, now + 100*time.Millisecond
}

// benchmarkPlanFull plans a pass over 2,000 waiting gangs of several sizes, none of which fits.
func benchmarkPlanFull(b *testing.B, sameRack bool) {
	p, now := fullPlanner()
	for k := range 2000 {
		s := work.Step{Count: 8 + k%5, Estimate: time.Duration(2+k%7) * time.Second, Need: work.Resources{CPU: 1000, MemMB: 1000, Accel: 2}, Gang: true, SameRack: sameRack}
		p.AddJob(now, 0, work.Record{State: work.Queued, Job: work.Job{ID: fmt.Sprint("waiting", k), Priority: 1, Stretch: 1.5, Steps: []work.Step{s}}}, false)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Plan(now)
	}
}

func BenchmarkPlanFull1100WorkersSingleRack(b *testing.B) { benchmarkPlanFull(b, true) }
func BenchmarkPlanFull1100WorkersAnyWorker(b *testing.B)  { benchmarkPlanFull(b, false) }

// BenchmarkReportWideGang measures a report of one member of a gang of 1,000 tasks.
func BenchmarkReportWideGang(b *testing.B) {
	p, now := New(Settings{ReclaimWithin: 3 * time.Second}, 1), time.Second
	for i := range 125 {
		id := fmt.Sprintf("w%04d", i)
		p.PutWorker(work.Worker{ID: id, Rack: fmt.Sprintf("r%d", i/8), Capacity: work.Resources{CPU: 64000, MemMB: 128000, Accel: 8}})
		p.HandleReport(now, now, id, port.HoldReply{})
	}
	s := work.Step{Count: 1000, Estimate: 10 * time.Second, Need: work.Resources{CPU: 1000, MemMB: 1000, Accel: 1}, Gang: true}
	p.AddJob(now, 0, work.Record{State: work.Queued, Job: work.Job{ID: "wide", Stretch: 1.5, Steps: []work.Step{s}}}, false)
	for _, o := range p.Plan(now) {
		p.StartAnswered(now, o.Worker, o.Task, o.Run, port.NotRejected)
	}
	r := p.jobs["wide"].units[0].runs[0]
	now += time.Second
	r.worker.reportedAt = now
	b.ReportAllocs()
	for b.Loop() {
		p.observeSpeed(r, 20, now)
	}
}
