package requests

import (
	"math"
	"slices"
	"time"
)

// metrics summarizes one trace under one policy, over the requests that arrived
// in the measured interval.
type metrics struct {
	// p50Wait and p99Wait are percentiles of waitOf over the urgent requests.
	p50Wait, p99Wait time.Duration
	// nonUrgentWait is the mean time from arrival to the last start of started
	// non-urgent requests.
	nonUrgentWait time.Duration
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
	// nonUrgentAnswered counts answered non-urgent requests.
	nonUrgentAnswered int
}

func measure(t *trace, outcomes []outcome) metrics {
	var m metrics
	var waits []time.Duration
	var nonUrgentWaitSum time.Duration
	nonUrgentStarted, firstAttempts, attempts := 0, 0, 0
	for i := range outcomes {
		r, o := &t.requests[i], &outcomes[i]
		if r.at < t.measureFrom || r.at >= t.measureTo {
			continue
		}
		attempts += o.attempts
		firstAttempts += min(o.attempts, 1)
		if o.refused && o.starts > 0 {
			m.falseRefusals++
		}
		if o.starts > 1 && !t.kinds[r.kind].repeatable {
			m.repeated++
		}
		if t.urgent(int32(i)) {
			m.addUrgent(r, o)
			waits = append(waits, waitOf(r, o))
			continue
		}
		if o.starts > 0 {
			nonUrgentWaitSum += o.started - r.at
			nonUrgentStarted++
		}
		if o.done {
			m.nonUrgentAnswered++
		}
	}
	m.p50Wait = quantile(waits, 0.50)
	m.p99Wait = quantile(waits, 0.99)
	if nonUrgentStarted > 0 {
		m.nonUrgentWait = nonUrgentWaitSum / time.Duration(nonUrgentStarted)
	}
	if firstAttempts > 0 {
		m.retryShare = float64(attempts-firstAttempts) / float64(firstAttempts)
	}
	return m
}

func (m *metrics) addUrgent(r *request, o *outcome) {
	m.urgent++
	switch {
	case o.done && o.ended <= r.deadline:
		m.useful++
	case o.refused:
		m.refused++
		spent := float64(o.ended-r.at) / float64(r.deadline-r.at)
		m.latestRefusal = max(m.latestRefusal, spent)
		if spent > 0.1 {
			m.lateRefusals++
		}
	default:
		m.lost++
	}
}

// waitOf returns the time from arrival to the last attempt's start, or the whole
// deadline for a request that never started.
func waitOf(r *request, o *outcome) time.Duration {
	if o.starts == 0 {
		return r.deadline - r.at
	}
	return o.started - r.at
}

// quantile sorts waits in place. It returns 0 if there are none.
func quantile(waits []time.Duration, q float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	index := int(math.Ceil(q*float64(len(waits)))) - 1
	return waits[max(index, 0)]
}
