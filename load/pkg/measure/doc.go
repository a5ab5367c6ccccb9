// Package measure turns the outcomes of an experiment into its figures.
package measure
