// Package cell decides for a cell: the workers of a place that one host keeps, and the jobs that wait for them.
//
// It does no I/O and reads no clock. The caller passes in what happened and when, and carries out the effects.
package cell
