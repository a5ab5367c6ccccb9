package burnpage

import (
	_ "embed" // for the page's template
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/api"
	"chervilusher.dev/lib/burn"
)

const (
	medianShare = 0.5
	tailShare   = 0.99
)

//go:embed page.html
var pageText string

// page is what the template shows.
type page struct {
	Hosts      string
	Time       string
	Since      string
	Alarms     int
	Objectives []section
}

// section is one objective of the page.
type section struct {
	Title   string
	Goal    string
	Since   string
	Answers string
	Times   string
	Alarm   bool
	Windows []row
	Plots   []template.HTML
}

// row is one window of a section.
type row struct {
	Long    string
	Short   string
	Rate    string
	Recent  string
	Limit   string
	Covered string
	Alarm   bool
}

// Write writes the report as an HTML page.
func Write(out io.Writer, report *api.BurnReport) error {
	parsed, err := template.New("page").Parse(pageText)
	if err != nil {
		return errors.WithStack(err)
	}
	shown := page{Hosts: strings.Join(report.Hosts, ", "), Time: format(report.Time), Since: format(report.Since)}
	for i := range report.Objectives {
		made, err := sectionOf(&report.Objectives[i], report.Time)
		if err != nil {
			return err
		}
		if made.Alarm {
			shown.Alarms++
		}
		shown.Objectives = append(shown.Objectives, *made)
	}
	return errors.WithStack(parsed.Execute(out, shown))
}

func sectionOf(objective *api.BurnObjective, now time.Time) (*section, error) {
	made := &section{
		Title:   objective.Owner + " / " + objective.Name,
		Goal:    goalOf(objective),
		Since:   format(objective.Since),
		Answers: fmt.Sprintf("%d good, %d bad", objective.Good, objective.Bad),
		Times: fmt.Sprintf("median %s, 99th percentile %s",
			burn.Quantile(objective.Times, medianShare), burn.Quantile(objective.Times, tailShare)),
	}
	if len(objective.Times) == 0 {
		made.Times = "no complete answer yet"
	}
	for _, window := range objective.Windows {
		made.Alarm = made.Alarm || window.Alarm
		made.Windows = append(made.Windows, rowOf(window))
	}
	recent, err := ratePlot(objective.Points, objective.Target, now, recentSpan())
	if err != nil {
		return nil, err
	}
	days, err := ratePlot(objective.Hours, objective.Target, now, daysSpan())
	if err != nil {
		return nil, err
	}
	made.Plots = []template.HTML{recent, days}
	if len(objective.Times) > 0 {
		times, err := timesPlot(objective.Times, objective.Latency.Std())
		if err != nil {
			return nil, err
		}
		made.Plots = append(made.Plots, times)
	}
	return made, nil
}

func goalOf(objective *api.BurnObjective) string {
	source := "service " + objective.Service
	if objective.Pool != "" {
		source = "pool " + objective.Pool
	}
	if objective.Latency == 0 {
		return fmt.Sprintf("%s: %g%% of answers complete", source, objective.Target*100)
	}
	return fmt.Sprintf("%s: %g%% of answers complete within %s", source, objective.Target*100, objective.Latency)
}

func rowOf(window api.BurnWindow) row {
	return row{
		Long:    short(window.Long.Std()),
		Short:   short(window.Short.Std()),
		Rate:    fmt.Sprintf("%.2f", window.Rate),
		Recent:  fmt.Sprintf("%.2f", window.Recent),
		Limit:   fmt.Sprintf("%g", window.Limit),
		Covered: short(window.Covered.Std().Truncate(time.Second)),
		Alarm:   window.Alarm,
	}
}

// short writes a duration without the zero minutes and seconds of whole hours.
func short(length time.Duration) string {
	text := length.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func format(at time.Time) string {
	return at.UTC().Format("2006-01-02 15:04:05 UTC")
}
