// Package estimate learns how long each kind of work takes and how fast each back end is.
package estimate
