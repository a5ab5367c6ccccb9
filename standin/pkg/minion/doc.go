// Package minion is a small stand-in for a back end of a service, with slots, connections and a speed.
package minion
