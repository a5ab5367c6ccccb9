// Package graceful stops an HTTP server without cutting off a request that it has read.
package graceful
