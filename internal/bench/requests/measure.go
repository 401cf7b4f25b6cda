package requests

import (
	"math"
	"slices"
	"time"
)

// figures are the measures of one trace under one policy, over the requests
// that arrived in the measured interval.
type figures struct {
	// p50Wait and p99Wait are those of urgent requests from arrival to start.
	p50Wait, p99Wait time.Duration
	// longWait is the mean wait of the other requests that were started.
	longWait time.Duration
	// useful counts urgent requests answered within their deadline.
	useful  int
	urgent  int
	refused int
	// lost urgent requests ended in neither an answer nor a refusal.
	lost int
	// latestRefusal is the largest share of its deadline that an urgent
	// request had spent when it was refused; lateRefusals counts those beyond
	// a tenth.
	latestRefusal float64
	lateRefusals  int
	// false refusals were started after all.
	falseRefusals int
	// repeated counts requests that may not be repeated but were started more
	// than once.
	repeated int
	// added is the share of dispatches beyond each request's first.
	added float64
	// usefulLong counts the other requests that were answered.
	usefulLong int
}

func measure(t *trace, outcomes []outcome) figures {
	var f figures
	var waits []time.Duration
	var longSum time.Duration
	longs, firsts, attempts := 0, 0, 0
	for i := range outcomes {
		r, o := &t.requests[i], &outcomes[i]
		if r.at < t.measureFrom || r.at >= t.measureTo {
			continue
		}
		attempts += o.attempts
		firsts += min(o.attempts, 1)
		if o.refused && o.starts > 0 {
			f.falseRefusals++
		}
		if o.starts > 1 && !t.kinds[r.kind].repeatable {
			f.repeated++
		}
		if t.urgent(int32(i)) {
			f.addUrgent(r, o)
			waits = append(waits, waitOf(r, o))
			continue
		}
		if o.starts > 0 {
			longSum += o.started - r.at
			longs++
		}
		if o.done {
			f.usefulLong++
		}
	}
	f.p50Wait = quantile(waits, 0.50)
	f.p99Wait = quantile(waits, 0.99)
	if longs > 0 {
		f.longWait = longSum / time.Duration(longs)
	}
	if firsts > 0 {
		f.added = float64(attempts-firsts) / float64(firsts)
	}
	return f
}

func (f *figures) addUrgent(r *request, o *outcome) {
	f.urgent++
	switch {
	case o.done && o.ended <= r.deadline:
		f.useful++
	case o.refused:
		f.refused++
		spent := float64(o.ended-r.at) / float64(r.deadline-r.at)
		f.latestRefusal = max(f.latestRefusal, spent)
		if spent > 0.1 {
			f.lateRefusals++
		}
	default:
		f.lost++
	}
}

// waitOf is the time from arrival to start; a request that never started
// waited for its whole deadline.
func waitOf(r *request, o *outcome) time.Duration {
	if o.starts == 0 {
		return r.deadline - r.at
	}
	return o.started - r.at
}

func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	at := int(math.Ceil(q*float64(len(waits)))) - 1
	return waits[max(at, 0)]
}
