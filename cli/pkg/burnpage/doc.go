// Package burnpage draws a burn report as one HTML page that needs nothing else.
package burnpage
