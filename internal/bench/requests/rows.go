package requests

import (
	"math"
	"slices"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/bench/table"
	"github.com/lentilwinch/lentilwinch/internal/dispatch"
)

// seeds is the number of fixed seeds that each row is measured with.
const seeds = 10

// Bounds of the rows' ratios.
const (
	boundWaitFIFO        = 1.0 / 20
	boundWaitClairvoyant = 2
	boundUseful          = 0.95
	boundDeadlineSpent   = 0.10
	boundRetries         = 0.10
)

// run holds one seed's metrics under each policy.
type run struct {
	ours, fifo, random metrics
	// arrivalOrder is the result of arrivalOrderClairvoyant. best is that of
	// clairvoyant by deadline or by run time, whichever has more useful answers.
	arrivalOrder, best metrics
}

// Rows measures dispatch under the steady and the surge workload and returns the
// rows of the result table.
func Rows() []table.Row {
	var steady, surge []run
	for seed := uint64(1); seed <= seeds; seed++ {
		steady = append(steady, measureAll(steadyTrace(seed)))
		surge = append(surge, measureAll(surgeTrace(seed)))
	}
	return append(steadyRows(steady), surgeRows(steady, surge)...)
}

func measureAll(t *trace) run {
	r := run{
		ours:         simulate(t, false, newDispatchInstances(sharingByDemand, dispatch.Settings{})),
		fifo:         simulate(t, false, newFIFO),
		random:       simulate(t, true, newRandom),
		arrivalOrder: measure(t, arrivalOrderClairvoyant(t)),
		best:         measure(t, clairvoyant(t, byDeadline)),
	}
	if byRunTime := measure(t, clairvoyant(t, byRun)); byRunTime.useful > r.best.useful {
		r.best = byRunTime
	}
	return r
}

func simulate(t *trace, queueing bool, newInstance func(*simulation, int) instance) metrics {
	sim := newSimulation(t, queueing, newInstance)
	sim.run()
	return measure(t, sim.outcomes)
}

func steadyRows(runs []run) []table.Row {
	ours := perRun(runs, func(r run) float64 { return millis(r.ours.p99Wait) })
	fifo := perRun(runs, func(r run) float64 { return millis(r.fifo.p99Wait) })
	random := perRun(runs, func(r run) float64 { return millis(r.random.p99Wait) })
	// The delay to the server is a lower bound for every scheduler.
	hop := perRun(runs, func(run) float64 { return millis(steadyHop) })
	row := table.Row{
		Target: "short work p99 wait at 80% load / FIFO", Unit: "ms",
		Baseline: mean(fifo), Clairvoyant: mean(hop), Ours: mean(ours), Spread: spread(ours),
		Ratio: mean(ours) / mean(fifo), Bound: boundWaitFIFO, Seeds: len(runs),
	}
	byRandom := row
	byRandom.Target = "short work p99 wait at 80% load / random routing"
	byRandom.Baseline = mean(random)
	byRandom.Ratio = mean(ours) / mean(random)
	byClairvoyant := row
	byClairvoyant.Target = "short work p99 wait at 80% load / clairvoyant"
	byClairvoyant.Ratio = mean(ours) / mean(hop)
	byClairvoyant.Bound = boundWaitClairvoyant
	return []table.Row{row, byRandom, byClairvoyant}
}

func surgeRows(steady, surge []run) []table.Row {
	ours := perRun(surge, func(r run) float64 { return r.ours.usefulShare() })
	fifo := perRun(surge, func(r run) float64 { return r.fifo.usefulShare() })
	arrivalOrder := perRun(surge, func(r run) float64 { return r.arrivalOrder.usefulShare() })
	best := perRun(surge, func(r run) float64 { return r.best.usefulShare() })
	useful := table.Row{
		Target: "useful answers at the crest / clairvoyant in order of arrival", Unit: "share",
		Baseline: mean(fifo), Clairvoyant: mean(arrivalOrder), Ours: mean(ours), Spread: spread(ours),
		Ratio: mean(ours) / mean(arrivalOrder), Bound: boundUseful, AtLeast: true, Seeds: len(surge),
	}
	byRunTime := useful
	byRunTime.Target = "useful answers at the crest / clairvoyant that picks by run time"
	byRunTime.Clairvoyant = mean(best)
	byRunTime.Ratio = mean(ours) / mean(best)
	both := append(slices.Clone(steady), surge...)
	return []table.Row{
		useful,
		byRunTime,
		worstRow("latest refusal, share of its deadline spent", "share", both, boundDeadlineSpent,
			func(m metrics) float64 { return m.latestRefusal }),
		worstRow("refusals after a tenth of the deadline / refusals", "share", both, 0,
			func(m metrics) float64 { return share(m.lateRefusals, m.refused) }),
		worstRow("refused but started", "requests", both, 0,
			func(m metrics) float64 { return float64(m.falseRefusals) }),
		worstRow("not repeatable but started again", "requests", both, 0,
			func(m metrics) float64 { return float64(m.repeated) }),
		worstRow("dispatches added by retries", "share", both, boundRetries,
			func(m metrics) float64 { return m.retryShare }),
	}
}

// worstRow returns a row whose ratio is the largest value over all runs.
func worstRow(target, unit string, runs []run, bound float64, of func(metrics) float64) table.Row {
	ours := perRun(runs, func(r run) float64 { return of(r.ours) })
	fifo := perRun(runs, func(r run) float64 { return of(r.fifo) })
	return table.Row{
		Target: target, Unit: unit,
		Baseline: mean(fifo), Clairvoyant: math.NaN(), Ours: mean(ours), Spread: spread(ours),
		Ratio: slices.Max(ours), Bound: bound, Seeds: len(runs),
	}
}

// unboundedRow returns a row without a bound.
func unboundedRow(target, unit string, runs []run, of func(metrics) float64) table.Row {
	ours := perRun(runs, func(r run) float64 { return of(r.ours) })
	return table.Row{
		Target: target, Unit: unit,
		Baseline: math.NaN(), Clairvoyant: math.NaN(), Ours: mean(ours), Spread: spread(ours),
		Ratio: 0, Bound: math.Inf(1), Seeds: len(runs),
	}
}

func (m metrics) usefulShare() float64 {
	return share(m.useful, m.urgent)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func perRun(runs []run, of func(run) float64) []float64 {
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
