// Package burn holds the arithmetic of burn rates: the windows, their alarms, and the sum of several hosts' reports.
package burn
