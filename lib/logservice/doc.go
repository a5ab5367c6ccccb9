// Package logservice speaks to the platform's append-only log service over HTTP.
package logservice
