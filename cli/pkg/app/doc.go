// Package app reads the command line and runs one command of callers or operators.
package app
