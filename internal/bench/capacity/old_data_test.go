package capacity

import (
	"testing"

	"github.com/shoenig/test/must"
)

var oldResults = Results{
	Machine: Machine{System: "linux/amd64", Go: "go1.25", Cores: 4},
	Repeats: 3,
	Measures: []Measure{{
		ID: "decide", Quantity: "time", Unit: "ms", Per: "job",
		Points: []Point{{Size: 10, Value: 2.5, Run: 1}},
		Fit:    Fit{Fixed: 0.5, Slope: 0.25, Spread: 0.125, Order: 1.5},
	}},
}

// Measures that an earlier build saved must stay readable. A renamed key would
// leave the field zero, and the capacity page would be rendered from zeros.
func TestDecodesDataOfEarlierBuilds(t *testing.T) {
	got, err := Load("testdata/results.json")
	must.NoError(t, err)
	must.Eq(t, oldResults, got)
}
