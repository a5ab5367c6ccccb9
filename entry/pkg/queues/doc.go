// Package queues maps requests to queues by host and path.
package queues
