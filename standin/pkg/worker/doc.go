// Package worker is a small stand-in for a machine that runs tasks under leases with fencing tokens.
package worker
