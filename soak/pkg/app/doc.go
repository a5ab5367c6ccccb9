// Package app runs a soak and reports what was broken.
package app
