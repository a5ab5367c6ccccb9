package report

import (
	"bytes"
	_ "embed" // holds the page's template
	"encoding/json"
	"fmt"
	"html/template"
	"os"

	"github.com/pkg/errors"
	_ "gonum.org/v1/plot/vg/vgsvg" // draws the plots

	"chervilusher.dev/load/pkg/measure"
)

//go:embed page.html
var pageText string

// filePermissions of the files that are written.
const filePermissions = 0o644

// page is what the template shows.
type page struct {
	Runs  []*measure.Results
	Plots []template.HTML
}

// WriteJSON writes the results to a file.
func WriteJSON(path string, results *measure.Results) error {
	raw, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, raw, filePermissions))
}

// ReadJSON reads results that WriteJSON wrote.
func ReadJSON(path string) (*measure.Results, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var results measure.Results
	if err := json.Unmarshal(raw, &results); err != nil {
		return nil, errors.Wrapf(err, "results %s", path)
	}
	return &results, nil
}

// WriteHTML writes one page about one run, or about several side by side.
func WriteHTML(path string, runs ...*measure.Results) error {
	content := page{Runs: runs}
	for _, wanted := range charts(runs) {
		drawn, err := wanted.svg()
		if err != nil {
			return err
		}
		content.Plots = append(content.Plots, drawn)
	}
	functions := template.FuncMap{"megabytes": func(bytes int64) string { return fmt.Sprintf("%.1f", float64(bytes)/(1<<20)) }}
	parsed, err := template.New("page").Funcs(functions).Parse(pageText)
	if err != nil {
		return errors.WithStack(err)
	}
	var out bytes.Buffer
	if err := parsed.Execute(&out, content); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(path, out.Bytes(), filePermissions))
}
