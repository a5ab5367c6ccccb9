// Package estimate learns the run time of each kind of task and the speed of each back end.
package estimate
