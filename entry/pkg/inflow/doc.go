// Package inflow bounds what the clients of a process can make it hold: connections, heads, and bodies that have been received and
// not yet handed on. The note docs/design/hostile-clients.md tells what is bounded where.
package inflow
