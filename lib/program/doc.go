// Package program reads the command line of a program and ends it with the exit code that fits.
package program
