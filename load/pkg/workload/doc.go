// Package workload draws the arrivals of an experiment from its seed; it does no I/O.
package workload
