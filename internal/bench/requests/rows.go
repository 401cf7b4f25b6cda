package requests

import (
	"math"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/bench/table"
	"github.com/lentilwinch/lentilwinch/internal/dispatch"
)

// seeds is the number of fixed seeds behind each figure.
const seeds = 10

// The bounds of the rows.
const (
	boundWaitFIFO        = 1.0 / 20
	boundWaitClairvoyant = 2
	boundUseful          = 0.95
	boundSpent           = 0.10
	boundAdded           = 0.10
)

// run is one seed's figures under each policy.
type run struct {
	ours, fifo, random figures
	// neutral is the clairvoyant that treats a service's callers alike, best
	// the better of those that pick by deadline and by run time.
	neutral, best figures
}

// Rows measures dispatch under both workloads and returns the table's rows.
func Rows() []table.Row {
	var steady, swing []run
	for seed := uint64(1); seed <= seeds; seed++ {
		steady = append(steady, measureAll(willow(seed)))
		swing = append(swing, measureAll(crossing(seed)))
	}
	return append(steadyRows(steady), swingRows(steady, swing)...)
}

func measureAll(t *trace) run {
	r := run{
		ours:    play(t, false, dispatchNodes(sharingChoices, dispatch.Settings{})),
		fifo:    play(t, false, newFIFO),
		random:  play(t, true, newRandom),
		neutral: measure(t, neutralClairvoyant(t)),
		best:    measure(t, clairvoyant(t, byDeadline)),
	}
	if f := measure(t, clairvoyant(t, byRun)); f.useful > r.best.useful {
		r.best = f
	}
	return r
}

func play(t *trace, queueing bool, nodes func(*world, int) node) figures {
	w := newWorld(t, queueing, nodes)
	w.run()
	return measure(t, w.outcomes)
}

func steadyRows(runs []run) []table.Row {
	ours := each(runs, func(r run) float64 { return millis(r.ours.p99Wait) })
	fifo := each(runs, func(r run) float64 { return millis(r.fifo.p99Wait) })
	random := each(runs, func(r run) float64 { return millis(r.random.p99Wait) })
	// No scheduler can do better than the way to the server.
	hop := each(runs, func(run) float64 { return millis(willowHop) })
	row := table.Row{
		Target: "short work p99 wait at 80% load / FIFO", Unit: "ms",
		Baseline: mean(fifo), Clairvoyant: mean(hop), Ours: mean(ours), Spread: spread(ours),
		Ratio: mean(ours) / mean(fifo), Bound: boundWaitFIFO, Seeds: len(runs),
	}
	byRandom := row
	byRandom.Target = "short work p99 wait at 80% load / random routing"
	byRandom.Baseline = mean(random)
	byRandom.Ratio = mean(ours) / mean(random)
	byBound := row
	byBound.Target = "short work p99 wait at 80% load / clairvoyant"
	byBound.Ratio = mean(ours) / mean(hop)
	byBound.Bound = boundWaitClairvoyant
	return []table.Row{row, byRandom, byBound}
}

func swingRows(steady, swing []run) []table.Row {
	ours := each(swing, func(r run) float64 { return r.ours.usefulShare() })
	fifo := each(swing, func(r run) float64 { return r.fifo.usefulShare() })
	neutral := each(swing, func(r run) float64 { return r.neutral.usefulShare() })
	best := each(swing, func(r run) float64 { return r.best.usefulShare() })
	useful := table.Row{
		Target: "useful answers at the crest / clairvoyant in order of arrival", Unit: "share",
		Baseline: mean(fifo), Clairvoyant: mean(neutral), Ours: mean(ours), Spread: spread(ours),
		Ratio: mean(ours) / mean(neutral), Bound: boundUseful, AtLeast: true, Seeds: len(swing),
	}
	picking := useful
	picking.Target = "useful answers at the crest / clairvoyant that picks by run time"
	picking.Clairvoyant = mean(best)
	picking.Ratio = mean(ours) / mean(best)
	both := append(slices.Clone(steady), swing...)
	return []table.Row{
		useful,
		picking,
		worst("latest refusal, share of its deadline spent", "share", both, boundSpent,
			func(f figures) float64 { return f.latestRefusal }),
		worst("refusals after a tenth of the deadline / refusals", "share", both, 0,
			func(f figures) float64 { return share(f.lateRefusals, f.refused) }),
		worst("refused but started", "requests", both, 0,
			func(f figures) float64 { return float64(f.falseRefusals) }),
		worst("not repeatable but started again", "requests", both, 0,
			func(f figures) float64 { return float64(f.repeated) }),
		worst("dispatches added by retries", "share", both, boundAdded,
			func(f figures) float64 { return f.added }),
	}
}

// worst returns a row whose ratio is the largest figure over all runs.
func worst(target, unit string, runs []run, bound float64, of func(figures) float64) table.Row {
	ours := each(runs, func(r run) float64 { return of(r.ours) })
	fifo := each(runs, func(r run) float64 { return of(r.fifo) })
	return table.Row{
		Target: target, Unit: unit,
		Baseline: mean(fifo), Clairvoyant: math.NaN(), Ours: mean(ours), Spread: spread(ours),
		Ratio: slices.Max(ours), Bound: bound, Seeds: len(runs),
	}
}

// plain returns a row without a bound.
func plain(target, unit string, runs []run, of func(figures) float64) table.Row {
	ours := each(runs, func(r run) float64 { return of(r.ours) })
	return table.Row{
		Target: target, Unit: unit,
		Baseline: math.NaN(), Clairvoyant: math.NaN(), Ours: mean(ours), Spread: spread(ours),
		Ratio: 0, Bound: math.Inf(1), Seeds: len(runs),
	}
}

func (f figures) usefulShare() float64 {
	return share(f.useful, f.urgent)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func each(runs []run, of func(run) float64) []float64 {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = of(r)
	}
	return values
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

func spread(values []float64) float64 {
	return slices.Max(values) - slices.Min(values)
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
