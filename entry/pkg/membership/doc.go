// Package membership decides from heartbeats which entry hosts are alive; it does no I/O.
package membership
