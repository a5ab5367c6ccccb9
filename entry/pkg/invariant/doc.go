// Package invariant asserts what must always hold inside the program.
package invariant
