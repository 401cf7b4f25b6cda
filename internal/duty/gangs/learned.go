package gangs

import (
	"time"

	"github.com/lentilwinch/lentilwinch/internal/learn"
	"github.com/lentilwinch/lentilwinch/internal/structs"
)

// maxLearned bounds the kinds of work that run times are kept for.
const maxLearned = 512

// runTimes learns run times by workspace and service, as declared ones are far
// off. They are hints, so that a new owner may start without them.
type runTimes map[structs.ServiceKey]*learn.RunTime

func learnedKey(s structs.JobSpec) structs.ServiceKey {
	return structs.ServiceKey{Workspace: s.Key.Workspace, Name: s.Service}
}

// expected returns the learned run time of a job, or the declared one.
func (r runTimes) expected(s structs.JobSpec) time.Duration {
	known, ok := r[learnedKey(s)]
	if !ok || s.Service == "" {
		return s.DeclaredRun
	}
	return known.Estimate().High
}

// observe notes a job that ran from its start to success in one attempt.
func (r runTimes) observe(j structs.Job) {
	if j.Spec.Service == "" || j.State != structs.JobSucceeded || j.Checkpoint != "" {
		return
	}
	k := learnedKey(j.Spec)
	if r[k] == nil {
		if len(r) >= maxLearned {
			return
		}
		r[k] = learn.New(j.Spec.DeclaredRun)
	}
	r[k].Observe(j.Ended.Sub(j.Started))
}
