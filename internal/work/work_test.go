package work

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// longestPath follows every path from a step.
func longestPath(j *Job, from int) time.Duration {
	longest := time.Duration(0)
	for i := from + 1; i < len(j.Steps); i++ {
		for _, dep := range j.Steps[i].After {
			if dep == from {
				longest = max(longest, longestPath(j, i))
			}
		}
	}
	return j.Steps[from].Estimate + longest
}

func TestCriticalPathsAreTheLongestOfAllPaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var j Job
		for i := range rapid.IntRange(1, 9).Draw(t, "steps") {
			s := Step{Estimate: time.Duration(rapid.IntRange(0, 100).Draw(t, "estimate")) * time.Second}
			if i > 0 {
				s.After = rapid.SliceOfN(rapid.IntRange(0, i-1), 0, 4).Draw(t, "after")
			}
			j.Steps = append(j.Steps, s)
		}
		paths := j.CriticalPaths()
		for i := range j.Steps {
			must.EqOp(t, longestPath(&j, i), paths[i])
		}
	})
}
