// Package budget bounds what several holders have of one resource together.
package budget
