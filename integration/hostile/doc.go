// Package hostile holds the tests that send what clients outside our control may send to the programs, as processes.
package hostile
