// Package app reads the command line, runs experiments and compares their results.
package app
