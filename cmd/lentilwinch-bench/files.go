package main

import (
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/lentilwinch/lentilwinch/internal/bench/requests"
	"github.com/lentilwinch/lentilwinch/internal/bench/table"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	fileMode   = 0o644
)

// writeFiles writes the table of rows and, unless o.sharing is set, the plots of
// a simulated surge of requests under each policy.
func writeFiles(o options, rows []table.Row) error {
	if o.sharing {
		return writeTable(filepath.Join(o.out, "crest-sharing.md"), "Ways of sharing slots", rows)
	}
	if err := writeTable(filepath.Join(o.out, "crest.md"), "Targets", rows); err != nil {
		return err
	}
	series := requests.SurgeSeries()
	wait := func(p requests.Point) float64 { return p.Wait }
	useful := func(p requests.Point) float64 { return p.Useful }
	err := writePlot(filepath.Join(o.out, "crest-wait.png"), "p99 wait of urgent requests", "s", true, series, wait)
	if err != nil {
		return err
	}
	return writePlot(filepath.Join(o.out, "crest-service.png"), "answered within the deadline", "share", false, series, useful)
}

func writeTable(path, title string, rows []table.Row) error {
	var b strings.Builder
	b.WriteString("# " + title + "\n\n```\n")
	if _, err := table.Write(&b, rows, nil); err != nil {
		return err
	}
	b.WriteString("```\n")
	return os.WriteFile(path, []byte(b.String()), fileMode)
}

func writePlot(path, title, unit string, legendTop bool, series []requests.Series, yValue func(requests.Point) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Left = true
	p.Legend.Top = legendTop
	for i, s := range series {
		line, err := plotter.NewLine(points(s, yValue))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(s.Policy, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func points(s requests.Series, yValue func(requests.Point) float64) plotter.XYs {
	xys := make(plotter.XYs, len(s.Points))
	for i, p := range s.Points {
		xys[i] = plotter.XY{X: p.At, Y: yValue(p)}
	}
	return xys
}
