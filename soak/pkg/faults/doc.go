// Package faults breaks a yard at random, from outside its processes, and mends it again.
package faults
