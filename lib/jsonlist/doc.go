// Package jsonlist decodes JSON arrays from senders that are not trusted: a text of small elements would else become a list of
// many times its size.
package jsonlist
