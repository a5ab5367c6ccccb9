// Package report writes an experiment's results as JSON and as one self-contained HTML page with plots.
package report
