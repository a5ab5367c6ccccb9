// Package app reads the command line and runs an office of stand-ins until a signal ends it.
package app
