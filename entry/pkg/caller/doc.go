// Package caller serves the HTTP API of callers.
package caller
