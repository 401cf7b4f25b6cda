package utility_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/lentilwinch/lentilwinch/internal/utility"
)

// Guards against a change of the order of starts: the figures are those of the formula
// that the planner used before this package.
func TestRankFigures(t *testing.T) {
	inTime := utility.Job{Objective: 10 * time.Second, Age: 4 * time.Second, Remaining: 6 * time.Second}
	must.Eq(t, 1, inTime.Rank())
	late := inTime
	late.Age += time.Millisecond
	must.Eq(t, 0.3, late.Rank())
	late.Age = 24 * time.Second
	must.Eq(t, 0.3, late.Rank())
	overdue := late
	overdue.Age += time.Millisecond
	must.Eq(t, utility.OverdueFactor, overdue.Rank())
	overdue.LongLived = true
	must.Eq(t, 1, overdue.Rank())
	started := inTime
	started.Started, started.Priority, started.Size = true, 1, 4
	size := started.Size // not a constant, whose arithmetic would be exact
	must.Eq(t, math.Pow(6, -1)*1.5*math.Sqrt((0.3+(1-0.3)*size)/size), started.Rank())
}

// Guards against victims whose stop looks cheaper than it is: the same work costs more to
// discard at a higher priority, and every stop has a cost.
func TestStopCostFigures(t *testing.T) {
	value, discarded, cores := 1.0, 10.0, 8.0 // not constants, whose arithmetic would be exact
	must.Eq(t, (value+1.0/6)*discarded+0.05*cores, utility.StopCost(0, discarded, cores))
	must.Less(t, utility.StopCost(1, 10, 8), utility.StopCost(2, 10, 8))
	must.Positive(t, utility.StopCost(3, 0, 1))
}

// Guards against a rank or a cost that falls where it must rise, which would put the more
// valuable job behind.
func TestMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := rapid.Int64Range(0, int64(time.Hour))
		j := utility.Job{
			Priority:  rapid.IntRange(0, 5).Draw(t, "priority"),
			Objective: time.Duration(duration.Draw(t, "objective")),
			Age:       time.Duration(duration.Draw(t, "age")),
			Remaining: time.Duration(duration.Draw(t, "remaining")),
			Started:   rapid.Bool().Draw(t, "started"),
			Size:      rapid.Float64Range(0, 1000).Draw(t, "size"),
		}
		older, lower := j, j
		older.Age += time.Duration(duration.Draw(t, "later"))
		lower.Priority++
		must.LessEq(t, j.Rank(), older.Rank())
		must.Less(t, j.Rank(), lower.Rank())
		must.Less(t, j.RefusalCost(), lower.RefusalCost())
		must.Positive(t, older.Rank())
	})
}

// Guards against a forecast that counts a waiting job ahead of a new one although the
// planner will rank it behind by then.
func TestOutranksForAgreesWithRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := rapid.Int64Range(0, int64(time.Hour))
		j := utility.Job{
			Priority:  rapid.IntRange(0, 3).Draw(t, "priority"),
			Objective: time.Duration(duration.Draw(t, "objective")),
			Age:       time.Duration(duration.Draw(t, "age")),
			Remaining: time.Duration(duration.Draw(t, "remaining")),
			Started:   rapid.Bool().Draw(t, "started"),
			LongLived: rapid.Bool().Draw(t, "long-lived"),
			Size:      rapid.Float64Range(0.01, 100).Draw(t, "size"),
		}
		rank := rapid.Float64Range(0.01, 3).Draw(t, "rank")
		until := j.OutranksFor(rank)
		if until > 0 {
			j.Age += min(until, 1000*time.Hour)
			must.GreaterEq(t, rank, j.Rank())
		}
		if !j.LongLived {
			j.Age += time.Nanosecond
			must.Less(t, rank, j.Rank())
		}
	})
}

// Guards against callers that all retry at once, and against jobs that come back before
// others whose refusal costs more.
func TestRetryDelayIsSpreadAndPutsCostlyJobsFirst(t *testing.T) {
	urgent, batch := utility.Job{Priority: 0, Size: 1}, utility.Job{Priority: 2, Size: 1}
	for _, jitter := range []float64{0, 0.3, 1} {
		must.Less(t, batch.RetryDelay(10*time.Second, jitter), urgent.RetryDelay(10*time.Second, jitter))
	}
	must.GreaterEq(t, 10*time.Second, urgent.RetryDelay(10*time.Second, 0))
	must.GreaterEq(t, urgent.RetryDelay(0, 0)+2*time.Second, urgent.RetryDelay(0, 1))
}

// Guards against stops that count as harmless although the caller gets nothing any more,
// and against losses charged to jobs that have none left.
func TestStopLossFigures(t *testing.T) {
	const objective, work = 10 * time.Second, 100.0
	loss := func(age, remaining, after time.Duration) float64 {
		return utility.Job{Objective: objective, Age: age * time.Second, Remaining: remaining * time.Second}.StopLoss(work, after*time.Second)
	}
	must.Eq(t, 0, loss(1, 4, 9))                    // still on time
	must.Eq(t, 0, loss(8, 4, 9))                    // late either way
	must.Eq(t, 0, loss(28, 4, 9))                   // worthless either way
	must.Eq(t, 0, loss(8, 4, 1))                    // a wrong estimate is no gain
	must.InDelta(t, 0.7*work, loss(4, 4, 9), 1e-9)  // becomes late
	must.InDelta(t, 0.3*work, loss(24, 4, 9), 1e-9) // becomes worthless
	must.InDelta(t, work, loss(4, 4, 60), 1e-9)     // loses all at once
	must.InDelta(t, work/6, utility.Job{Priority: 1, Objective: objective}.StopLoss(work, 31*time.Second), 1e-9)
	must.Eq(t, 0, utility.Job{LongLived: true, Objective: objective}.StopLoss(work, time.Hour))
}

// Guards against a second definition of value: of jobs of one queue, the loss of the whole
// value is in the same proportion as the cost of a refusal.
func TestStopLossAgreesWithRefusalCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mean, size := 40.0, rapid.Float64Range(0.01, 100).Draw(t, "size")
		j := utility.Job{Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Objective: time.Second, Size: size}
		must.InDelta(t, 1, j.StopLoss(size*mean, time.Minute)/(mean*j.RefusalCost()), 1e-9)
	})
}
