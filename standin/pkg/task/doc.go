// Package task runs the pretended work of minions and workers and remembers what became of it.
package task
