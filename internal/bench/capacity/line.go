package capacity

// Kind is the resource that a line's product measures.
type Kind string

// Kinds of resources. A line's product is in bytes for Memory, in ns/s for
// Processor, in ns for ProcessorOnce and in B/s for WireBytes. For the other kinds,
// Line.SizeUnit and Line.TimesUnit state what is counted and over which time.
const (
	Memory        Kind = "memory"
	Processor     Kind = "processor"
	ProcessorOnce Kind = "processor, once"
	WireBytes     Kind = "wire"
	RowsWritten   Kind = "rows written"
	RowsRead      Kind = "rows read"
	Commits       Kind = "commits"
	Reads         Kind = "reads"
	Calls         Kind = "calls"
	Size          Kind = "size"
)

// Line is one row of a table, with the product (fixed + slope × Size) × Times.
type Line struct {
	Description string
	Kind        Kind
	// Measure is the ID of the measure that gives fixed and slope. If it is
	// empty, Slope is set by rule, as in "one row for each heartbeat".
	Measure string
	Slope   float64
	// Marginal omits the fixed part. It is set where the measurement itself
	// causes that part.
	Marginal  bool
	Size      float64
	SizeUnit  string
	Times     float64
	TimesUnit string
	// DoubleSize and DoubleTimes are set if Size or Times doubles when the
	// deployment's size doubles.
	DoubleSize  bool
	DoubleTimes bool
	// Extra lines are shown but excluded from the table's total.
	Extra bool
}

// Budget is a bound on a table's total of one kind, in that kind's unit.
type Budget struct {
	Kind        Kind
	Bound       float64
	Description string
}

// Table is a generated table of the page.
type Table struct {
	// Name is the name in the page's markers.
	Name    string
	Lines   []Line
	Budgets []Budget
	// TotalsFrom names tables whose totals are added.
	TotalsFrom []string
}

// value is a line's result. spread is the largest minus the smallest product of
// the individual runs, and twice is the product at twice the size.
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
	v.twice = (v.fixed + v.slope*l.Size*growth(l.DoubleSize)) * l.Times * growth(l.DoubleTimes)
	return v, nil
}

func growth(doubles bool) float64 {
	if doubles {
		return 2
	}
	return 1
}

// spreadAt returns the largest minus the smallest value at a size among the fits
// of the individual runs.
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
