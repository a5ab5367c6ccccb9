// Package queue orders the queued tasks of a group.
package queue
