// Package lending decides who may use which slots: keepers lend the slots of their back ends, and hosts borrow what their queues need; it does no I/O, and its caller holds the dispatch lock.
package lending
