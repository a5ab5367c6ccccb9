// Package app builds the program from its parts and runs it.
package app
