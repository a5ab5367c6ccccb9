// Package interference learns which queues' tasks take longer beside each other on one worker.
//
// It does no I/O and reads no clock. For each queue it fits a linear model of the logarithm of the run time, relative to
// what task and worker lead to expect, to the mean number of neighbours from each other queue.
package interference
