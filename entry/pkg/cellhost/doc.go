// Package cellhost makes a host the home of its callers' jobs and the keeper of cells of workers.
//
// A place's workers form a cell, which one of its hosts keeps: it alone starts tasks there, under a token that the
// workers check. The other hosts send it their callers' jobs. Decisions are made in package cell; here they are
// carried out, and here is decided which host keeps which cell.
package cellhost
