// Package dispatch decides where and when tasks start and how jobs end.
// It does no I/O, and its callers hold the dispatch lock.
package dispatch
