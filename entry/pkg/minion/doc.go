// Package minion speaks to the minions of a service over HTTP.
package minion
