// Package cell makes the scheduling decisions of a cell: the workers of a failure domain that one host owns, and the
// jobs queued for them.
//
// It does no I/O and reads no clock. The caller passes in events with their times, and carries out the effects.
package cell
