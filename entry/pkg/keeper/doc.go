// Package keeper assigns each back end to one host of its failure domain, without coordination.
package keeper
