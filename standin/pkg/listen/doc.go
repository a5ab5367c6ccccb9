// Package listen serves HTTP on one address with a bound on connections, and can go down and come back.
package listen
