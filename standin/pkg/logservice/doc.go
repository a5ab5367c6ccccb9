// Package logservice is a small stand-in for the platform's append-only log service.
package logservice
