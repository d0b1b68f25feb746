package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// point is one measured value y at a size x.
type point struct {
	x float64
	y float64
}

// line is a least-squares fit.
type line struct {
	intercept float64
	slope     float64
	// residual is the root mean square of the vertical distances to the points.
	residual float64
}

// fit returns the least-squares line of points. Its slope is 0 if all points have the same x.
func fit(points []point) line {
	n := float64(len(points))
	if n == 0 {
		return line{}
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.x / n
		meanY += p.y / n
	}
	var l line
	var xx, xy float64
	for _, p := range points {
		xx += (p.x - meanX) * (p.x - meanX)
		xy += (p.x - meanX) * (p.y - meanY)
	}
	if xx > 0 {
		l.slope = xy / xx
	}
	l.intercept = meanY - l.slope*meanX
	var squares float64
	for _, p := range points {
		d := p.y - l.at(p.x)
		squares += d * d
	}
	l.residual = math.Sqrt(squares / n)
	return l
}

// at returns the value of the line at x.
func (l line) at(x float64) float64 {
	return l.intercept + l.slope*x
}

// series is a quantity that is measured at several sizes.
type series struct {
	// y and x name the quantity and the size, with units.
	y      string
	x      string
	points []point
}

func (s *series) add(x, y float64) {
	s.points = append(s.points, point{
		x: x,
		y: y,
	})
}

// write prints a table of the series with their points and fits.
func write(w io.Writer, all ...*series) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "quantity\tagainst\tpoints\tintercept\tslope\tresidual")
	for _, s := range all {
		l := fit(s.points)
		fmt.Fprintf(t, "%s\t%s\t%s\t%.4g\t%.4g\t%.2g\n", s.y, s.x, pointList(s.points), l.intercept, l.slope, l.residual)
	}
	return t.Flush()
}

func pointList(points []point) string {
	text := ""
	for i, p := range points {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%.4g: %.4g", p.x, p.y)
	}
	return text
}
