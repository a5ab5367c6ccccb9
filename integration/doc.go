// Package integration runs real entry daemons against the stand-ins over loopback; it holds tests alone.
package integration
