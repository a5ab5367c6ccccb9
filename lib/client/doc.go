// Package client is the callers' library: it mints identifiers under tickets, submits, resubmits after lost connections, waits and cancels.
package client
