// Package queue orders the waiting tasks of a group.
package queue
