// Package reference computes what an ideal dispatcher without cost would reach for the same arrivals.
package reference
