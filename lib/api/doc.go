// Package api holds the JSON types, headers and codes that callers and entry hosts exchange.
package api
