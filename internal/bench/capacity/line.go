package capacity

// Kind is what a product counts.
type Kind string

// The kinds.
const (
	Memory    Kind = "memory"
	Processor Kind = "processor"
	Once      Kind = "processor, once"
	Wire      Kind = "wire"
	Written   Kind = "rows written"
	Read      Kind = "rows read"
	Commits   Kind = "commits"
	Reads     Kind = "reads"
	Calls     Kind = "calls"
	Size      Kind = "size"
)

// Line is one step of the arithmetic: (fixed + slope × Size) × Times.
type Line struct {
	What string
	Kind Kind
	// Measure names the measure that gives fixed and slope. Without one, Slope
	// states the slope by rule, as in "one row for each heartbeat".
	Measure string
	Slope   float64
	// Marginal leaves the fixed part out, where it is the measurement's own.
	Marginal bool
	Size     float64
	Of       string
	Times    float64
	Every    string
	// GrowSize and GrowTimes tell what doubles at twice the size.
	GrowSize  bool
	GrowTimes bool
	// Extra lines are shown but don't count in the table's total.
	Extra bool
}

// Budget is a bound on a table's total of one kind.
type Budget struct {
	Kind  Kind
	Bound float64
	Of    string
}

// Table is a group of lines.
type Table struct {
	// Name is that of the markers in the page.
	Name    string
	Lines   []Line
	Budgets []Budget
	// From adds the totals of other tables.
	From []string
}

// value is a line's arithmetic.
type value struct {
	fixed, slope, spread float64
	product, twice       float64
}

func (l Line) value(r Results) (value, error) {
	v := value{slope: l.Slope}
	if l.Measure != "" {
		m, err := r.Measure(l.Measure)
		if err != nil {
			return value{}, err
		}
		v.slope = m.Fit.Slope
		if !l.Marginal {
			v.fixed = m.Fit.Fixed
		}
		v.spread = m.spreadAt(l.Size, l.Marginal) * l.Times
	}
	v.product = (v.fixed + v.slope*l.Size) * l.Times
	v.twice = (v.fixed + v.slope*l.Size*double(l.GrowSize)) * l.Times * double(l.GrowTimes)
	return v, nil
}

func double(grows bool) float64 {
	if grows {
		return 2
	}
	return 1
}

// spreadAt is the largest less the smallest value at a size of the fits of the
// single runs.
func (m Measure) spreadAt(size float64, marginal bool) float64 {
	byRun := make(map[int][]Point)
	for _, p := range m.Points {
		byRun[p.Run] = append(byRun[p.Run], p)
	}
	first := true
	var low, high float64
	for _, points := range byRun {
		fixed, slope := leastSquares(points)
		at := slope * size
		if !marginal {
			at += fixed
		}
		if first {
			low, high, first = at, at, false
			continue
		}
		low, high = min(low, at), max(high, at)
	}
	return high - low
}
