// Package callerconn tells whether the connection on which a caller's HTTP request came is still open.
package callerconn
