package gangs

import (
	"math"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/bench/table"
	"github.com/lentilwinch/lentilwinch/internal/scheduler"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

const (
	seeds = 10
	// urgentWaitBound is the target for the wait of urgent guaranteed gangs.
	urgentWaitBound = 3700 * time.Millisecond
	// reclaimBound is the time within which a guaranteed gang must start.
	reclaimBound = startDelay + maxCheckpoint
)

// metrics summarizes one run. Times are in seconds.
type metrics struct {
	mean, p95 float64
	maxWait   float64
	// waitBound is the bound of maxWait.
	waitBound     float64
	fragmentation float64
	// inherent is the part of fragmentation that repacking does not avoid.
	inherent   float64
	urgentWait float64
	// guaranteesMet is the fraction of entitled gangs that waited at most
	// reclaimBound.
	guaranteesMet float64
}

// Rows simulates every seed under each policy.
func Rows() []table.Row {
	var base, first, best, ours []metrics
	for seed := uint64(1); seed <= seeds; seed++ {
		base = append(base, measure(run(seed, fifo)))
		first = append(first, measure(run(seed, firstFit)))
		ours = append(ours, measure(run(seed, scheduler.Decide)))
		best = append(best, measureClairvoyant(drawTrace(seed)))
	}
	mean := func(f metrics) float64 { return f.mean }
	p95 := func(f metrics) float64 { return f.p95 }
	frag := func(f metrics) float64 { return f.fragmentation }
	rows := []table.Row{
		comparedRow("gang completion, mean / clairvoyant", "s", base, best, ours, mean, 1.25),
		comparedRow("gang completion, p95 / clairvoyant", "s", base, best, ours, p95, 1.25),
	}
	r := comparedRow("fragmentation / first fit", "share", first, nil, ours, frag, 0.25)
	// The clairvoyant column is the part of our fragmentation that remains if
	// all gangs are repacked.
	r.Clairvoyant = average(ours, func(f metrics) float64 { return f.inherent })
	r.Ratio = r.Ours / r.Baseline
	rows = append(rows, r)
	return append(rows, boundedRows(base, ours)...)
}

// boundedRows returns the rows of metrics with an absolute bound.
func boundedRows(base, ours []metrics) []table.Row {
	nan := math.NaN()
	urgentWait := func(f metrics) float64 { return f.urgentWait }
	worst := func(f metrics) float64 { return f.maxWait / f.waitBound }
	guaranteesMet := func(f metrics) float64 { return f.guaranteesMet }
	return []table.Row{
		{Target: "longest wait / (passing limit + longest run)", Unit: "ratio", Baseline: average(base, worst), Clairvoyant: nan,
			Ours: average(ours, worst), Spread: spread(ours, worst), Ratio: largest(ours, worst), Bound: 1, Seeds: seeds},
		{Target: "guaranteed asks met within the reclaim bound", Unit: "share", Baseline: average(base, guaranteesMet), Clairvoyant: 1,
			Ours: average(ours, guaranteesMet), Spread: spread(ours, guaranteesMet), Ratio: -largest(ours, func(f metrics) float64 { return -f.guaranteesMet }), Bound: 1, AtLeast: true, Seeds: seeds},
		{Target: "urgent guaranteed start, worst / 3.7 s", Unit: "s", Baseline: average(base, urgentWait), Clairvoyant: startDelay.Seconds(),
			Ours: average(ours, urgentWait), Spread: spread(ours, urgentWait), Ratio: largest(ours, urgentWait) / urgentWaitBound.Seconds(), Bound: 1, Seeds: seeds},
	}
}

func comparedRow(target, unit string, base, best, ours []metrics, pick func(metrics) float64, bound float64) table.Row {
	r := table.Row{
		Target: target, Unit: unit, Baseline: average(base, pick), Clairvoyant: math.NaN(),
		Ours: average(ours, pick), Spread: spread(ours, pick), Bound: bound, Seeds: seeds,
	}
	if best != nil {
		r.Clairvoyant = average(best, pick)
		r.Ratio = r.Ours / r.Clairvoyant
	}
	return r
}

func measure(s *sim) metrics {
	var completion []float64
	var f metrics
	var longest time.Duration
	entitledGangs, metInTime := 0, 0
	for i := range s.gangs {
		g := &s.gangs[i]
		completion = append(completion, (g.completed - g.arrive).Seconds())
		f.maxWait = max(f.maxWait, g.waited.Seconds())
		longest = max(longest, g.run)
		if !g.entitled {
			continue
		}
		entitledGangs++
		if g.waited <= reclaimBound {
			metInTime++
		}
		if g.spec.Class == structs.ClassUrgent {
			f.urgentWait = max(f.urgentWait, g.waited.Seconds())
		}
	}
	f.mean, f.p95 = summary(completion)
	f.waitBound = (scheduler.BackfillLimit + longest).Seconds()
	f.fragmentation = s.frag.share()
	f.inherent = s.frag.inherentShare()
	f.guaranteesMet = float64(metInTime) / float64(max(1, entitledGangs))
	return f
}

func measureClairvoyant(jobs []job) metrics {
	var completion []float64
	for _, d := range clairvoyant(jobs) {
		completion = append(completion, d.Seconds())
	}
	var f metrics
	f.mean, f.p95 = summary(completion)
	return f
}

func summary(values []float64) (mean, p95 float64) {
	slices.Sort(values)
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values)), values[len(values)*95/100]
}

func average(f []metrics, pick func(metrics) float64) float64 {
	sum := 0.0
	for _, x := range f {
		sum += pick(x)
	}
	return sum / float64(len(f))
}

func largest(f []metrics, pick func(metrics) float64) float64 {
	most := math.Inf(-1)
	for _, x := range f {
		most = max(most, pick(x))
	}
	return most
}

func spread(f []metrics, pick func(metrics) float64) float64 {
	return largest(f, pick) + largest(f, func(x metrics) float64 { return -pick(x) })
}
