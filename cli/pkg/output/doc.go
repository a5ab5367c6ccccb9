// Package output prints answers as tables or JSON, and progress on a terminal.
package output
