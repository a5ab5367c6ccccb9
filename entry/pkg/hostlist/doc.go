// Package hostlist speaks to the platform's host list over HTTP.
package hostlist
