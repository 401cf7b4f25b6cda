package table

import (
	"io"
	"math"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const knownRows = `Rows that may be out of bound.

bench: waits
seen: 0.3 on the CI machine
issue: 4

test: TestSomething
seen: never ends
`

func TestOnlyKnownRowsMayBeOutOfBound(t *testing.T) {
	k, err := ReadKnown(strings.NewReader(knownRows))
	must.NoError(t, err)
	cases := []struct {
		name   string
		row    Row
		failed int
	}{
		{"within the bound", Row{Target: "waits", Ratio: 0.2, Bound: 0.25}, 0},
		{"as recorded", Row{Target: "waits", Ratio: 0.3, Bound: 0.25}, 0},
		{"worse than recorded", Row{Target: "waits", Ratio: 0.31, Bound: 0.25}, 1},
		{"another row", Row{Target: "answers", Ratio: 0.3, Bound: 0.25}, 1},
		{"below a lower bound", Row{Target: "answers", Ratio: 0.2, Bound: 0.25, AtLeast: true}, 1},
		{"without a bound", Row{Target: "answers", Ratio: 9, Bound: math.Inf(1)}, 0},
		{"not a number", Row{Target: "answers", Ratio: math.NaN(), Bound: 0.25}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			failed, err := Write(io.Discard, []Row{c.row}, k)
			must.NoError(t, err)
			must.Eq(t, c.failed, failed)
		})
	}
}

func TestReadKnownRejectsInvalidRatio(t *testing.T) {
	_, err := ReadKnown(strings.NewReader("bench: waits\nseen: often\n"))
	must.Error(t, err)
}
