package api

import (
	"math"
	"time"

	lentilwinchv1 "github.com/lentilwinch/lentilwinch/gen/lentilwinch/v1"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

func specFromProto(m *lentilwinchv1.JobSpec) structs.JobSpec {
	return structs.JobSpec{
		Key:          structs.JobKey{Workspace: m.GetWorkspace(), ID: m.GetJobId()},
		Members:      int(m.GetMembers()),
		Accelerators: int(m.GetAccelerators()),
		Adjacency:    structs.Adjacency(m.GetAdjacency()),
		Class:        structs.Class(m.GetClass()),
		Preemptible:  m.GetPreemptible(),
		DeclaredRun:  durationFromMillis(m.GetDeclaredRunMs()),
		Payload:      m.GetPayload(),
		Domain:       m.GetDomain(),
		Service:      m.GetService(),
	}
}

func specToProto(s structs.JobSpec) *lentilwinchv1.JobSpec {
	return &lentilwinchv1.JobSpec{
		Workspace:     s.Key.Workspace,
		JobId:         s.Key.ID,
		Members:       int32(s.Members),
		Accelerators:  int32(s.Accelerators),
		Adjacency:     string(s.Adjacency),
		Class:         string(s.Class),
		Preemptible:   s.Preemptible,
		DeclaredRunMs: s.DeclaredRun.Milliseconds(),
		Payload:       s.Payload,
		Domain:        s.Domain,
		Service:       s.Service,
	}
}

func jobToProto(j structs.Job, revision int64) *lentilwinchv1.JobStatus {
	out := &lentilwinchv1.JobStatus{
		Spec:            specToProto(j.Spec),
		State:           string(j.State),
		Reason:          j.Reason,
		Attempt:         j.Attempt,
		Domain:          j.Domain,
		Revision:        revision,
		SubmittedUnixMs: unixMillis(j.Submitted),
		StartedUnixMs:   unixMillis(j.Started),
		EndedUnixMs:     unixMillis(j.Ended),
	}
	for _, m := range j.Members {
		out.Members = append(out.Members, &lentilwinchv1.Member{Worker: m.Worker, Rack: m.Rack, LeaseId: string(m.Lease)})
	}
	return out
}

// durationFromMillis converts milliseconds from a caller to a Duration. Values
// beyond the range of a Duration saturate instead of overflowing.
func durationFromMillis(ms int64) time.Duration {
	const maxMillis = math.MaxInt64 / int64(time.Millisecond)
	switch {
	case ms > maxMillis:
		return math.MaxInt64
	case ms < -maxMillis:
		return math.MinInt64
	default:
		return time.Duration(ms) * time.Millisecond
	}
}

// unixMillis returns t in Unix milliseconds, or 0 for the zero time.
func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func outcomeToProto(o structs.Outcome) lentilwinchv1.Outcome {
	switch o {
	case structs.OutcomeDone:
		return lentilwinchv1.Outcome_OUTCOME_DONE
	case structs.OutcomeNotRun:
		return lentilwinchv1.Outcome_OUTCOME_NOT_RUN
	case structs.OutcomeUnknown:
		return lentilwinchv1.Outcome_OUTCOME_UNKNOWN
	case structs.OutcomePending:
		return lentilwinchv1.Outcome_OUTCOME_PENDING
	default:
		return lentilwinchv1.Outcome_OUTCOME_UNSPECIFIED
	}
}
