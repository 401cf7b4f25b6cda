package requests

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/bench/table"
	"github.com/lentilwinch/lentilwinch/internal/dispatch"
)

// seriesSeed is the seed of the plotted surge, in which an instance fails.
const seriesSeed = 2

// Point summarizes one second of a surge.
type Point struct {
	// At is the time since the trace's start, in seconds.
	At float64
	// Wait is the 99th percentile wait, in seconds, of the urgent requests that
	// arrived in this second and were started. It is 0 if there are none.
	Wait float64
	// Useful is the fraction of the urgent requests that arrived in this second
	// that were answered within their deadline.
	Useful float64
}

// Series is the time series of a surge under one policy.
type Series struct {
	Policy string
	Points []Point
}

// SurgeSeries simulates the surge of seriesSeed under each policy. The points run
// from 10 s before the surge to 10 s after it.
func SurgeSeries() []Series {
	t := surgeTrace(seriesSeed)
	outcomesUnder := func(queueing bool, newInstance func(*simulation, int) instance) []outcome {
		sim := newSimulation(t, queueing, newInstance)
		sim.run()
		return sim.outcomes
	}
	return []Series{
		t.series("lentilwinch", outcomesUnder(false, newDispatchInstances(sharingByDemand, dispatch.Settings{}))),
		t.series("FIFO", outcomesUnder(false, newFIFO)),
		t.series("random routing", outcomesUnder(true, newRandom)),
		t.series("clairvoyant, in order of arrival", arrivalOrderClairvoyant(t)),
		t.series("clairvoyant, picks by run time", clairvoyant(t, byDeadline)),
	}
}

func (t *trace) series(policy string, outcomes []outcome) Series {
	seconds := int(t.end / time.Second)
	waits := make([][]time.Duration, seconds)
	useful := make([]int, seconds)
	all := make([]int, seconds)
	for i := range outcomes {
		r, o := &t.requests[i], &outcomes[i]
		second := int(r.at / time.Second)
		if second >= seconds || !t.urgent(int32(i)) {
			continue
		}
		all[second]++
		if o.starts > 0 {
			waits[second] = append(waits[second], o.started-r.at)
		}
		if o.done && o.ended <= r.deadline {
			useful[second]++
		}
	}
	s := Series{Policy: policy}
	for second := int(t.measureFrom/time.Second) - 10; second < seconds-5; second++ {
		s.Points = append(s.Points, Point{
			At:     float64(second),
			Wait:   quantile(waits[second], 0.99).Seconds(),
			Useful: share(useful[second], all[second]),
		})
	}
	return s
}

// SharingRows compares the policies by which instances can share the servers'
// slots. The rows have no bound.
func SharingRows() []table.Row {
	policies := []struct {
		name    string
		sharing sharing
	}{
		{"parts by demand, load told back", sharingByDemand},
		{"even split of each server", sharingSplit},
		{"hashed subsets, forwarding", sharingSubset},
	}
	var rows []table.Row
	for _, policy := range policies {
		var steady, surge []run
		for seed := uint64(1); seed <= seeds; seed++ {
			newInstance := newDispatchInstances(policy.sharing, dispatch.Settings{})
			steady = append(steady, run{ours: simulate(steadyTrace(seed), false, newInstance)})
			surge = append(surge, run{ours: simulate(surgeTrace(seed), false, newInstance)})
		}
		rows = append(rows,
			unboundedRow(policy.name+": short work p99 wait at 80% load", "ms", steady,
				func(m metrics) float64 { return millis(m.p99Wait) }),
			unboundedRow(policy.name+": long work mean wait at 80% load", "ms", steady,
				func(m metrics) float64 { return millis(m.nonUrgentWait) }),
			unboundedRow(policy.name+": useful answers at the crest", "share", surge, metrics.usefulShare),
			unboundedRow(policy.name+": dispatches added at the crest", "share", surge,
				func(m metrics) float64 { return m.retryShare }))
	}
	return rows
}
