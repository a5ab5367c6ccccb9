// Package entry starts entry hosts as processes and reads what they cost.
package entry
