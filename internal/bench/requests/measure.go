package requests

import (
	"math"
	"slices"
	"time"
)

// metrics summarizes one trace under one policy, over the requests that arrived
// in the measured interval.
type metrics struct {
	// p50Wait and p99Wait are percentiles of the time from arrival to start of
	// urgent requests.
	p50Wait, p99Wait time.Duration
	// otherWait is the mean wait of started requests of other classes.
	otherWait time.Duration
	// useful counts urgent requests answered within their deadline.
	useful  int
	urgent  int
	refused int
	// lost counts urgent requests with neither a timely answer nor a refusal.
	lost int
	// latestRefusal is the largest fraction of its deadline that an urgent
	// request had used when it was refused. lateRefusals counts refusals after
	// a tenth of the deadline.
	latestRefusal float64
	lateRefusals  int
	// falseRefusals counts requests that were refused although they had started.
	falseRefusals int
	// repeated counts non-repeatable requests that were started more than once.
	repeated int
	// retryShare is the ratio of repeated dispatches to first dispatches.
	retryShare float64
	// otherAnswered counts answered requests of other classes.
	otherAnswered int
}

func measure(t *trace, outcomes []outcome) metrics {
	var f metrics
	var waits []time.Duration
	var otherWaitSum time.Duration
	otherStarted, firstAttempts, attempts := 0, 0, 0
	for i := range outcomes {
		r, o := &t.requests[i], &outcomes[i]
		if r.at < t.measureFrom || r.at >= t.measureTo {
			continue
		}
		attempts += o.attempts
		firstAttempts += min(o.attempts, 1)
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
			otherWaitSum += o.started - r.at
			otherStarted++
		}
		if o.done {
			f.otherAnswered++
		}
	}
	f.p50Wait = quantile(waits, 0.50)
	f.p99Wait = quantile(waits, 0.99)
	if otherStarted > 0 {
		f.otherWait = otherWaitSum / time.Duration(otherStarted)
	}
	if firstAttempts > 0 {
		f.retryShare = float64(attempts-firstAttempts) / float64(firstAttempts)
	}
	return f
}

func (f *metrics) addUrgent(r *request, o *outcome) {
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

// waitOf returns the time from arrival to start, or the whole deadline for a
// request that never started.
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
