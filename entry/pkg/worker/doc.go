// Package worker speaks to the platform's workers over HTTP: leases, starts and stops.
package worker
