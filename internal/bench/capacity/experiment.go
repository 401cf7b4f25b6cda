package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

// Output is one quantity that an experiment yields.
type Output struct {
	ID       string
	Quantity string
	Unit     string
}

// Experiment measures its outputs at each of its sizes.
type Experiment struct {
	// Per names the unit of size.
	Per     string
	Sizes   []int
	Outputs []Output
	// Run returns a value for each output, in order.
	Run func(ctx context.Context, size int) ([]float64, error)
}

// repeats is the number of runs of each experiment.
const repeats = 3

// Run makes all experiments and tells their progress.
func Run(ctx context.Context, progress io.Writer) (Results, error) {
	r := Results{
		Machine: Machine{System: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version(), Cores: runtime.NumCPU()},
		Repeats: repeats,
	}
	for _, e := range experiments() {
		began := time.Now()
		measures, err := e.measure(ctx)
		if err != nil {
			return Results{}, fault.Wrap(fault.Internal, "measure "+e.Outputs[0].ID, err)
		}
		r.Measures = append(r.Measures, measures...)
		report(progress, measures, time.Since(began))
	}
	return r, nil
}

func experiments() []Experiment {
	var out []Experiment
	for _, group := range [][]Experiment{stateExperiments(), ownerExperiments(), dispatchExperiments(), configExperiments(), storeExperiments(), wireExperiments()} {
		out = append(out, group...)
	}
	return out
}

func (e Experiment) measure(ctx context.Context) ([]Measure, error) {
	measures := make([]Measure, len(e.Outputs))
	for i, o := range e.Outputs {
		measures[i] = Measure{ID: o.ID, Quantity: o.Quantity, Unit: o.Unit, Per: e.Per}
	}
	for run := range repeats {
		for _, size := range e.Sizes {
			values, err := e.Run(ctx, size)
			if err != nil {
				return nil, err
			}
			for i, v := range values {
				measures[i].Points = append(measures[i].Points, Point{Size: float64(size), Value: v, Run: run})
			}
		}
	}
	for i := range measures {
		measures[i].Fit = NewFit(measures[i].Points)
	}
	return measures, nil
}

func report(w io.Writer, measures []Measure, took time.Duration) {
	for _, m := range measures {
		fmt.Fprintf(w, "%-22s fixed %12.5g  slope %12.5g ± %-10.3g order %5.2f  %s per %s (%s)\n",
			m.ID, m.Fit.Fixed, m.Fit.Slope, m.Fit.Spread/2, m.Fit.Order, m.Unit, m.Per, took.Round(time.Millisecond))
	}
}
