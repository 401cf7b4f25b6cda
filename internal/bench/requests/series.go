package requests

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/bench/table"
	"github.com/lentilwinch/lentilwinch/internal/dispatch"
)

// seriesSeed is the seed whose crest is plotted: one in which an instance dies.
const seriesSeed = 2

// Point is a second of a crest.
type Point struct {
	// At is the time since the trace's start, in seconds.
	At float64
	// Wait is the 99th percentile wait of the urgent requests that arrived in
	// this second, in seconds.
	Wait float64
	// Useful is the share of them that was answered within its deadline.
	Useful float64
}

// Series is one policy's crest.
type Series struct {
	Policy string
	Points []Point
}

// Crest plays one storm under each policy.
func Crest() []Series {
	t := crossing(seriesSeed)
	played := func(queueing bool, nodes func(*world, int) node) []outcome {
		w := newWorld(t, queueing, nodes)
		w.run()
		return w.outcomes
	}
	return []Series{
		t.series("lentilwinch", played(false, dispatchNodes(sharingChoices, dispatch.Settings{}))),
		t.series("FIFO", played(false, newFIFO)),
		t.series("random routing", played(true, newRandom)),
		t.series("clairvoyant, in order of arrival", neutralClairvoyant(t)),
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
		at := int(r.at / time.Second)
		if at >= seconds || !t.urgent(int32(i)) {
			continue
		}
		all[at]++
		if o.starts > 0 {
			waits[at] = append(waits[at], o.started-r.at)
		}
		if o.done && o.ended <= r.deadline {
			useful[at]++
		}
	}
	s := Series{Policy: policy}
	for at := int(t.measureFrom/time.Second) - 10; at < seconds-5; at++ {
		s.Points = append(s.Points, Point{
			At:     float64(at),
			Wait:   quantile(waits[at], 0.99).Seconds(),
			Useful: share(useful[at], all[at]),
		})
	}
	return s
}

// SharingRows compares the ways in which instances may share the servers'
// slots. They have no bound.
func SharingRows() []table.Row {
	ways := []struct {
		name string
		way  sharing
	}{
		{"parts by demand, load told back", sharingChoices},
		{"even split of each server", sharingSplit},
		{"hashed subsets, forwarding", sharingSubset},
	}
	var rows []table.Row
	for _, way := range ways {
		var steady, swing []run
		for seed := uint64(1); seed <= seeds; seed++ {
			nodes := dispatchNodes(way.way, dispatch.Settings{})
			steady = append(steady, run{ours: play(willow(seed), false, nodes)})
			swing = append(swing, run{ours: play(crossing(seed), false, nodes)})
		}
		rows = append(rows,
			plain(way.name+": short work p99 wait at 80% load", "ms", steady,
				func(f figures) float64 { return millis(f.p99Wait) }),
			plain(way.name+": long work mean wait at 80% load", "ms", steady,
				func(f figures) float64 { return millis(f.longWait) }),
			plain(way.name+": useful answers at the crest", "share", swing, figures.usefulShare),
			plain(way.name+": dispatches added at the crest", "share", swing,
				func(f figures) float64 { return f.added }))
	}
	return rows
}
