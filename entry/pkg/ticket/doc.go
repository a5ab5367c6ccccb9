// Package ticket issues and verifies the window tokens under which callers mint identifiers.
package ticket
