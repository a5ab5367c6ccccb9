// Package relay forwards TCP connections to a target and can cut, delay and freeze them.
package relay
