// Package share divides the work that a group of workers can do among its queues while it cannot do all that they offer.
package share
