// Package lending decides which host may use which slots: lenders lend the slots of the back ends they own,
// and hosts borrow what their queues need. It does no I/O, and its caller holds the dispatch lock.
package lending
