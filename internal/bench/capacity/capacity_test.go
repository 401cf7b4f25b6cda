package capacity

import (
	"math"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	committedResults = "../../../docs/measurements/capacity.json"
	committedPage    = "../../../docs/CAPACITY.md"
	// rounding is the relative tolerance for factors printed with four digits.
	rounding = 0.005
	// nonZeroDelta keeps the delta positive, as InDelta requires.
	nonZeroDelta = 1e-12
)

func mustBeNear(t *testing.T, want, got float64) {
	t.Helper()
	must.InDelta(t, want, got, 1e-9*max(1, math.Abs(want)))
}

func TestNewFitFindsFixedPartSlopeAndSpread(t *testing.T) {
	cases := []struct {
		name   string
		points []Point
		want   Fit
	}{
		{"line", []Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}}, Fit{Fixed: 3, Slope: 2}},
		{"constant", []Point{{Size: 1, Value: 5}, {Size: 2, Value: 5}, {Size: 4, Value: 5}}, Fit{Fixed: 5}},
		{"runs that differ", []Point{
			{Size: 1, Value: 1}, {Size: 2, Value: 2}, {Size: 3, Value: 3},
			{Size: 1, Value: 3, Run: 1}, {Size: 2, Value: 6, Run: 1}, {Size: 3, Value: 9, Run: 1},
		}, Fit{Slope: 2, Spread: 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := NewFit(c.points)
			mustBeNear(t, c.want.Fixed, got.Fixed)
			mustBeNear(t, c.want.Slope, got.Slope)
			mustBeNear(t, c.want.Spread, got.Spread)
		})
	}
}

func TestNewFitOrderIsExponentOfPowerLaw(t *testing.T) {
	var line, square []Point
	for _, n := range []float64{2, 4, 8} {
		line = append(line, Point{Size: n, Value: 3 * n})
		square = append(square, Point{Size: n, Value: n * n})
	}
	mustBeNear(t, 1, NewFit(line).Order)
	mustBeNear(t, 2, NewFit(square).Order)
}

// Guards against the fixed part being included in marginal lines.
func TestLineValueOmitsFixedPartOfMarginalLine(t *testing.T) {
	r := Results{Measures: []Measure{{ID: "m", Fit: Fit{Fixed: 10, Slope: 2}}}}
	line := Line{Measure: "m", Size: 5, Times: 3, DoubleSize: true, DoubleTimes: true}
	v, err := line.value(r)
	must.NoError(t, err)
	mustBeNear(t, 60, v.product)
	mustBeNear(t, 180, v.twice)
	line.Marginal = true
	v, err = line.value(r)
	must.NoError(t, err)
	mustBeNear(t, 30, v.product)
	_, err = Line{Measure: "unknown"}.value(r)
	must.Eq(t, fault.NotFound, fault.CodeOf(err))
}

func TestReplaceSectionKeepsOtherText(t *testing.T) {
	page := "a\n" + markBegin + "x" + markClose + "\nold\n" + markEnd + "\nb\n"
	got, err := replaceSection(page, section{"x", "new\n"})
	must.NoError(t, err)
	must.Eq(t, "a\n"+markBegin+"x"+markClose+"\nnew\n"+markEnd+"\nb\n", got)
	_, err = replaceSection("no marker", section{"x", "new\n"})
	must.Eq(t, fault.Invalid, fault.CodeOf(err))
}

// Guards against a page that is not regenerated and results whose fits don't match
// their points. One changed digit in the page or one changed point is detected.
func TestCommittedPageMatchesCommittedResults(t *testing.T) {
	r, err := Load(committedResults)
	must.NoError(t, err)
	for _, m := range r.Measures {
		fit := NewFit(m.Points)
		mustBeNear(t, m.Fit.Slope, fit.Slope)
		mustBeNear(t, m.Fit.Fixed, fit.Fixed)
		must.GreaterEq(t, 3, len(strings.Split(m.sizes(), ",")))
	}
	raw, err := os.ReadFile(committedPage)
	must.NoError(t, err)
	page, err := Render(string(raw), r)
	must.NoError(t, err)
	must.Eq(t, page, string(raw))
}

// Recomputes each product from the factors printed in the page. A product that is
// off by 4% is detected.
func TestCommittedPageProductsMatchFactors(t *testing.T) {
	raw, err := os.ReadFile(committedPage)
	must.NoError(t, err)
	checked := 0
	for line := range strings.Lines(string(raw)) {
		cells := strings.Split(line, " | ")
		if len(cells) != 11 || strings.Contains(line, "total") || cells[2] == "measure" {
			continue
		}
		fixed, slope, size, times := leadingNumber(t, cells[3]), leadingNumber(t, cells[4]), leadingNumber(t, cells[5]), leadingNumber(t, cells[6])
		want := (fixed + slope*size) * times
		// Cancellation of large terms loses digits.
		scale := (math.Abs(fixed) + math.Abs(slope*size)) * times
		must.InDelta(t, want, leadingNumber(t, cells[7]), rounding*scale+nonZeroDelta, must.Sprint(line))
		checked++
	}
	must.GreaterEq(t, 60, checked)
}

// leadingNumber returns the number that a cell begins with.
func leadingNumber(t *testing.T, cell string) float64 {
	t.Helper()
	word, _, _ := strings.Cut(strings.TrimSpace(cell), " ")
	v, err := strconv.ParseFloat(word, 64)
	must.NoError(t, err)
	return v
}
