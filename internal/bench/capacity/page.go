package capacity

import (
	"fmt"
	"math"
	"os"
	"strings"

	"github.com/lentilwinch/lentilwinch/internal/fault"
)

const (
	markBegin  = "<!-- begin generated: "
	markEnd    = "<!-- end generated -->"
	markClose  = " -->"
	slopesName = "slopes"
)

// RewritePage regenerates the tables of a page from a results file. It fails with
// fault.NotFound if a file can't be read or a measure is missing, fault.Invalid if
// the results can't be decoded or a table's markers are missing, and
// fault.Unavailable if the page can't be written.
func RewritePage(page, results string) error {
	r, err := Load(results)
	if err != nil {
		return err
	}
	raw, err := os.ReadFile(page)
	if err != nil {
		return fault.Wrap(fault.NotFound, "read "+page, err)
	}
	text, err := Render(string(raw), r)
	if err != nil {
		return err
	}
	if err := os.WriteFile(page, []byte(text), filePerm); err != nil {
		return fault.Wrap(fault.Unavailable, "write "+page, err)
	}
	return nil
}

// Render replaces the text between the markers of a page with tables generated
// from r and keeps the rest. It fails with fault.Invalid if a table's markers are
// missing and with fault.NotFound if a measure is missing in r.
func Render(page string, r Results) (string, error) {
	generated, err := renderAll(r)
	if err != nil {
		return "", err
	}
	for _, g := range generated {
		page, err = replaceSection(page, g)
		if err != nil {
			return "", err
		}
	}
	return page, nil
}

// section is the generated text between the markers with its name.
type section struct {
	name string
	text string
}

func replaceSection(page string, g section) (string, error) {
	begin := markBegin + g.name + markClose + "\n"
	before, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", fault.New(fault.Invalid, "page has no marker for "+g.name)
	}
	_, after, ok := strings.Cut(rest, markEnd)
	if !ok {
		return "", fault.New(fault.Invalid, "page has no end marker for "+g.name)
	}
	return before + begin + g.text + markEnd + after, nil
}

func renderAll(r Results) ([]section, error) {
	out := []section{{slopesName, renderSlopes(r)}}
	byTable := make(map[string]totals)
	for _, t := range Tables() {
		text, sums, err := t.render(r, byTable)
		if err != nil {
			return nil, err
		}
		byTable[t.Name] = sums
		out = append(out, section{t.Name, text})
	}
	return out, nil
}

func renderSlopes(r Results) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Measured on %s, %d cores, %s; %d runs at each size.\n\n", r.Machine.System, r.Machine.Cores, r.Machine.Go, r.Repeats)
	b.WriteString("| measure | what | unit | per | sizes | fixed | slope | ± | order |\n|---|---|---|---|---|---:|---:|---:|---:|\n")
	for _, m := range r.Measures {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %s | %s | %.2f |\n",
			m.ID, m.Quantity, m.Unit, m.Per, m.sizes(), formatNumber(m.Fit.Fixed), formatNumber(m.Fit.Slope), formatNumber(m.Fit.Spread/2), m.Fit.Order)
	}
	return b.String()
}

func (m Measure) sizes() string {
	var out []string
	for _, p := range m.Points {
		if p.Run == 0 {
			out = append(out, formatNumber(p.Size))
		}
	}
	return strings.Join(out, ", ")
}

// sum is a total at the planned size, as current, and at twice that size.
type sum struct {
	current, twice float64
}

// totals are the sums of a table by kind.
type totals map[Kind]sum

func (t totals) add(k Kind, current, twice float64) {
	s := t[k]
	t[k] = sum{current: s.current + current, twice: s.twice + twice}
}

func (t Table) render(r Results, byTable map[string]totals) (string, totals, error) {
	var b strings.Builder
	sums := make(totals)
	b.WriteString("| kind | what | measure | fixed | slope | × size | × times | product | ± | that is | at ×2 |\n|---|---|---|---:|---:|---|---|---:|---:|---:|---:|\n")
	for _, name := range t.TotalsFrom {
		for _, k := range kindsOf(byTable[name]) {
			s := byTable[name][k]
			sums.add(k, s.current, s.twice)
			fmt.Fprintf(&b, "| %s | total of `%s` | | | | | | %s | | %s | %s |\n", k, name, formatNumber(s.current), formatProduct(k, s.current), formatProduct(k, s.twice))
		}
	}
	for _, l := range t.Lines {
		v, err := l.value(r)
		if err != nil {
			return "", nil, err
		}
		if !l.Extra {
			sums.add(l.Kind, v.product, v.twice)
		}
		b.WriteString(l.render(v))
	}
	for _, k := range kindsOf(sums) {
		s := sums[k]
		fmt.Fprintf(&b, "| **%s** | **total** | | | | | | **%s** | | **%s** | **%s** |\n", k, formatNumber(s.current), formatProduct(k, s.current), formatProduct(k, s.twice))
	}
	if len(t.Budgets) > 0 {
		b.WriteString("\n")
	}
	for _, budget := range t.Budgets {
		b.WriteString(budget.verdict(sums[budget.Kind]))
	}
	return b.String(), sums, nil
}

func (l Line) render(v value) string {
	measure, what := "by rule", l.Description
	if l.Measure != "" {
		measure = "`" + l.Measure + "`"
	}
	if l.Extra {
		what += " (not counted below)"
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %s | %s %s | %s %s | %s | %s | %s | %s |\n",
		l.Kind, what, measure, formatNumber(v.fixed), formatNumber(v.slope), formatNumber(l.Size), l.SizeUnit, formatNumber(l.Times), l.TimesUnit,
		formatNumber(v.product), formatNumber(v.spread/2), formatProduct(l.Kind, v.product), formatProduct(l.Kind, v.twice))
}

// verdict formats whether a total is within the budget, at the planned size and
// at twice that size.
func (b Budget) verdict(s sum) string {
	return fmt.Sprintf("- %s against %s: %s; at ×2 %s.\n", b.Kind, b.Description, b.compare(s.current), b.compare(s.twice))
}

func (b Budget) compare(v float64) string {
	if v > b.Bound {
		return fmt.Sprintf("**over by ×%.3g**", v/b.Bound)
	}
	return fmt.Sprintf("within, %.3g%% of it", 100*v/b.Bound)
}

// kindsOf returns the kinds that have a sum, in a fixed order.
func kindsOf(t totals) []Kind {
	var out []Kind
	for _, k := range []Kind{Memory, Processor, ProcessorOnce, WireBytes, RowsWritten, RowsRead, Commits, Reads, Calls, Size} {
		if _, ok := t[k]; ok {
			out = append(out, k)
		}
	}
	return out
}

// formatNumber formats a number without an exponent, with all digits before the
// decimal point and four significant digits otherwise. It omits trailing zeros of a
// fraction and formats absolute values below 1e-9 as 0.
func formatNumber(v float64) string {
	if v == 0 || math.Abs(v) < 1e-9 {
		return "0"
	}
	digits := 3 - int(math.Floor(math.Log10(math.Abs(v))))
	s := fmt.Sprintf("%.*f", max(digits, 0), v)
	if strings.Contains(s, ".") {
		s = strings.TrimRight(strings.TrimRight(s, "0"), ".")
	}
	return s
}

// formatProduct formats a line's product or a table's total in the unit that the
// page uses for the kind, such as MB for Memory.
func formatProduct(k Kind, v float64) string {
	switch k {
	case Memory:
		return fmt.Sprintf("%.3g MB", v/1e6)
	case Processor:
		return fmt.Sprintf("%.3g%% of a core", v/1e7)
	case ProcessorOnce:
		return fmt.Sprintf("%.3g ms", v/1e6)
	case WireBytes:
		return fmt.Sprintf("%.3g KB/s", v/1e3)
	case RowsWritten, RowsRead:
		return fmt.Sprintf("%.3g rows", v)
	case Commits, Reads, Calls:
		return fmt.Sprintf("%.3g %s", v, k)
	default:
		return fmt.Sprintf("%.4g", v)
	}
}
