// Package ledger records which submissions this home host has accepted, so that each is started at most once.
package ledger
