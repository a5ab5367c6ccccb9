// Package bootclock is a clock that goes on while the machine is suspended.
package bootclock
