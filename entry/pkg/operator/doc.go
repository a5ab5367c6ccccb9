// Package operator serves probes, metrics and the operators' API over HTTP.
package operator
