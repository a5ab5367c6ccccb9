// Package keeper assigns each back end to one entry host of its place, without coordination.
package keeper
