package burnpage

import (
	"bytes"
	"html/template"
	"image/color"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/burn"
)

// Sizes in points, the unit of vg.Length.
const (
	plotWidth  vg.Length = 440
	plotHeight vg.Length = 200
	titleSize  vg.Length = 11
	labelSize  vg.Length = 9
	lineWidth  vg.Length = 1.5
	dotRadius  vg.Length = 2
	dashLength vg.Length = 4
	dashGap    vg.Length = 3
	margin     vg.Length = 4
	// rightMargin leaves room for the half of the last label that stands beyond the axis.
	rightMargin vg.Length = 26
)

// headroom is how much higher than its highest point a plot reaches.
const headroom = 1.15

var (
	burnColor  = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	limitColor = color.RGBA{R: 0xc0, G: 0x39, B: 0x2b, A: 0xff}
	gridColor  = color.RGBA{R: 0xe3, G: 0xe6, B: 0xea, A: 0xff}
)

// span is the stretch of time that a plot shows and how it labels it.
type span struct {
	title  string
	length time.Duration
	ticks  time.Duration
	format string
	limit  float64
}

func recentSpan() span {
	windows := burn.Windows()
	return span{title: "Burn rate, last 6 hours (UTC)", length: 6 * time.Hour, ticks: time.Hour, format: "15:04", limit: windows[1].Limit}
}

func daysSpan() span {
	windows := burn.Windows()
	return span{title: "Burn rate, last 3 days (UTC)", length: 72 * time.Hour, ticks: 12 * time.Hour, format: "2 Jan 15:04", limit: windows[2].Limit}
}

// ratePlot draws the burn rate of each step against the limit.
func ratePlot(points []api.BurnPoint, target float64, end time.Time, shown span) (template.HTML, error) {
	drawing := newPlot(shown.title, "burn rate")
	from := end.Add(-shown.length)
	drawing.X.Min, drawing.X.Max = seconds(from), seconds(end)
	drawing.X.Tick.Marker = timeTicks{step: shown.ticks, format: shown.format}
	rates := make(plotter.XYs, 0, len(points))
	highest := shown.limit
	for _, point := range points {
		rate := burn.Rate(api.BurnCounts{Good: point.Good, Bad: point.Bad}, target)
		rates = append(rates, plotter.XY{X: max(seconds(point.Time), seconds(from)), Y: rate})
		highest = max(highest, rate)
	}
	drawing.Y.Min, drawing.Y.Max = 0, highest*headroom
	if err := addLine(drawing, rates, burnColor, nil, true); err != nil {
		return "", err
	}
	limit := plotter.XYs{{X: seconds(from), Y: shown.limit}, {X: seconds(end), Y: shown.limit}}
	if err := addLine(drawing, limit, limitColor, []vg.Length{dashLength, dashGap}, false); err != nil {
		return "", err
	}
	return render(drawing)
}

// timesPlot draws the share of complete answers that came within each time.
func timesPlot(times []api.BurnTime, latency time.Duration) (template.HTML, error) {
	drawing := newPlot("Response time of complete answers, last days", "share of answers")
	drawing.X.Label.Text = "seconds"
	drawing.Y.Min, drawing.Y.Max = 0, 1
	var all, seen int64
	for _, step := range times {
		all += step.Count
	}
	shares := plotter.XYs{{X: 0, Y: 0}}
	longest := latency.Seconds()
	for _, step := range times {
		seen += step.Count
		shares = append(shares, plotter.XY{X: step.Upto.Std().Seconds(), Y: float64(seen) / float64(all)})
		longest = max(longest, step.Upto.Std().Seconds())
	}
	drawing.X.Min, drawing.X.Max = 0, max(longest*headroom, time.Millisecond.Seconds())
	if err := addLine(drawing, shares, burnColor, nil, true); err != nil {
		return "", err
	}
	if latency > 0 {
		limit := plotter.XYs{{X: latency.Seconds(), Y: 0}, {X: latency.Seconds(), Y: 1}}
		if err := addLine(drawing, limit, limitColor, []vg.Length{dashLength, dashGap}, false); err != nil {
			return "", err
		}
	}
	return render(drawing)
}

func newPlot(title, label string) *plot.Plot {
	drawing := plot.New()
	drawing.Title.Text = title
	drawing.Y.Label.Text = label
	for _, style := range []*font.Font{
		&drawing.Title.TextStyle.Font, &drawing.X.Label.TextStyle.Font, &drawing.Y.Label.TextStyle.Font,
		&drawing.X.Tick.Label.Font, &drawing.Y.Tick.Label.Font,
	} {
		style.Variant = "Sans"
		style.Size = labelSize
	}
	drawing.Title.TextStyle.Font.Size = titleSize
	grid := plotter.NewGrid()
	grid.Vertical.Color = gridColor
	grid.Horizontal.Color = gridColor
	drawing.Add(grid)
	return drawing
}

func addLine(drawing *plot.Plot, points plotter.XYs, paint color.Color, dashes []vg.Length, dots bool) error {
	if len(points) == 0 {
		return nil
	}
	line, marks, err := plotter.NewLinePoints(points)
	if err != nil {
		return errors.WithStack(err)
	}
	line.Color = paint
	line.Width = lineWidth
	line.Dashes = dashes
	drawing.Add(line)
	if dots {
		marks.Color = paint
		marks.Shape = draw.CircleGlyph{}
		marks.Radius = dotRadius
		drawing.Add(marks)
	}
	return nil
}

// render returns the plot as an svg element to stand in a page.
func render(drawing *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	drawing.Draw(draw.Crop(draw.New(canvas), margin, -rightMargin, margin, -margin))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", errors.WithStack(err)
	}
	svg := text.String()
	if start := strings.Index(svg, "<svg"); start > 0 {
		svg = svg[start:]
	}
	return template.HTML(svg), nil
}

// timeTicks marks whole steps of time.
type timeTicks struct {
	step   time.Duration
	format string
}

// Ticks implements plot.Ticker.
func (t timeTicks) Ticks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	at := time.Unix(int64(low), 0).UTC().Truncate(t.step)
	for ; seconds(at) <= high; at = at.Add(t.step) {
		if seconds(at) >= low {
			ticks = append(ticks, plot.Tick{Value: seconds(at), Label: at.Format(t.format)})
		}
	}
	return ticks
}

func seconds(at time.Time) float64 {
	return float64(at.Unix())
}
