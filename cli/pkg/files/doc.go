// Package files reads submissions, documents and tokens from files or from standard input.
package files
