package main

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// legendHeight is the height of the legend as a fraction of the range of values.
	legendHeight   = 0.5
	legendMargin   = 8
	thumbnailWidth = 30
	lineWidth      = 1.5
	dotRadius      = 4
	// dotsWidth is the width of a trace's dots as a fraction of the distance between two traces.
	dotsWidth = 0.6
	percent   = 100
	// smoothingSeconds is the number of seconds that one point of a curve averages.
	smoothingSeconds = 15
)

// figure holds the results of one trace.
type figure struct {
	fleet fleet
	trace trace
	rows  []row
}

// draw writes a plot of the goodput in all figures and, if the last trace varies over time, a plot of its goodput over
// time.
func (m measurement) draw(f fleet, figures []figure) error {
	if m.plots == "" {
		return nil
	}
	if err := os.MkdirAll(m.plots, 0o755); err != nil {
		return fmt.Errorf("make the directory of plots: %w", err)
	}
	if err := m.drawRatios(f, figures); err != nil {
		return err
	}
	newest := figures[len(figures)-1]
	if !newest.trace.varying {
		return nil
	}
	return m.drawCurves(newest)
}

// plottedRows returns the rows to plot: the best fixed split, and all policies without a fixed split.
func (fig figure) plottedRows() []row {
	var best row
	var others []row
	for _, r := range fig.rows {
		switch {
		case !r.policy.fixed:
			others = append(others, r)
		case r.goodput > best.goodput:
			best = r
			best.policy.name = "best fixed split"
		}
	}
	if len(best.points) == 0 {
		return others
	}
	return append([]row{best}, others...)
}

// drawRatios plots each policy's goodput on each trace in percent of that of the best fixed split.
func (m measurement) drawRatios(f fleet, figures []figure) error {
	p := newPlot(f.name+": goodput by trace", "% of the best fixed split's goodput")
	p.Add(plotter.NewGrid())
	series := make(map[string]plotter.XYs)
	var names, traces []string
	for at, fig := range figures {
		traces = append(traces, fig.trace.name)
		rows := fig.plottedRows()
		for i, r := range rows {
			if _, ok := series[r.policy.name]; !ok {
				names = append(names, r.policy.name)
			}
			series[r.policy.name] = append(series[r.policy.name], plotter.XY{
				X: float64(at) + dotOffset(i, len(rows)),
				Y: percent * r.goodput / rows[0].goodput,
			})
		}
	}
	for i, name := range names {
		dots, err := plotter.NewScatter(series[name])
		if err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
		dots.GlyphStyle = draw.GlyphStyle{
			Color:  lineColor(i),
			Radius: vg.Points(dotRadius),
			Shape:  plotutil.Shape(i),
		}
		p.Add(dots)
		p.Legend.Add(name, dots)
	}
	p.NominalX(traces...)
	p.X.Min = -1.0 / 2
	p.X.Max = float64(len(traces)) - 1.0/2
	return m.save(p, f, "goodput")
}

// dotOffset returns the horizontal offset of the i-th of n dots from the centre of their trace.
func dotOffset(i, n int) float64 {
	return dotsWidth * (float64(i)/float64(max(1, n-1)) - 1.0/2)
}

func (m measurement) drawCurves(fig figure) error {
	p := newPlot(fig.fleet.name+": "+fig.trace.name, "answers in time per second")
	p.X.Label.Text = "time of arrival in seconds"
	p.Add(plotter.NewGrid())
	for i, r := range fig.plottedRows() {
		line, err := plotter.NewLine(curve(r.points))
		if err != nil {
			return fmt.Errorf("plot %s: %w", r.policy.name, err)
		}
		line.Color = lineColor(i)
		line.Width = vg.Points(lineWidth)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.policy.name, line)
	}
	return m.save(p, fig.fleet, fig.trace.name)
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.XOffs = vg.Points(legendMargin)
	p.Legend.YOffs = -vg.Points(legendMargin)
	p.Legend.ThumbnailWidth = vg.Points(thumbnailWidth)
	return p
}

func (m measurement) save(p *plot.Plot, f fleet, name string) error {
	// Extends the axis, so that the legend is above the series.
	p.Y.Max += legendHeight * (p.Y.Max - p.Y.Min)
	path := filepath.Join(m.plots, fmt.Sprintf("policy-%s-%s.%s", strings.ToLower(f.name), name, m.format))
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

func curve(points []float64) plotter.XYs {
	var xys plotter.XYs
	for at := 0; at+smoothingSeconds <= len(points); at += smoothingSeconds {
		sum := 0.0
		for _, v := range points[at : at+smoothingSeconds] {
			sum += v
		}
		xys = append(xys, plotter.XY{
			X: float64(at),
			Y: sum / smoothingSeconds,
		})
	}
	return xys
}

func lineColor(i int) color.Color {
	colors := []color.RGBA{
		{
			R: 0x77,
			G: 0x77,
			B: 0x77,
			A: 0xff,
		},
		{
			R: 0xd5,
			G: 0x5e,
			A: 0xff,
		},
		{
			R: 0xe6,
			G: 0x9f,
			A: 0xff,
		},
		{
			G: 0x72,
			B: 0xb2,
			A: 0xff,
		},
		{
			R: 0x56,
			G: 0xb4,
			B: 0xe9,
			A: 0xff,
		},
		{
			G: 0x9e,
			B: 0x73,
			A: 0xff,
		},
		{
			R: 0xcc,
			G: 0x79,
			B: 0xa7,
			A: 0xff,
		},
	}
	return colors[i%len(colors)]
}
