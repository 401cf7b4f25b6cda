package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Output is one quantity that an experiment measures.
type Output struct {
	ID          string
	Description string
	Unit        string
}

// Experiment measures its outputs at each of its sizes.
type Experiment struct {
	// Per is the unit of the sizes, such as "worker".
	Per     string
	Sizes   []int
	Outputs []Output
	// Run returns a value for each output, in order.
	Run func(ctx context.Context, size int) ([]float64, error)
}

// repeats is the number of runs of each experiment.
const repeats = 3

// Run runs all experiments and writes their progress. It fails with
// fault.Internal if an experiment fails.
func Run(ctx context.Context, progress io.Writer) (Results, error) {
	r := Results{
		Machine: Machine{System: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version(), Cores: runtime.NumCPU()},
		Repeats: repeats,
	}
	all := experiments()
	for _, e := range all {
		r.Measures = append(r.Measures, e.measures()...)
	}
	for run := range repeats {
		if err := r.runOnce(ctx, all, run, progress); err != nil {
			return Results{}, err
		}
	}
	for i := range r.Measures {
		r.Measures[i].Fit = NewFit(r.Measures[i].Points)
		printMeasure(progress, r.Measures[i])
	}
	return r, nil
}

// runOnce runs every experiment once, so that the repetitions of each experiment
// are spread over time.
func (r *Results) runOnce(ctx context.Context, all []Experiment, run int, progress io.Writer) error {
	offset := 0
	for _, e := range all {
		start := time.Now()
		measures := r.Measures[offset : offset+len(e.Outputs)]
		if err := e.measure(ctx, run, measures); err != nil {
			return fault.Wrap(fault.Internal, "measure "+e.Outputs[0].ID, err)
		}
		offset += len(e.Outputs)
		fmt.Fprintf(progress, "run %d of %d: %s (%s)\n", run+1, repeats, e.Outputs[0].ID, time.Since(start).Round(time.Millisecond))
	}
	return nil
}

func experiments() []Experiment {
	var out []Experiment
	for _, group := range [][]Experiment{stateExperiments(), ownerExperiments(), dispatchExperiments(), configExperiments(), storeExperiments(), wireExperiments()} {
		out = append(out, group...)
	}
	return out
}

func (e Experiment) measures() []Measure {
	out := make([]Measure, len(e.Outputs))
	for i, o := range e.Outputs {
		out[i] = Measure{ID: o.ID, Quantity: o.Description, Unit: o.Unit, Per: e.Per}
	}
	return out
}

// measure adds one run's points to the measures of its outputs.
func (e Experiment) measure(ctx context.Context, run int, measures []Measure) error {
	for _, size := range e.Sizes {
		values, err := e.Run(ctx, size)
		if err != nil {
			return err
		}
		for i, v := range values {
			measures[i].Points = append(measures[i].Points, Point{Size: float64(size), Value: v, Run: run})
		}
	}
	return nil
}

func printMeasure(w io.Writer, m Measure) {
	fmt.Fprintf(w, "%-22s fixed %12.5g  slope %12.5g ± %-10.3g order %5.2f  %s per %s\n",
		m.ID, m.Fit.Fixed, m.Fit.Slope, m.Fit.Spread/2, m.Fit.Order, m.Unit, m.Per)
}
