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
	// urgentBound is the target for urgent guaranteed work.
	urgentBound = 3700 * time.Millisecond
	// reclaimBound is the time within which a guaranteed shape is there.
	reclaimBound = startDelay + checkpointMost
)

// figures are the measures of one run.
type figures struct {
	mean, p95 float64
	maxWait   float64
	// waitBound is the stated bound of maxWait.
	waitBound float64
	fragments float64
	// inherent is the part of fragments that no packing avoids.
	inherent float64
	urgent   float64
	// present is the share of guaranteed asks met within reclaimBound.
	present float64
}

// Rows runs every seed under each policy.
func Rows() []table.Row {
	var base, first, best, ours []figures
	for seed := uint64(1); seed <= seeds; seed++ {
		base = append(base, measure(run(seed, fifo)))
		first = append(first, measure(run(seed, firstFit)))
		ours = append(ours, measure(run(seed, scheduler.Decide)))
		best = append(best, ofClairvoyant(trace(seed)))
	}
	mean := func(f figures) float64 { return f.mean }
	p95 := func(f figures) float64 { return f.p95 }
	frag := func(f figures) float64 { return f.fragments }
	rows := []table.Row{
		against("gang completion, mean / clairvoyant", "s", base, best, ours, mean, 1.25),
		against("gang completion, p95 / clairvoyant", "s", base, best, ours, p95, 1.25),
	}
	r := against("fragmentation / first fit", "share", first, nil, ours, frag, 0.25)
	// Of what was stranded under our policy, the part that stays when all
	// gangs are packed anew.
	r.Clairvoyant = average(ours, func(f figures) float64 { return f.inherent })
	r.Ratio = r.Ours / r.Baseline
	rows = append(rows, r)
	return append(rows, bounded(base, ours)...)
}

// bounded lists the measures that have an absolute bound.
func bounded(base, ours []figures) []table.Row {
	nan := math.NaN()
	urgent := func(f figures) float64 { return f.urgent }
	worst := func(f figures) float64 { return f.maxWait / f.waitBound }
	present := func(f figures) float64 { return f.present }
	return []table.Row{
		{Target: "longest wait / (passing limit + longest run)", Unit: "ratio", Baseline: average(base, worst), Clairvoyant: nan,
			Ours: average(ours, worst), Spread: spread(ours, worst), Ratio: largest(ours, worst), Bound: 1, Seeds: seeds},
		{Target: "guaranteed asks met within the reclaim bound", Unit: "share", Baseline: average(base, present), Clairvoyant: 1,
			Ours: average(ours, present), Spread: spread(ours, present), Ratio: -largest(ours, func(f figures) float64 { return -f.present }), Bound: 1, AtLeast: true, Seeds: seeds},
		{Target: "urgent guaranteed start, worst / 3.7 s", Unit: "s", Baseline: average(base, urgent), Clairvoyant: startDelay.Seconds(),
			Ours: average(ours, urgent), Spread: spread(ours, urgent), Ratio: largest(ours, urgent) / urgentBound.Seconds(), Bound: 1, Seeds: seeds},
	}
}

func against(target, unit string, base, best, ours []figures, pick func(figures) float64, bound float64) table.Row {
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

func measure(s *sim) figures {
	var completion []float64
	var f figures
	var longest time.Duration
	asks, met := 0, 0
	for i := range s.gangs {
		g := &s.gangs[i]
		completion = append(completion, (g.end - g.arrive).Seconds())
		f.maxWait = max(f.maxWait, g.waited.Seconds())
		longest = max(longest, g.run)
		if !g.asked {
			continue
		}
		asks++
		if g.waited <= reclaimBound {
			met++
		}
		if g.spec.Class == structs.ClassUrgent {
			f.urgent = max(f.urgent, g.waited.Seconds())
		}
	}
	f.mean, f.p95 = summary(completion)
	f.waitBound = (scheduler.BackfillLimit + longest).Seconds()
	f.fragments = s.frag.share()
	f.inherent = s.frag.inherentShare()
	f.present = float64(met) / float64(max(1, asks))
	return f
}

func ofClairvoyant(jobs []job) figures {
	var completion []float64
	for _, d := range clairvoyant(jobs) {
		completion = append(completion, d.Seconds())
	}
	var f figures
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

func average(f []figures, pick func(figures) float64) float64 {
	sum := 0.0
	for _, x := range f {
		sum += pick(x)
	}
	return sum / float64(len(f))
}

func largest(f []figures, pick func(figures) float64) float64 {
	most := math.Inf(-1)
	for _, x := range f {
		most = max(most, pick(x))
	}
	return most
}

func spread(f []figures, pick func(figures) float64) float64 {
	return largest(f, pick) + largest(f, func(x figures) float64 { return -pick(x) })
}
