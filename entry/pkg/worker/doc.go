// Package worker is the HTTP client of the platform's workers: leases, starts, status requests and stops.
package worker
