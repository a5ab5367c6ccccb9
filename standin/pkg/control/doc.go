// Package control switches the faults of a stand-in at run time, over HTTP or from Go.
package control
