// Package dispatch decides which task starts where and what a job's answer is; it does no I/O, and its caller holds the dispatch lock.
package dispatch
