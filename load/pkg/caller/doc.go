// Package caller sends an experiment's jobs to the entry hosts at their intended times, whether or not earlier ones were answered.
package caller
