// Package publish puts configuration documents on the log and reads back what became of them.
package publish
