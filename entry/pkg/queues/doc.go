// Package queues finds the queue that a request is for.
package queues
