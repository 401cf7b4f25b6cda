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
	// urgentWaitBound is the target for the longest wait of an urgent gang that
	// was entitled on arrival.
	urgentWaitBound = 3700 * time.Millisecond
	// reclaimBound is the target for the wait of every gang that was entitled on
	// arrival.
	reclaimBound = startDelay + maxCheckpoint
)

// metrics summarizes one run. Times are in seconds, completions from arrival.
type metrics struct {
	meanCompletion, p95Completion float64
	// maxWait is the longest wait of a gang over all its attempts.
	maxWait float64
	// waitBound is the bound of maxWait.
	waitBound     float64
	fragmentation float64
	// unavoidable is the part of fragmentation that repacking does not avoid.
	unavoidable float64
	// maxUrgentWait is the longest wait of urgent entitled gangs.
	maxUrgentWait float64
	// guaranteesMet is the fraction of entitled gangs that waited at most
	// reclaimBound.
	guaranteesMet float64
}

// Rows simulates gang placement with every seed under each policy and returns the
// rows of the result table.
func Rows() []table.Row {
	var fifoRuns, firstFitRuns, clairvoyantRuns, ours []metrics
	for seed := uint64(1); seed <= seeds; seed++ {
		fifoRuns = append(fifoRuns, measure(run(seed, fifo)))
		firstFitRuns = append(firstFitRuns, measure(run(seed, firstFit)))
		ours = append(ours, measure(run(seed, scheduler.Decide)))
		clairvoyantRuns = append(clairvoyantRuns, measureClairvoyant(drawTrace(seed)))
	}
	mean := func(m metrics) float64 { return m.meanCompletion }
	p95 := func(m metrics) float64 { return m.p95Completion }
	frag := func(m metrics) float64 { return m.fragmentation }
	rows := []table.Row{
		comparedRow("gang completion, mean / clairvoyant", "s", fifoRuns, clairvoyantRuns, ours, mean, 1.25),
		comparedRow("gang completion, p95 / clairvoyant", "s", fifoRuns, clairvoyantRuns, ours, p95, 1.25),
	}
	r := comparedRow("fragmentation / first fit", "share", firstFitRuns, nil, ours, frag, 0.25)
	// The clairvoyant column is the part of our fragmentation that remains if
	// all gangs are repacked.
	r.Clairvoyant = average(ours, func(m metrics) float64 { return m.unavoidable })
	r.Ratio = r.Ours / r.Baseline
	rows = append(rows, r)
	return append(rows, boundedRows(fifoRuns, ours)...)
}

// boundedRows returns the rows of metrics with an absolute bound.
func boundedRows(baseline, ours []metrics) []table.Row {
	nan := math.NaN()
	urgentWait := func(m metrics) float64 { return m.maxUrgentWait }
	waitRatio := func(m metrics) float64 { return m.maxWait / m.waitBound }
	guaranteesMet := func(m metrics) float64 { return m.guaranteesMet }
	return []table.Row{
		{Target: "longest wait / (passing limit + longest run)", Unit: "ratio", Baseline: average(baseline, waitRatio), Clairvoyant: nan,
			Ours: average(ours, waitRatio), Spread: spread(ours, waitRatio), Ratio: largest(ours, waitRatio), Bound: 1, Seeds: seeds},
		{Target: "guaranteed asks met within the reclaim bound", Unit: "share", Baseline: average(baseline, guaranteesMet), Clairvoyant: 1,
			Ours: average(ours, guaranteesMet), Spread: spread(ours, guaranteesMet), Ratio: -largest(ours, func(m metrics) float64 { return -m.guaranteesMet }), Bound: 1, AtLeast: true, Seeds: seeds},
		{Target: "urgent guaranteed start, worst / 3.7 s", Unit: "s", Baseline: average(baseline, urgentWait), Clairvoyant: startDelay.Seconds(),
			Ours: average(ours, urgentWait), Spread: spread(ours, urgentWait), Ratio: largest(ours, urgentWait) / urgentWaitBound.Seconds(), Bound: 1, Seeds: seeds},
	}
}

// comparedRow returns a row with the ratio of ours to the clairvoyant. If there
// are no clairvoyant runs, the caller sets the ratio.
func comparedRow(target, unit string, baseline, clairvoyantRuns, ours []metrics, pick func(metrics) float64, bound float64) table.Row {
	r := table.Row{
		Target: target, Unit: unit, Baseline: average(baseline, pick), Clairvoyant: math.NaN(),
		Ours: average(ours, pick), Spread: spread(ours, pick), Bound: bound, Seeds: seeds,
	}
	if clairvoyantRuns != nil {
		r.Clairvoyant = average(clairvoyantRuns, pick)
		r.Ratio = r.Ours / r.Clairvoyant
	}
	return r
}

func measure(s *sim) metrics {
	var completion []float64
	var m metrics
	var longest time.Duration
	entitledGangs, startedInTime := 0, 0
	for i := range s.gangs {
		g := &s.gangs[i]
		completion = append(completion, (g.completed - g.arrive).Seconds())
		m.maxWait = max(m.maxWait, g.waited.Seconds())
		longest = max(longest, g.run)
		if !g.entitled {
			continue
		}
		entitledGangs++
		if g.waited <= reclaimBound {
			startedInTime++
		}
		if g.spec.Class == structs.ClassUrgent {
			m.maxUrgentWait = max(m.maxUrgentWait, g.waited.Seconds())
		}
	}
	m.meanCompletion, m.p95Completion = meanAndP95(completion)
	m.waitBound = (scheduler.BackfillLimit + longest).Seconds()
	m.fragmentation = s.frag.strandedShare()
	m.unavoidable = s.frag.unavoidableShare()
	m.guaranteesMet = float64(startedInTime) / float64(max(1, entitledGangs))
	return m
}

func measureClairvoyant(jobs []job) metrics {
	var completion []float64
	for _, d := range clairvoyant(jobs) {
		completion = append(completion, d.Seconds())
	}
	var m metrics
	m.meanCompletion, m.p95Completion = meanAndP95(completion)
	return m
}

// meanAndP95 sorts values in place.
func meanAndP95(values []float64) (mean, p95 float64) {
	slices.Sort(values)
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values)), values[len(values)*95/100]
}

func average(runs []metrics, pick func(metrics) float64) float64 {
	sum := 0.0
	for _, m := range runs {
		sum += pick(m)
	}
	return sum / float64(len(runs))
}

func largest(runs []metrics, pick func(metrics) float64) float64 {
	most := math.Inf(-1)
	for _, m := range runs {
		most = max(most, pick(m))
	}
	return most
}

func spread(runs []metrics, pick func(metrics) float64) float64 {
	return largest(runs, pick) + largest(runs, func(m metrics) float64 { return -pick(m) })
}
