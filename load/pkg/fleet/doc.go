// Package fleet starts the stand-ins and the entry hosts of an experiment and publishes the owners' configuration.
package fleet
