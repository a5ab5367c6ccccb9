// Package ledger remembers which submissions this home has taken, so that each is started at most once.
package ledger
