// Package cellhost makes a host the home of its callers' jobs and the keeper of cells of workers.
//
// The workers of a failure domain are divided into cells, each owned by one host, its keeper: it alone starts tasks
// there, under a fencing token that the workers check. The other hosts send it their callers' jobs. Package cell
// makes the scheduling decisions; this package carries them out and decides which host keeps which cell.
package cellhost
