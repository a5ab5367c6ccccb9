// Package hostlist is a small stand-in for the platform's lagging list of live and leaving hosts.
package hostlist
