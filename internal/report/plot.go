package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"waxwingpick/core/burn"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// burnPlot returns an SVG element that plots the burn rate of a class over the last six hours.
func burnPlot(class burn.ClassBurn) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: burn rate in 5 minutes", class.Class)
	p.X.Tick.Marker = plot.TimeTicks{
		Format: "15:04",
	}
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	if err := addBurnLine(p, class); err != nil {
		return "", err
	}
	to, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", fmt.Errorf("draw %s: %w", class.Class, err)
	}
	var svg bytes.Buffer
	if _, err := to.WriteTo(&svg); err != nil {
		return "", fmt.Errorf("draw %s: %w", class.Class, err)
	}
	text := svg.String()
	// The page embeds the element, so the XML declaration before it is removed.
	text = text[max(0, strings.Index(text, "<svg")):]
	return template.HTML(text), nil
}

func addBurnLine(p *plot.Plot, class burn.ClassBurn) error {
	if len(class.Points) == 0 {
		return nil
	}
	points := make(plotter.XYs, len(class.Points))
	for i, point := range class.Points {
		points[i] = plotter.XY{
			X: float64(point.Start.Unix()),
			Y: point.Counts.BadFraction() / (1 - class.Objective),
		}
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", class.Class, err)
	}
	line.Color = color.RGBA{
		R: 0xc0,
		A: 0xff,
	}
	marks.Radius = vg.Points(1)
	p.Add(line, marks)
	return nil
}
