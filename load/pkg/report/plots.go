package report

import (
	"bytes"
	"html/template"
	"image/color"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"chervilusher.dev/load/pkg/measure"
)

// Size of one plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// headroom leaves space for the legend above the curves.
const headroom = 1.25

// Highest ratios that the plots show.
const (
	ratioCeiling        = 10.0
	distributionCeiling = 4.0
)

// palette tells the lines of one plot apart.
var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xc8, G: 0x4b, B: 0x16, A: 0xff},
	color.RGBA{R: 0x2c, G: 0x80, B: 0x3c, A: 0xff},
	color.RGBA{R: 0x6b, G: 0x3f, B: 0x8f, A: 0xff},
}

// line is one curve of a plot.
type line struct {
	name   string
	points plotter.XYs
	steps  bool
}

// chart is a plot with its labels.
type chart struct {
	title string
	x     string
	y     string
	lines []line
}

func (c chart) plot() (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = c.title
	drawn.X.Label.Text = c.x
	drawn.Y.Label.Text = c.y
	drawn.Y.Min = 0
	drawn.Legend.Top = true
	drawn.Add(plotter.NewGrid())
	for i, wanted := range c.lines {
		curve, err := plotter.NewLine(wanted.points)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		curve.Color = palette[i%len(palette)]
		curve.Width = vg.Points(1.5)
		if wanted.steps {
			curve.StepStyle = plotter.PostStep
		}
		drawn.Add(curve)
		drawn.Legend.Add(wanted.name, curve)
	}
	drawn.Y.Max *= headroom
	return drawn, nil
}

// svg draws the chart as an SVG element.
func (c chart) svg() (template.HTML, error) {
	drawn, err := c.plot()
	if err != nil {
		return "", err
	}
	writer, err := drawn.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.WithStack(err)
	}
	var out bytes.Buffer
	if _, err = writer.WriteTo(&out); err != nil {
		return "", errors.WithStack(err)
	}
	_, element, _ := strings.Cut(out.String(), "<svg")
	return template.HTML("<svg" + element), nil //nolint:gosec // The plot library escapes its labels.
}

// charts returns the plots of one or more runs, each plot with a line for each run.
func charts(runs []*measure.Results) []chart {
	distribution := chart{title: "Response against ideal", x: "response / ideal", y: "share of jobs"}
	middle := chart{title: "Median response against ideal", x: "arrival, s", y: "response / ideal"}
	tail := chart{title: "99th percentile of response against ideal", x: "arrival, s", y: "response / ideal"}
	goodput := chart{title: "Work done in time", x: "s", y: "work, s/s"}
	starts := chart{title: "Starts at each back end", x: "back end", y: "starts"}
	for _, run := range runs {
		name := run.Settings.Name
		distribution.lines = append(distribution.lines, line{name: name, points: cut(run.Shares)})
		var medians, tails, done, offered, counts plotter.XYs
		for _, second := range run.Seconds {
			at := float64(second.At)
			medians = append(medians, plotter.XY{X: at, Y: min(second.P50, ratioCeiling)})
			tails = append(tails, plotter.XY{X: at, Y: min(second.P99, ratioCeiling)})
			done = append(done, plotter.XY{X: at, Y: second.Goodput})
			offered = append(offered, plotter.XY{X: at, Y: second.Offered})
		}
		for i, backend := range run.Backends {
			counts = append(counts, plotter.XY{X: float64(i), Y: float64(backend.Starts)})
		}
		middle.lines = append(middle.lines, line{name: name, points: medians, steps: true})
		tail.lines = append(tail.lines, line{name: name, points: tails, steps: true})
		goodput.lines = append(goodput.lines, line{name: name + ": in time", points: done, steps: true})
		if len(runs) == 1 {
			goodput.lines = append(goodput.lines, line{name: name + ": offered", points: offered, steps: true})
		}
		starts.lines = append(starts.lines, line{name: name, points: counts, steps: true})
	}
	return withLines([]chart{distribution, middle, tail, goodput, starts})
}

// cut leaves out the far tail, which would flatten the rest.
func cut(points []measure.Point) plotter.XYs {
	var kept plotter.XYs
	for _, point := range points {
		if point.X <= distributionCeiling {
			kept = append(kept, plotter.XY{X: point.X, Y: point.Y})
		}
	}
	return kept
}

// withLines leaves out charts that have a curve without points.
func withLines(all []chart) []chart {
	var kept []chart
	for _, candidate := range all {
		empty := false
		for _, curve := range candidate.lines {
			empty = empty || len(curve.points) == 0
		}
		if !empty {
			kept = append(kept, candidate)
		}
	}
	return kept
}
