// Package ticket issues and verifies the signed window tickets under which callers create identifiers.
package ticket
