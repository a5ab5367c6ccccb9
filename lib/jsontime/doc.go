// Package jsontime writes durations into JSON as text with a unit, such as "250ms".
package jsontime
